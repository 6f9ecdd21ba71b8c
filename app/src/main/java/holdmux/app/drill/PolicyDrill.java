package holdmux.app.drill;

import holdmux.app.drill.PoolerProcess.Talk;
import holdmux.standins.FaultRelay;
import holdmux.standins.FaultRelay.Mode;
import holdmux.standins.StandIns;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.Forms;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyVersion;
import holdmux.store.Verdict;
import holdmux.store.raft.Members;
import holdmux.store.raft.StoreClient;
import holdmux.store.wire.Empty;
import holdmux.store.wire.Question;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.json.JSONObject;

/**
 * Changes of policy on a small fleet of real processes, five members of the store and five poolers that follow, with
 * faults between and upon them, watched from outside: no pooler may serve a version that is not in force, or an old one
 * for longer than the bound; members' histories must be equal; requests keep their rules. Deterministic in what it does,
 * not in when the processes come to it.
 */
public final class PolicyDrill implements AutoCloseable {
    private static final int MEMBERS = 5, FOLLOWERS = 5;
    private static final long BOUND_MS = 5_000, DELAY_MS = 300;
    /** An election, a start on a busy machine: how long the fleet may take to agree once all faults are gone. */
    private static final long AGREE_MS = 60_000;
    private static final int LOOK_MS = 40, LOAD_MS = 10, PAUSE_LEAST_MS = 200, PAUSE_MOST_MS = 2_500;

    /** What a round does while a change is made. */
    enum Trouble {
        NONE, MEMBER_KILLED, TWO_MEMBERS_DOWN, LEADER_ON_SMALL_SIDE, POOLER_STOPPED, RESTART_WAVE, FOLLOWER_CUT, HALF_OPEN,
        RESETS, SLOW, TWO_OPERATORS, KILLED_BETWEEN_COMMIT_AND_ACTIVATION, MAJORITY_LOST, INVALID
    }

    private final PrintStream out;
    private final Path folder;
    private final StandIns standIns = new StandIns();
    private final Map<String, PoolerProcess> poolers = new LinkedHashMap<>();
    /** Ways by who goes and to which member. */
    private final Map<String, Map<String, FaultRelay>> ways = new HashMap<>();
    private final Members members;
    private final StoreClient store;
    private final Audit audit = new Audit(BOUND_MS);
    private final ConcurrentLinkedQueue<Audit.Look> looks = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final AtomicInteger requests = new AtomicInteger(), served = new AtomicInteger();
    private final Map<String, Integer> stopped = new ConcurrentHashMap<>();
    private final String settings;
    private volatile boolean over;
    private long worth = 1;
    /** An activation of which nobody told the outcome, 0 for none, and when it was asked for. */
    private long unknown, unknownAsked;

    public PolicyDrill(PrintStream out) throws Exception {
        this.out = out;
        folder = Files.createTempDirectory("holdmux-drill");
        for (String server : List.of("s-1", "s-2", "s-3")) {
            standIns.start(server, StandIns.PG_KIND);
        }
        List<String> listed = new ArrayList<>();
        Map<String, InetSocketAddress> direct = new LinkedHashMap<>();
        for (int i = 1; i <= MEMBERS; i++) {
            direct.put("n" + i, new InetSocketAddress("127.0.0.1", StandIns.freePort()));
            listed.add("n" + i + "=127.0.0.1:" + direct.get("n" + i).getPort());
        }
        members = Members.parse(String.join(",", listed));
        store = new StoreClient(members, 1_000);
        String config = null;
        for (int i = 1; i <= MEMBERS + FOLLOWERS; i++) {
            String name = "p" + i;
            String id = i <= MEMBERS ? "n" + i : null;
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
                    BOUND_MS / 1_000 + "s", "--store-route", String.join(",", routes)));
            if (id != null) {
                flags.addAll(List.of("--store-id", id, "--store-first"));
            }
            int port = StandIns.freePort();
            config = standIns.config(port, 256, 512);
            poolers.put(name, new PoolerProcess(name, port, folder.resolve(name), config, flags));
        }
        settings = new JSONObject(config).getJSONObject("settings").toString();
    }

    /** Plays rounds of this seed; the exit code: 0 where no rule was broken. */
    public int run(int rounds, long seed) throws Exception {
        long start = System.nanoTime();
        for (PoolerProcess pooler : poolers.values()) {
            pooler.start();
        }
        for (PoolerProcess pooler : poolers.values()) {
            String problem = pooler.awaitListening();
            if (problem != null) {
                throw new IOException(problem);
            }
        }
        change(true);
        awaitAgreement("the start");
        List<Thread> watchers = new ArrayList<>();
        poolers.values().forEach(pooler -> {
            watchers.add(thread("look " + pooler.name, () -> look(pooler)));
            watchers.add(thread("load " + pooler.name, () -> load(pooler)));
        });
        Random random = new Random(seed);
        List<Trouble> deck = new ArrayList<>();
        for (int round = 1; round <= rounds; round++) {
            if (deck.isEmpty()) {
                deck.addAll(List.of(Trouble.values()));
                Collections.shuffle(deck, random);
            }
            Trouble trouble = deck.remove(deck.size() - 1);
            long began = nowMs();
            round(trouble, random);
            healAll();
            awaitAgreement("round " + round + " " + trouble);
            out.printf("round %d %s: agreed after %d ms%n", round, trouble, nowMs() - began);
        }
        over = true;
        for (Thread watcher : watchers) {
            watcher.join();
        }
        looks.forEach(audit::looked);
        broken.forEach(audit::broken);
        standIns.group().runs().forEach((id, runs) -> {
            if (id.startsWith("w") && runs > 1) {
                audit.broken("the write " + id + " ran " + runs + " times");
            }
        });
        List<String> verdict = audit.verdict();
        out.printf("%d rounds in %d s: %d looks, %d requests, %d served; two versions at once for %d ms at most%n", rounds,
                (System.nanoTime() - start) / 1_000_000_000, audit.looks(), requests.get(), served.get(),
                audit.longestMixed());
        verdict.stream().limit(20).forEach(words -> out.println("BROKEN: " + words));
        out.println(verdict.isEmpty() ? "no rule broken" : verdict.size() + " broken");
        return verdict.isEmpty() ? 0 : 1;
    }

    // ---- A round ----

    private void round(Trouble trouble, Random random) throws Exception {
        List<String> all = new ArrayList<>(poolers.keySet());
        Collections.shuffle(all, random);
        List<String> voters = all.stream().filter(this::votes).toList();
        String follower = all.stream().filter(p -> !votes(p)).findFirst().orElseThrow();
        int pause = PAUSE_LEAST_MS + random.nextInt(PAUSE_MOST_MS - PAUSE_LEAST_MS);
        switch (trouble) {
            case NONE -> change(true);
            case MEMBER_KILLED -> {
                Thread killer = thread("killer", () -> poolers.get(voters.get(0)).kill());
                change(false);
                killer.join();
            }
            case TWO_MEMBERS_DOWN -> {
                poolers.get(voters.get(0)).kill();
                poolers.get(voters.get(1)).kill();
                change(true);
            }
            case LEADER_ON_SMALL_SIDE -> {
                String leader = leader();
                String with = voters.stream().filter(v -> !v.equals(leader)).findFirst().orElseThrow();
                split(List.of(leader, with, follower));
                Thread.sleep(pause);
                change(false);
            }
            case POOLER_STOPPED -> {
                for (String name : List.of(voters.get(0), follower)) {
                    stopped.put(name, 1);
                    poolers.get(name).signal("STOP");
                }
                change(true);
                Thread.sleep(BOUND_MS + pause);
                for (String name : List.of(voters.get(0), follower)) {
                    poolers.get(name).signal("CONT");
                    stopped.remove(name);
                }
            }
            case RESTART_WAVE -> {
                Thread wave = thread("wave", () -> {
                    for (String name : all.subList(0, 4)) {
                        poolers.get(name).kill();
                        restart(name);
                    }
                });
                change(false);
                wave.join();
            }
            case FOLLOWER_CUT -> {
                ways.get(follower).values().forEach(way -> way.set(Mode.SILENT));
                change(true);
                Thread.sleep(BOUND_MS + pause);
            }
            case HALF_OPEN -> {
                ways.get(voters.get(0)).values().forEach(way -> way.set(Mode.HALF_OPEN));
                ways.get(follower).values().forEach(way -> way.set(Mode.HALF_OPEN));
                change(false);
                Thread.sleep(pause);
            }
            case RESETS -> {
                for (int i = 0; i < 5; i++) {
                    ways.get(all.get(i)).values().forEach(way -> way.set(Mode.RESET));
                }
                change(false);
                Thread.sleep(pause);
            }
            case SLOW -> {
                ways.values().forEach(own -> own.values().forEach(way -> way.set(Mode.SLOW)));
                change(false);
            }
            case TWO_OPERATORS -> twoOperators();
            case KILLED_BETWEEN_COMMIT_AND_ACTIVATION -> {
                long number = propose(text());
                poolers.get(voters.get(0)).kill();
                poolers.get(follower).kill();
                restart(follower);
                Thread.sleep(pause);
                activate(number, true);
            }
            case MAJORITY_LOST -> {
                voters.subList(0, 3).forEach(name -> poolers.get(name).kill());
                Thread.sleep(pause);
                change(false);
            }
            case INVALID -> {
                long newest = history().newest();
                Verdict verdict = store.write(new Propose(PolicyVersion.of(newest + 1, newest, "{\"settings\":{}}", "drill")));
                if (verdict.accepted()) {
                    broken.add("an invalid version was kept");
                }
            }
            default -> throw new IllegalStateException("no round for " + trouble);
        }
    }

    private boolean votes(String pooler) {
        return Integer.parseInt(pooler.substring(1)) <= MEMBERS;
    }

    private static String memberOf(String pooler) {
        return "n" + pooler.substring(1);
    }

    private String leader() throws InterruptedException {
        for (long by = nowMs() + AGREE_MS; nowMs() < by; Thread.sleep(100)) {
            for (String name : poolers.keySet()) {
                try {
                    if (votes(name) && store.standing(memberOf(name)).role().equals("leader")) {
                        return name;
                    }
                } catch (IOException e) {
                    // another one
                }
            }
        }
        throw new IllegalStateException("nobody leads");
    }

    /** Cuts these off from the members among the others, both ways. */
    private void split(List<String> small) {
        ways.forEach((from, own) -> own.forEach((to, way) -> {
            boolean across = small.contains(from) != small.contains("p" + to.substring(1));
            way.set(across ? Mode.SILENT : Mode.PASS);
        }));
    }

    private void healAll() throws InterruptedException, IOException {
        ways.values().forEach(own -> own.values().forEach(way -> way.set(Mode.PASS)));
        for (String name : poolers.keySet()) {
            if (!poolers.get(name).isAlive()) {
                restart(name);
            }
        }
    }

    private void restart(String name) {
        try {
            poolers.get(name).start();
        } catch (IOException e) {
            broken.add(name + " does not start: " + e.getMessage());
        }
    }

    // ---- Changes ----

    private String text() {
        return new JSONObject().put("settings", new JSONObject(settings).put("over-share-worth", ++worth)).toString();
    }

    private PolicyHistory history() throws IOException {
        return Forms.history(store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance()).build()).getHistory());
    }

    /** Proposes and activates a new version; {@code must}: whether the round leaves the store able to. */
    private void change(boolean must) throws Exception {
        long number;
        try {
            number = propose(text());
        } catch (IOException e) {
            if (must) {
                broken.add("a majority is up, but a proposal failed: " + e.getMessage());
            }
            return;
        }
        activate(number, must);
    }

    private long propose(String text) throws IOException {
        long newest = history().newest();
        Verdict verdict = store.write(new Propose(PolicyVersion.of(newest + 1, newest, text, "drill")));
        if (!verdict.accepted()) {
            throw new IOException(verdict.reason());
        }
        return newest + 1;
    }

    private void activate(long number, boolean must) throws InterruptedException {
        long asked = nowMs();
        String last = "";
        for (long by = asked + AGREE_MS / 3; nowMs() < by; Thread.sleep(100)) {
            try {
                Verdict verdict = store.write(new Activate(number, DELAY_MS * 1_000_000, "drill", 0));
                if (verdict.accepted() || verdict.reason().endsWith("in force already")) {
                    audit.changed(number, asked, nowMs(), DELAY_MS);
                    return;
                }
                last = verdict.reason();
            } catch (IOException e) {
                last = e.getMessage();
            }
            if (!must) {
                unknown = number; // found out once the faults are gone
                unknownAsked = asked;
                return;
            }
        }
        broken.add("version " + number + " could not be put in force: " + last);
    }

    private void twoOperators() throws Exception {
        long newest = history().newest();
        List<Verdict> verdicts = Collections.synchronizedList(new ArrayList<>());
        List<Thread> both = new ArrayList<>();
        for (String by : List.of("ana", "bob")) {
            String text = text();
            both.add(thread(by, () -> {
                try (StoreClient own = new StoreClient(members, 1_000)) {
                    verdicts.add(own.write(new Propose(PolicyVersion.of(newest + 1, newest, text, by))));
                } catch (IOException e) {
                    broken.add("no faults, but a proposal failed: " + e.getMessage());
                }
            }));
        }
        for (Thread one : both) {
            one.join();
        }
        if (verdicts.stream().filter(Verdict::accepted).count() != 1) {
            broken.add("of two proposals at once these were told: " + verdicts);
        }
        activate(newest + 1, true);
    }

    /** Waits until every pooler serves what is in force, confirmed, and all members hold one history. */
    private void awaitAgreement(String after) throws InterruptedException {
        String missing = "";
        for (long by = nowMs() + AGREE_MS; nowMs() < by; Thread.sleep(50)) {
            try {
                missing = missing();
                if (missing.isEmpty()) {
                    return;
                }
            } catch (IOException e) {
                missing = e.getMessage();
            }
        }
        broken.add("after " + after + " the fleet did not agree: " + missing);
    }

    private String missing() throws IOException {
        PolicyHistory history = history();
        long active = history.active().map(PolicyHistory.Activation::number).orElse(0L);
        if (unknown != 0) {
            boolean taken = history.activations().stream().anyMatch(a -> a.number() == unknown);
            if (taken) {
                audit.changed(unknown, unknownAsked, nowMs(), DELAY_MS);
            }
            unknown = 0;
        }
        for (String member : members.names()) {
            PolicyHistory own = Forms.history(store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance())
                    .build(), member).getHistory());
            if (!own.versions().equals(history.versions()) || !own.activations().equals(history.activations())) {
                return "the history of " + member + " is another";
            }
        }
        for (PoolerProcess pooler : poolers.values()) {
            try (Talk talk = new Talk(pooler.port, 1_000)) {
                Map<String, String> stats = new HashMap<>();
                talk.ask("SHOW STATS", stats);
                if (!stats.get("policy_version").equals(Long.toString(active))
                        || !stats.get("policy_state").equals("confirmed")) {
                    return pooler.name + " is at " + stats.get("policy_version") + " " + stats.get("policy_state")
                            + " where " + active + " is in force";
                }
            }
        }
        return "";
    }

    // ---- Watching ----

    private void look(PoolerProcess pooler) {
        while (!over) {
            try (Talk talk = new Talk(pooler.port, 1_000)) {
                while (!over) {
                    Map<String, String> stats = new HashMap<>();
                    long began = nowMs();
                    talk.ask("SHOW STATS", stats);
                    looks.add(new Audit.Look(pooler.name, began, nowMs(), Long.parseLong(stats.get("policy_version")),
                            stats.get("policy_state").equals("closed")));
                    Thread.sleep(LOOK_MS);
                }
            } catch (IOException e) {
                pause(LOOK_MS); // killed or stopped
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Reads and writes; the one rule that needs a watch here: a value that comes is the one of this request. */
    private void load(PoolerProcess pooler) {
        long number = 0;
        while (!over) {
            try (Talk talk = new Talk(pooler.port, 3_000)) {
                while (!over) {
                    String id = pooler.name + "x" + ++number;
                    requests.incrementAndGet();
                    String state = talk.ask(number % 5 == 0
                            ? "INSERT INTO facts (code, data) VALUES ('k" + pooler.name + "', '\\x9f') RETURNING data /* id=w"
                                    + id + ",c=save-quote,d=2000,cluster=1 */"
                            : "SELECT data FROM facts WHERE code = 'k1' /* id=r" + id + ",c=rate-lookup,d=1000,cluster=1 */",
                            new HashMap<>());
                    if (state.isEmpty()) {
                        served.incrementAndGet();
                    } else if (!state.equals("57P03") && !state.equals("53300") && !state.equals("08007")) {
                        broken.add(pooler.name + " told " + id + " " + state);
                    }
                    Thread.sleep(LOAD_MS);
                }
            } catch (IOException e) {
                if (!stopped.containsKey(pooler.name) && pooler.isAlive() && e instanceof SocketTimeoutException) {
                    broken.add(pooler.name + " gave no answer in 3 s");
                }
                pause(LOOK_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Ends all processes; their logs stay where a rule was broken. */
    @Override
    public void close() throws Exception {
        over = true;
        poolers.values().forEach(PoolerProcess::kill);
        store.close();
        for (Map<String, FaultRelay> own : ways.values()) {
            for (FaultRelay way : own.values()) {
                way.close();
            }
        }
        standIns.close();
        if (broken.isEmpty() && audit.verdict().isEmpty()) {
            try (var files = Files.walk(folder)) {
                files.sorted(Collections.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            out.println("logs and stores are kept in " + folder);
        }
    }
}
