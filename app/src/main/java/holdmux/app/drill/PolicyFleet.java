package holdmux.app.drill;

import holdmux.app.demo.PgClient;
import holdmux.standins.FaultRelay;
import holdmux.standins.FaultRelay.Mode;
import holdmux.standins.StandIns;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.EntryResult;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyVersion;
import holdmux.store.ProtoMapper;
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
 * A small fleet on loopback: pooler processes, of which p1 to pN run the store's members n1 to nN, stand-in servers, and a
 * fault-injecting relay for each route from a pooler to another's member.
 */
public final class PolicyFleet implements AutoCloseable {
    /** How long the fleet may take to agree, with elections and process starts on a busy machine. */
    static final long AGREEMENT_TIMEOUT_MS = 60_000;
    private static final int CALL_TIMEOUT_MS = 1_000;

    final StandIns standIns = new StandIns();
    final Members members;
    final StoreClient store;
    final Map<String, PoolerProcess> poolers = new LinkedHashMap<>();
    /** Relays by the name of the pooler that connects and of the member it connects to. */
    final Map<String, Map<String, FaultRelay>> relays = new HashMap<>();
    private final Path folder;
    private final String settings;
    private final List<PoolerProcess> extraPoolers = new ArrayList<>();
    private long overShareWorth = 1;

    /**
     * Creates a fleet; {@link #startAll} starts its processes.
     *
     * @param voters    poolers that are voting members of the store
     * @param followers poolers that only follow the store
     * @param boundMs   how long a pooler may serve under a version that it cannot confirm, in whole seconds
     */
    public PolicyFleet(int voters, int followers, long boundMs) throws Exception {
        folder = Files.createTempDirectory("holdmux-drill");
        for (String server : List.of("s-1", "s-2", "s-3")) {
            standIns.start(server, StandIns.PG_KIND);
        }
        List<String> memberList = new ArrayList<>();
        Map<String, InetSocketAddress> memberAddresses = new LinkedHashMap<>();
        for (int i = 1; i <= voters; i++) {
            memberAddresses.put("n" + i, new InetSocketAddress("127.0.0.1", StandIns.freePort()));
            memberList.add("n" + i + "=127.0.0.1:" + memberAddresses.get("n" + i).getPort());
        }
        members = Members.parse(String.join(",", memberList));
        store = new StoreClient(members, CALL_TIMEOUT_MS);
        for (int i = 1; i <= voters + followers; i++) {
            String name = "p" + i;
            String memberName = i <= voters ? "n" + i : null;
            Map<String, FaultRelay> poolerRelays = new LinkedHashMap<>();
            List<String> routes = new ArrayList<>();
            for (String member : members.names()) {
                if (!member.equals(memberName)) {
                    poolerRelays.put(member, new FaultRelay(memberAddresses.get(member)));
                    routes.add(member + "=127.0.0.1:" + poolerRelays.get(member).address().getPort());
                }
            }
            relays.put(name, poolerRelays);
            List<String> flags = new ArrayList<>(List.of("--store-members", String.join(",", memberList), "--policy-bound",
                    boundMs / 1_000 + "s", "--store-route", String.join(",", routes)));
            if (memberName != null) {
                flags.addAll(List.of("--store-id", memberName, "--store-first"));
            }
            poolers.put(name, newProcess(name, flags));
        }
        settings = new JSONObject(standIns.config(1, 256, 512)).getJSONObject("settings").toString();
    }

    private PoolerProcess newProcess(String name, List<String> flags) throws IOException {
        int port = StandIns.freePort();
        return new PoolerProcess(name, port, folder.resolve(name), standIns.config(port, 256, 512), flags);
    }

    /** Starts all poolers at once and waits until each accepts clients. */
    public void startAll() throws IOException, InterruptedException {
        for (PoolerProcess pooler : poolers.values()) {
            pooler.start();
        }
        for (PoolerProcess pooler : poolers.values()) {
            pooler.awaitListening();
        }
    }

    /** Starts another pooler in front of the same servers, which takes its policy from its configuration file. */
    public PoolerProcess startStandalone() throws IOException, InterruptedException {
        PoolerProcess pooler = startExtra("alone" + extraPoolers.size(), List.of());
        pooler.awaitListening();
        return pooler;
    }

    /** Starts another pooler with these flags, without relays and without waiting for it. */
    PoolerProcess startExtra(String name, List<String> flags) throws IOException {
        PoolerProcess pooler = newProcess(name, flags);
        extraPoolers.add(pooler);
        pooler.start();
        return pooler;
    }

    /** The members in the form of {@code --store-members}. */
    String memberList() {
        return String.join(",", members.names().stream()
                .map(name -> name + "=127.0.0.1:" + members.address(name).getPort()).toList());
    }

    /** The last of the poolers that only follow. */
    public PoolerProcess follower() {
        return poolers.get("p" + poolers.size());
    }

    // ---- Policy changes ----

    /** The text of a policy that differs from all earlier versions. */
    String newPolicyText() {
        return new JSONObject().put("settings", new JSONObject(settings).put("over-share-worth", ++overShareWorth)).toString();
    }

    /** The policy history as the store has it. */
    PolicyHistory history() throws IOException {
        return ProtoMapper.toHistory(store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance()).build()).getHistory());
    }

    /** Stores a new version. Returns its number. */
    long propose() throws IOException {
        long newest = history().newestNumber();
        EntryResult result = store.write(new Propose(PolicyVersion.of(newest + 1, newest, newPolicyText(), "drill")));
        if (!result.accepted()) {
            throw new IOException(result.reason());
        }
        return newest + 1;
    }

    /** Activates a version. Accepted also if it is active already, by an earlier call whose outcome was unknown. */
    EntryResult activate(long number, long delayMs) throws IOException {
        EntryResult result = store.write(new Activate(number, delayMs * 1_000_000, "drill", 0));
        return result.reason().endsWith("in force already") ? new EntryResult(true, "") : result;
    }

    /** Proposes a new version and activates it as soon as a majority of members has checked it. */
    public void changePolicy(long delayMs) throws IOException, InterruptedException {
        long number = propose();
        EntryResult result = activate(number, delayMs);
        for (long deadlineMs = nowMs() + AGREEMENT_TIMEOUT_MS; !result.accepted(); Thread.sleep(5)) {
            if (nowMs() > deadlineMs) {
                throw new IOException(result.reason());
            }
            result = activate(number, delayMs);
        }
    }

    // ---- Agreement ----

    /** Waits until every pooler serves the active version, confirmed, and all members have the same history. */
    public void requireAgreement() throws InterruptedException, IOException {
        String disagreement = awaitAgreement();
        if (!disagreement.isEmpty()) {
            throw new IOException("the fleet does not agree: " + disagreement);
        }
    }

    /** Waits until the fleet agrees. Returns an empty string, or the remaining disagreement after the time-out. */
    String awaitAgreement() throws InterruptedException {
        String disagreement = "";
        for (long deadlineMs = nowMs() + AGREEMENT_TIMEOUT_MS; nowMs() < deadlineMs; Thread.sleep(10)) {
            try {
                disagreement = findDisagreement();
                if (disagreement.isEmpty()) {
                    return "";
                }
            } catch (IOException e) {
                disagreement = e.getMessage();
            }
        }
        return disagreement;
    }

    /** Describes a difference between members or poolers, empty if the fleet agrees. */
    private String findDisagreement() throws IOException {
        PolicyHistory history = history();
        long active = history.active().map(PolicyHistory.Activation::number).orElse(0L);
        for (String member : members.names()) {
            PolicyHistory memberHistory = ProtoMapper.toHistory(store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance())
                    .build(), member).getHistory());
            if (!memberHistory.versions().equals(history.versions()) || !memberHistory.activations().equals(history.activations())) {
                return "the history of " + member + " is another";
            }
        }
        for (PoolerProcess pooler : poolers.values()) {
            try (PgClient client = pooler.connect()) {
                Map<String, String> stats = new HashMap<>();
                client.query("SHOW STATS", stats);
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

    /** Whether this pooler runs a member of the store. */
    boolean isVoter(String pooler) {
        return members.names().contains(memberOf(pooler));
    }

    private static String memberOf(String pooler) {
        return "n" + pooler.substring(1);
    }

    /** The pooler that runs the leader. */
    String leader() throws InterruptedException {
        for (long deadlineMs = nowMs() + AGREEMENT_TIMEOUT_MS; nowMs() < deadlineMs; Thread.sleep(100)) {
            for (String member : members.names()) {
                try {
                    if (store.status(member).role().equals("leader")) {
                        return "p" + member.substring(1);
                    }
                } catch (IOException e) {
                    // try the next member
                }
            }
        }
        throw new IllegalStateException("no member is leader");
    }

    /** Sets the mode of all relays from this pooler. */
    void setRelayMode(String pooler, Mode mode) {
        relays.get(pooler).values().forEach(relay -> relay.setMode(mode));
    }

    /** Partitions the network: these poolers and their members cannot reach the others, nor the others them. */
    void partition(List<String> minority) {
        relays.forEach((from, poolerRelays) -> poolerRelays.forEach((to, relay) -> {
            boolean crossesPartition = minority.contains(from) != minority.contains("p" + to.substring(1));
            relay.setMode(crossesPartition ? Mode.SILENT : Mode.PASS);
        }));
    }

    /** Removes all network faults and restarts the poolers that are down. */
    void heal() throws IOException {
        relays.keySet().forEach(pooler -> setRelayMode(pooler, Mode.PASS));
        for (PoolerProcess pooler : poolers.values()) {
            if (!pooler.isAlive()) {
                pooler.start();
            }
        }
    }

    /** Monotonic time in milliseconds. */
    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** The folder of all processes' files. */
    Path folder() {
        return folder;
    }

    /** Kills all processes. Their files are kept. */
    @Override
    public void close() throws Exception {
        poolers.values().forEach(PoolerProcess::kill);
        extraPoolers.forEach(PoolerProcess::kill);
        store.close();
        for (Map<String, FaultRelay> poolerRelays : relays.values()) {
            for (FaultRelay relay : poolerRelays.values()) {
                relay.close();
            }
        }
        standIns.close();
    }

    /** Deletes the processes' files. */
    public void deleteFiles() throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(Collections.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
