package holdmux.app.drill;

import holdmux.app.demo.PgClient;
import holdmux.standins.FaultRelay;
import holdmux.standins.FaultRelay.Mode;
import holdmux.standins.StandIns;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.ProtoMapper;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyVersion;
import holdmux.store.EntryResult;
import holdmux.store.raft.Members;
import holdmux.store.raft.StoreClient;
import holdmux.store.wire.Empty;
import holdmux.store.wire.Question;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;

/**
 * A small fleet on loopback: poolers as processes, p1 to pN of them the store's members n1 to nN, stand-in servers, and a
 * relay on each way from a pooler to a member.
 */
public final class PolicyFleet implements AutoCloseable {
    /** An election, a start on a busy machine: how long the fleet may take to agree. */
    static final long AGREE_MS = 60_000;
    private static final int CALL_MS = 1_000;

    final StandIns standIns = new StandIns();
    final Members members;
    final StoreClient store;
    final Map<String, PoolerProcess> poolers = new LinkedHashMap<>();
    /** Ways by who goes and to which member. */
    final Map<String, Map<String, FaultRelay>> ways = new HashMap<>();
    private final Path folder;
    private final String settings;
    private final List<PoolerProcess> further = new ArrayList<>();
    private long worth = 1;

    /** {@code boundMs}: how long a pooler may serve what it cannot confirm, whole seconds. */
    public PolicyFleet(int voters, int followers, long boundMs) throws Exception {
        folder = Files.createTempDirectory("holdmux-drill");
        for (String server : List.of("s-1", "s-2", "s-3")) {
            standIns.start(server, StandIns.PG_KIND);
        }
        List<String> listed = new ArrayList<>();
        Map<String, InetSocketAddress> direct = new LinkedHashMap<>();
        for (int i = 1; i <= voters; i++) {
            direct.put("n" + i, new InetSocketAddress("127.0.0.1", StandIns.freePort()));
            listed.add("n" + i + "=127.0.0.1:" + direct.get("n" + i).getPort());
        }
        members = Members.parse(String.join(",", listed));
        store = new StoreClient(members, CALL_MS);
        for (int i = 1; i <= voters + followers; i++) {
            String name = "p" + i;
            String id = i <= voters ? "n" + i : null;
            Map<String, FaultRelay> own = new LinkedHashMap<>();
            List<String> routes = new ArrayList<>();
            for (String member : members.names()) {
                if (!member.equals(id)) {
                    own.put(member, new FaultRelay(direct.get(member)));
                    routes.add(member + "=127.0.0.1:" + own.get(member).address().getPort());
                }
            }
            ways.put(name, own);
            List<String> flags = new ArrayList<>(List.of("--store-members", String.join(",", listed), "--policy-bound",
                    boundMs / 1_000 + "s", "--store-route", String.join(",", routes)));
            if (id != null) {
                flags.addAll(List.of("--store-id", id, "--store-first"));
            }
            poolers.put(name, process(name, flags));
        }
        settings = new JSONObject(standIns.config(1, 256, 512)).getJSONObject("settings").toString();
    }

    private PoolerProcess process(String name, List<String> flags) throws IOException {
        int port = StandIns.freePort();
        return new PoolerProcess(name, port, folder.resolve(name), standIns.config(port, 256, 512), flags);
    }

    /** Starts all of them at once and waits until each takes clients. */
    public void startAll() throws IOException, InterruptedException {
        for (PoolerProcess pooler : poolers.values()) {
            pooler.start();
        }
        for (PoolerProcess pooler : poolers.values()) {
            pooler.awaitListening();
        }
    }

    /** A further pooler before the same servers, told its policy by its own file. */
    public PoolerProcess alone() throws IOException, InterruptedException {
        PoolerProcess pooler = further("alone" + further.size(), List.of());
        pooler.awaitListening();
        return pooler;
    }

    /** Starts a further pooler with these flags; it is in nobody's way and not waited for. */
    PoolerProcess further(String name, List<String> flags) throws IOException {
        PoolerProcess pooler = process(name, flags);
        further.add(pooler);
        pooler.start();
        return pooler;
    }

    /** The members as the poolers were told of them. */
    String listed() {
        return String.join(",", members.names().stream()
                .map(name -> name + "=127.0.0.1:" + members.address(name).getPort()).toList());
    }

    /** The last of those that only follow. */
    public PoolerProcess follower() {
        return poolers.get("p" + poolers.size());
    }

    // ---- Changes ----

    /** The text of a policy that no version had before. */
    String text() {
        return new JSONObject().put("settings", new JSONObject(settings).put("over-share-worth", ++worth)).toString();
    }

    PolicyHistory history() throws IOException {
        return ProtoMapper.toHistory(store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance()).build()).getHistory());
    }

    /** Keeps a new version; its number. */
    long propose() throws IOException {
        long newest = history().newestNumber();
        EntryResult verdict = store.write(new Propose(PolicyVersion.of(newest + 1, newest, text(), "drill")));
        if (!verdict.accepted()) {
            throw new IOException(verdict.reason());
        }
        return newest + 1;
    }

    /** Whether it is in force then, by this call or one before that nobody told the outcome of; else why not. */
    EntryResult activate(long number, long delayMs) throws IOException {
        EntryResult verdict = store.write(new Activate(number, delayMs * 1_000_000, "drill", 0));
        return verdict.reason().endsWith("in force already") ? new EntryResult(true, "") : verdict;
    }

    /** Proposes a version and puts it in force as soon as enough members have checked it. */
    public void change(long delayMs) throws IOException, InterruptedException {
        long number = propose();
        EntryResult verdict = activate(number, delayMs);
        for (long by = nowMs() + AGREE_MS; !verdict.accepted(); Thread.sleep(5)) {
            if (nowMs() > by) {
                throw new IOException(verdict.reason());
            }
            verdict = activate(number, delayMs);
        }
    }

    // ---- Agreement ----

    /** Waits until every pooler serves what is in force, confirmed, and all members hold one history. */
    public void awaitAll() throws InterruptedException, IOException {
        String missing = awaitAgreement();
        if (!missing.isEmpty()) {
            throw new IOException("the fleet does not agree: " + missing);
        }
    }

    /** Empty once the fleet agrees, else what still misses after all that time. */
    String awaitAgreement() throws InterruptedException {
        String missing = "";
        for (long by = nowMs() + AGREE_MS; nowMs() < by; Thread.sleep(10)) {
            try {
                missing = missing();
                if (missing.isEmpty()) {
                    return "";
                }
            } catch (IOException e) {
                missing = e.getMessage();
            }
        }
        return missing;
    }

    private String missing() throws IOException {
        PolicyHistory history = history();
        long active = history.active().map(PolicyHistory.Activation::number).orElse(0L);
        for (String member : members.names()) {
            PolicyHistory own = ProtoMapper.toHistory(store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance())
                    .build(), member).getHistory());
            if (!own.versions().equals(history.versions()) || !own.activations().equals(history.activations())) {
                return "the history of " + member + " is another";
            }
        }
        for (PoolerProcess pooler : poolers.values()) {
            try (PgClient talk = pooler.talk()) {
                Map<String, String> stats = new HashMap<>();
                talk.query("SHOW STATS", stats);
                if (!stats.get("policy_version").equals(Long.toString(active))
                        || !stats.get("policy_state").equals("confirmed")) {
                    return pooler.name + " is at " + stats.get("policy_version") + " " + stats.get("policy_state")
                            + " where " + active + " is in force";
                }
            }
        }
        return "";
    }

    // ---- Faults ----

    boolean votes(String pooler) {
        return members.names().contains(memberOf(pooler));
    }

    private static String memberOf(String pooler) {
        return "n" + pooler.substring(1);
    }

    /** The pooler whose member leads. */
    String leader() throws InterruptedException {
        for (long by = nowMs() + AGREE_MS; nowMs() < by; Thread.sleep(100)) {
            for (String member : members.names()) {
                try {
                    if (store.status(member).role().equals("leader")) {
                        return "p" + member.substring(1);
                    }
                } catch (IOException e) {
                    // another one
                }
            }
        }
        throw new IllegalStateException("nobody leads");
    }

    void waysOf(String pooler, Mode mode) {
        ways.get(pooler).values().forEach(way -> way.setMode(mode));
    }

    /** Cuts these off from the members among the others, both ways. */
    void split(List<String> small) {
        ways.forEach((from, own) -> own.forEach((to, way) -> {
            boolean across = small.contains(from) != small.contains("p" + to.substring(1));
            way.setMode(across ? Mode.SILENT : Mode.PASS);
        }));
    }

    /** Lets all pass, and starts whoever is down. */
    void heal() throws IOException {
        ways.keySet().forEach(pooler -> waysOf(pooler, Mode.PASS));
        for (PoolerProcess pooler : poolers.values()) {
            if (!pooler.isAlive()) {
                pooler.start();
            }
        }
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    Path folder() {
        return folder;
    }

    /** Ends all processes; their folders stay. */
    @Override
    public void close() throws Exception {
        poolers.values().forEach(PoolerProcess::kill);
        further.forEach(PoolerProcess::kill);
        store.close();
        for (Map<String, FaultRelay> own : ways.values()) {
            for (FaultRelay way : own.values()) {
                way.close();
            }
        }
        standIns.close();
    }

    /** Removes what the processes left. */
    public void forget() throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(Collections.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
