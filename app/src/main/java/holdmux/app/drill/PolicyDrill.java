package holdmux.app.drill;

import holdmux.app.demo.PgClient;
import holdmux.standins.FaultRelay.Mode;
import holdmux.store.Entry.Propose;
import holdmux.store.PolicyVersion;
import holdmux.store.EntryResult;
import holdmux.store.raft.StoreClient;
import java.io.IOException;
import java.io.PrintStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Changes of policy on a small fleet of real processes, members of the store and poolers that follow, with faults between
 * and upon them, watched from outside: no pooler may serve a version that is not in force, or an old one for longer than
 * the bound; members' histories must be equal; requests keep their rules. Deterministic in what it does, not in when the
 * processes come to it.
 */
public final class PolicyDrill implements AutoCloseable {
    private static final long BOUND_MS = 5_000, DELAY_MS = 300;
    private static final int LOOK_MS = 40, LOAD_MS = 10, PAUSE_LEAST_MS = 200, PAUSE_MOST_MS = 2_500;

    /** What a round does while a change is made. */
    enum Trouble {
        NONE, MEMBER_KILLED, TWO_MEMBERS_DOWN, LEADER_ON_SMALL_SIDE, POOLER_STOPPED, RESTART_WAVE, FOLLOWER_CUT, HALF_OPEN,
        RESETS, SLOW, TWO_OPERATORS, KILLED_BETWEEN_COMMIT_AND_ACTIVATION, MAJORITY_LOST, INVALID
    }

    private final PrintStream out;
    private final PolicyFleet fleet;
    private final Audit audit = new Audit(BOUND_MS);
    private final ConcurrentLinkedQueue<Audit.Look> looks = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final AtomicInteger requests = new AtomicInteger(), served = new AtomicInteger();
    private final Set<String> stopped = ConcurrentHashMap.newKeySet();
    private volatile boolean over;
    private boolean sound;
    /** An activation of which nobody told the outcome, 0 for none, and when it was asked for. */
    private long unknown, unknownAsked;

    /** {@code members}: 3 or 5 poolers that are members of the store; {@code followers}: at least one that only follows. */
    public PolicyDrill(int members, int followers, PrintStream out) throws Exception {
        this.out = out;
        fleet = new PolicyFleet(members, followers, BOUND_MS);
    }

    /** Plays rounds of this seed; the exit code: 0 where no rule was broken. */
    public int run(int rounds, long seed) throws Exception {
        long start = nowMs();
        fleet.startAll();
        change(true);
        agree("the start");
        List<Thread> watchers = new ArrayList<>();
        fleet.poolers.values().forEach(pooler -> {
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
            fleet.heal();
            agree("round " + round + " " + trouble);
            out.printf("round %d %s: agreed after %d ms%n", round, trouble, nowMs() - began);
        }
        over = true;
        for (Thread watcher : watchers) {
            watcher.join();
        }
        return judge(rounds, nowMs() - start);
    }

    private int judge(int rounds, long tookMs) {
        looks.forEach(audit::looked);
        broken.forEach(audit::broken);
        fleet.standIns.group().runCounts().forEach((id, runs) -> {
            if (id.startsWith("w") && runs > 1) {
                audit.broken("the write " + id + " ran " + runs + " times");
            }
        });
        List<String> verdict = audit.verdict();
        out.printf("%d rounds in %d s: %d looks, %d requests, %d served; two versions at once for %d ms at most%n", rounds,
                tookMs / 1_000, audit.looks(), requests.get(), served.get(), audit.longestMixed());
        verdict.stream().limit(20).forEach(words -> out.println("BROKEN: " + words));
        out.println(verdict.isEmpty() ? "no rule broken" : verdict.size() + " broken");
        sound = verdict.isEmpty();
        return sound ? 0 : 1;
    }

    // ---- A round ----

    private void round(Trouble trouble, Random random) throws Exception {
        List<String> all = new ArrayList<>(fleet.poolers.keySet());
        Collections.shuffle(all, random);
        List<String> voters = all.stream().filter(fleet::votes).toList();
        String follower = all.stream().filter(p -> !fleet.votes(p)).findFirst().orElseThrow();
        int pause = PAUSE_LEAST_MS + random.nextInt(PAUSE_MOST_MS - PAUSE_LEAST_MS);
        switch (trouble) {
            case NONE -> change(true);
            case MEMBER_KILLED -> {
                Thread killer = thread("killer", () -> fleet.poolers.get(voters.get(0)).kill());
                change(false);
                killer.join();
            }
            case TWO_MEMBERS_DOWN -> {
                fleet.poolers.get(voters.get(0)).kill();
                fleet.poolers.get(voters.get(voters.size() / 2 - 1)).kill(); // the same one again among three
                change(true);
            }
            case LEADER_ON_SMALL_SIDE -> {
                String leader = fleet.leader();
                List<String> small = new ArrayList<>(List.of(leader, follower));
                voters.stream().filter(v -> !v.equals(leader)).limit(voters.size() / 2 - 1).forEach(small::add);
                fleet.split(small);
                Thread.sleep(pause);
                change(false);
            }
            case POOLER_STOPPED -> {
                for (String name : List.of(voters.get(0), follower)) {
                    stopped.add(name);
                    fleet.poolers.get(name).signal("STOP");
                }
                change(true);
                Thread.sleep(BOUND_MS + pause);
                for (String name : List.of(voters.get(0), follower)) {
                    fleet.poolers.get(name).signal("CONT");
                    stopped.remove(name);
                }
            }
            case RESTART_WAVE -> {
                Thread wave = thread("wave", () -> {
                    for (String name : all.subList(0, all.size() / 2)) {
                        fleet.poolers.get(name).kill();
                        restart(name);
                    }
                });
                change(false);
                wave.join();
            }
            case FOLLOWER_CUT -> {
                fleet.waysOf(follower, Mode.SILENT);
                change(true);
                Thread.sleep(BOUND_MS + pause);
            }
            case HALF_OPEN -> {
                fleet.waysOf(voters.get(0), Mode.HALF_OPEN);
                fleet.waysOf(follower, Mode.HALF_OPEN);
                change(false);
                Thread.sleep(pause);
            }
            case RESETS -> {
                for (int i = 0; i < all.size() / 2; i++) {
                    fleet.waysOf(all.get(i), Mode.RESET);
                }
                change(false);
                Thread.sleep(pause);
            }
            case SLOW -> {
                all.forEach(pooler -> fleet.waysOf(pooler, Mode.SLOW));
                change(false);
            }
            case TWO_OPERATORS -> twoOperators();
            case KILLED_BETWEEN_COMMIT_AND_ACTIVATION -> {
                long number = fleet.propose();
                fleet.poolers.get(voters.get(0)).kill();
                fleet.poolers.get(follower).kill();
                restart(follower);
                Thread.sleep(pause);
                activate(number, true);
            }
            case MAJORITY_LOST -> {
                voters.subList(0, voters.size() / 2 + 1).forEach(name -> fleet.poolers.get(name).kill());
                Thread.sleep(pause);
                change(false);
            }
            case INVALID -> {
                long newest = fleet.history().newestNumber();
                EntryResult verdict = fleet.store.write(new Propose(PolicyVersion.of(newest + 1, newest, "{\"settings\":{}}", "drill")));
                if (verdict.accepted()) {
                    broken.add("an invalid version was kept");
                }
            }
            default -> throw new IllegalStateException("no round for " + trouble);
        }
    }

    // ---- Changes ----

    private void restart(String name) {
        try {
            fleet.poolers.get(name).start();
        } catch (IOException e) {
            broken.add(name + " does not start: " + e.getMessage());
        }
    }

    /** Proposes and activates a new version; {@code must}: whether the round leaves the store able to. */
    private void change(boolean must) throws InterruptedException {
        try {
            activate(fleet.propose(), must);
        } catch (IOException e) {
            if (must) {
                broken.add("a majority is up, but a proposal failed: " + e.getMessage());
            }
        }
    }

    private void activate(long number, boolean must) throws InterruptedException {
        long asked = nowMs();
        String last = "";
        for (long by = asked + PolicyFleet.AGREE_MS / 3; nowMs() < by; Thread.sleep(100)) {
            try {
                EntryResult verdict = fleet.activate(number, DELAY_MS);
                if (verdict.accepted()) {
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
        long newest = fleet.history().newestNumber();
        List<EntryResult> verdicts = Collections.synchronizedList(new ArrayList<>());
        List<Thread> both = new ArrayList<>();
        for (String by : List.of("ana", "bob")) {
            String text = fleet.text();
            both.add(thread(by, () -> {
                try (StoreClient own = new StoreClient(fleet.members, 1_000)) {
                    verdicts.add(own.write(new Propose(PolicyVersion.of(newest + 1, newest, text, by))));
                } catch (IOException e) {
                    broken.add("no faults, but a proposal failed: " + e.getMessage());
                }
            }));
        }
        for (Thread one : both) {
            one.join();
        }
        if (verdicts.stream().filter(EntryResult::accepted).count() != 1) {
            broken.add("of two proposals at once these were told: " + verdicts);
        }
        activate(newest + 1, true);
    }

    private void agree(String after) throws InterruptedException {
        String missing = fleet.awaitAgreement();
        if (!missing.isEmpty()) {
            String words = "after " + after + " the fleet did not agree: " + missing;
            out.println(words);
            broken.add(words);
        } else if (unknown != 0) {
            try {
                if (fleet.history().activations().stream().anyMatch(a -> a.number() == unknown)) {
                    audit.changed(unknown, unknownAsked, nowMs(), DELAY_MS);
                }
            } catch (IOException e) {
                broken.add("the fleet agreed, but its history cannot be read: " + e.getMessage());
            }
        }
        unknown = 0;
    }

    // ---- Watching ----

    private void look(PoolerProcess pooler) {
        while (!over) {
            try (PgClient talk = pooler.talk()) {
                while (!over) {
                    Map<String, String> stats = new HashMap<>();
                    long began = nowMs();
                    talk.query("SHOW STATS", stats);
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
            try (PgClient talk = new PgClient(pooler.port, 3_000)) {
                while (!over) {
                    String id = pooler.name + "x" + ++number;
                    requests.incrementAndGet();
                    String state = talk.query(number % 5 == 0
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
                if (!stopped.contains(pooler.name) && pooler.isAlive() && e instanceof SocketTimeoutException) {
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
        return PolicyFleet.nowMs();
    }

    /** Ends all processes; their logs stay where a rule was broken. */
    @Override
    public void close() throws Exception {
        over = true;
        fleet.close();
        if (sound) {
            fleet.forget();
        } else {
            out.println("logs and stores are kept in " + fleet.folder());
        }
    }
}
