package holdmux.app.drill;

import holdmux.app.demo.PgClient;
import holdmux.standins.FaultRelay.Mode;
import holdmux.store.Entry.Propose;
import holdmux.store.EntryResult;
import holdmux.store.PolicyVersion;
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
 * Changes the policy of a small fleet of processes, members of the store and followers, under injected process and network
 * faults, and observes it from outside. No pooler may serve a version that is not in force, or a superseded one for longer
 * than the bound; the members' histories must be equal; no write may run twice, and requests must be answered correctly. The
 * sequence of actions is determined by the seed, the timing of the processes is not.
 */
public final class PolicyDrill implements AutoCloseable {
    private static final long BOUND_MS = 5_000, DELAY_MS = 300;
    private static final int OBSERVE_INTERVAL_MS = 40, REQUEST_INTERVAL_MS = 10, MIN_PAUSE_MS = 200, MAX_PAUSE_MS = 2_500;

    /** The fault that a round injects while the policy changes. */
    enum Scenario {
        NONE, MEMBER_KILLED, TWO_MEMBERS_DOWN, LEADER_ON_SMALL_SIDE, POOLER_STOPPED, RESTART_WAVE, FOLLOWER_CUT, HALF_OPEN,
        RESETS, SLOW, TWO_OPERATORS, KILLED_BETWEEN_COMMIT_AND_ACTIVATION, MAJORITY_LOST, INVALID
    }

    private final PrintStream out;
    private final PolicyFleet fleet;
    private final Audit audit = new Audit(BOUND_MS);
    private final ConcurrentLinkedQueue<Audit.Observation> observations = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger requestCount = new AtomicInteger(), servedCount = new AtomicInteger();
    private final Set<String> stoppedPoolers = ConcurrentHashMap.newKeySet();
    private volatile boolean finished;
    private boolean passed;
    /** The version of an activation whose outcome is unknown, 0 for none, and when it was requested. */
    private long unconfirmedVersion, unconfirmedSinceMs;

    /**
     * Creates a fleet; {@link #run} starts it.
     *
     * @param members   poolers that are voting members of the store, 3 or 5
     * @param followers poolers that only follow the store, at least 1
     * @param out       where results are printed
     */
    public PolicyDrill(int members, int followers, PrintStream out) throws Exception {
        this.out = out;
        fleet = new PolicyFleet(members, followers, BOUND_MS);
    }

    /** Runs rounds in the order given by the seed. Returns exit code 0 if no rule was violated, otherwise 1. */
    public int run(int rounds, long seed) throws Exception {
        long startMs = nowMs();
        fleet.startAll();
        changePolicy(true);
        awaitAgreement("the start");
        List<Thread> watchers = new ArrayList<>();
        fleet.poolers.values().forEach(pooler -> {
            watchers.add(startThread("look " + pooler.name, () -> observe(pooler)));
            watchers.add(startThread("load " + pooler.name, () -> sendRequests(pooler)));
        });
        Random random = new Random(seed);
        List<Scenario> remainingScenarios = new ArrayList<>();
        for (int round = 1; round <= rounds; round++) {
            if (remainingScenarios.isEmpty()) {
                remainingScenarios.addAll(List.of(Scenario.values()));
                Collections.shuffle(remainingScenarios, random);
            }
            Scenario scenario = remainingScenarios.remove(remainingScenarios.size() - 1);
            long roundStartMs = nowMs();
            playRound(scenario, random);
            fleet.heal();
            awaitAgreement("round " + round + " " + scenario);
            out.printf("round %d %s: agreed after %d ms%n", round, scenario, nowMs() - roundStartMs);
        }
        finished = true;
        for (Thread watcher : watchers) {
            watcher.join();
        }
        return reportResult(rounds, nowMs() - startMs);
    }

    /** Prints the violations and totals. Returns the exit code. */
    private int reportResult(int rounds, long elapsedMs) {
        observations.forEach(audit::recordObservation);
        violations.forEach(audit::recordViolation);
        fleet.standIns.group().runCounts().forEach((id, runs) -> {
            if (id.startsWith("w") && runs > 1) {
                audit.recordViolation("the write " + id + " ran " + runs + " times");
            }
        });
        List<String> found = audit.findViolations();
        out.printf("%d rounds in %d s: %d looks, %d requests, %d served; two versions at once for %d ms at most%n", rounds,
                elapsedMs / 1_000, audit.observationCount(), requestCount.get(), servedCount.get(), audit.longestMixedMs());
        found.stream().limit(20).forEach(violation -> out.println("BROKEN: " + violation));
        out.println(found.isEmpty() ? "no rule broken" : found.size() + " broken");
        passed = found.isEmpty();
        return passed ? 0 : 1;
    }

    // ---- Rounds ----

    private void playRound(Scenario scenario, Random random) throws Exception {
        List<String> shuffled = new ArrayList<>(fleet.poolers.keySet());
        Collections.shuffle(shuffled, random);
        List<String> voters = shuffled.stream().filter(fleet::isVoter).toList();
        String follower = shuffled.stream().filter(p -> !fleet.isVoter(p)).findFirst().orElseThrow();
        int pauseMs = MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS);
        switch (scenario) {
            case NONE -> changePolicy(true);
            case MEMBER_KILLED -> {
                Thread killer = startThread("killer", () -> fleet.poolers.get(voters.get(0)).kill());
                changePolicy(false);
                killer.join();
            }
            case TWO_MEMBERS_DOWN -> {
                fleet.poolers.get(voters.get(0)).kill();
                fleet.poolers.get(voters.get(voters.size() / 2 - 1)).kill(); // with three members this is the same one again
                changePolicy(true);
            }
            case LEADER_ON_SMALL_SIDE -> {
                String leader = fleet.leader();
                List<String> minority = new ArrayList<>(List.of(leader, follower));
                voters.stream().filter(v -> !v.equals(leader)).limit(voters.size() / 2 - 1).forEach(minority::add);
                fleet.partition(minority);
                Thread.sleep(pauseMs);
                changePolicy(false);
            }
            case POOLER_STOPPED -> {
                for (String name : List.of(voters.get(0), follower)) {
                    stoppedPoolers.add(name);
                    fleet.poolers.get(name).signal("STOP");
                }
                changePolicy(true);
                Thread.sleep(BOUND_MS + pauseMs);
                for (String name : List.of(voters.get(0), follower)) {
                    fleet.poolers.get(name).signal("CONT");
                    stoppedPoolers.remove(name);
                }
            }
            case RESTART_WAVE -> {
                Thread restarts = startThread("wave", () -> {
                    for (String name : shuffled.subList(0, shuffled.size() / 2)) {
                        fleet.poolers.get(name).kill();
                        restart(name);
                    }
                });
                changePolicy(false);
                restarts.join();
            }
            case FOLLOWER_CUT -> {
                fleet.setRelayMode(follower, Mode.SILENT);
                changePolicy(true);
                Thread.sleep(BOUND_MS + pauseMs);
            }
            case HALF_OPEN -> {
                fleet.setRelayMode(voters.get(0), Mode.HALF_OPEN);
                fleet.setRelayMode(follower, Mode.HALF_OPEN);
                changePolicy(false);
                Thread.sleep(pauseMs);
            }
            case RESETS -> {
                for (int i = 0; i < shuffled.size() / 2; i++) {
                    fleet.setRelayMode(shuffled.get(i), Mode.RESET);
                }
                changePolicy(false);
                Thread.sleep(pauseMs);
            }
            case SLOW -> {
                shuffled.forEach(pooler -> fleet.setRelayMode(pooler, Mode.SLOW));
                changePolicy(false);
            }
            case TWO_OPERATORS -> proposeConcurrently();
            case KILLED_BETWEEN_COMMIT_AND_ACTIVATION -> {
                long number = fleet.propose();
                fleet.poolers.get(voters.get(0)).kill();
                fleet.poolers.get(follower).kill();
                restart(follower);
                Thread.sleep(pauseMs);
                activate(number, true);
            }
            case MAJORITY_LOST -> {
                voters.subList(0, voters.size() / 2 + 1).forEach(name -> fleet.poolers.get(name).kill());
                Thread.sleep(pauseMs);
                changePolicy(false);
            }
            case INVALID -> {
                long newest = fleet.history().newestNumber();
                EntryResult result = fleet.store.write(new Propose(PolicyVersion.of(newest + 1, newest, "{\"settings\":{}}", "drill")));
                if (result.accepted()) {
                    violations.add("an invalid version was kept");
                }
            }
            default -> throw new IllegalStateException("no round implements " + scenario);
        }
    }

    // ---- Policy changes ----

    private void restart(String name) {
        try {
            fleet.poolers.get(name).start();
        } catch (IOException e) {
            violations.add(name + " does not start: " + e.getMessage());
        }
    }

    /** Proposes and activates a new version. {@code mustSucceed}: whether the store can commit despite the round's faults. */
    private void changePolicy(boolean mustSucceed) throws InterruptedException {
        try {
            activate(fleet.propose(), mustSucceed);
        } catch (IOException e) {
            if (mustSucceed) {
                violations.add("a majority is up, but a proposal failed: " + e.getMessage());
            }
        }
    }

    /** Activates a version, retrying if it must succeed. Otherwise {@link #awaitAgreement} finds out the outcome of a failed try. */
    private void activate(long number, boolean mustSucceed) throws InterruptedException {
        long requestedMs = nowMs();
        String lastError = "";
        for (long deadlineMs = requestedMs + PolicyFleet.AGREEMENT_TIMEOUT_MS / 3; nowMs() < deadlineMs; Thread.sleep(100)) {
            try {
                EntryResult result = fleet.activate(number, DELAY_MS);
                if (result.accepted()) {
                    audit.recordActivation(number, requestedMs, nowMs(), DELAY_MS);
                    return;
                }
                lastError = result.reason();
            } catch (IOException e) {
                lastError = e.getMessage();
            }
            if (!mustSucceed) {
                unconfirmedVersion = number; // looked up once the faults have been removed
                unconfirmedSinceMs = requestedMs;
                return;
            }
        }
        violations.add("version " + number + " could not be put in force: " + lastError);
    }

    /** Two operators propose the same version number at once: exactly one proposal must be accepted. */
    private void proposeConcurrently() throws Exception {
        long newest = fleet.history().newestNumber();
        List<EntryResult> results = Collections.synchronizedList(new ArrayList<>());
        List<Thread> operators = new ArrayList<>();
        for (String author : List.of("ana", "bob")) {
            String text = fleet.newPolicyText();
            operators.add(startThread(author, () -> {
                try (StoreClient client = new StoreClient(fleet.members, 1_000)) {
                    results.add(client.write(new Propose(PolicyVersion.of(newest + 1, newest, text, author))));
                } catch (IOException e) {
                    violations.add("no faults, but a proposal failed: " + e.getMessage());
                }
            }));
        }
        for (Thread operator : operators) {
            operator.join();
        }
        if (results.stream().filter(EntryResult::accepted).count() != 1) {
            violations.add("of two proposals at once these were told: " + results);
        }
        activate(newest + 1, true);
    }

    /** Waits until the fleet agrees, and records an activation whose outcome was unknown if it took effect. */
    private void awaitAgreement(String step) throws InterruptedException {
        String disagreement = fleet.awaitAgreement();
        if (!disagreement.isEmpty()) {
            String violation = "after " + step + " the fleet did not agree: " + disagreement;
            out.println(violation);
            violations.add(violation);
        } else if (unconfirmedVersion != 0) {
            try {
                if (fleet.history().activations().stream().anyMatch(a -> a.number() == unconfirmedVersion)) {
                    audit.recordActivation(unconfirmedVersion, unconfirmedSinceMs, nowMs(), DELAY_MS);
                }
            } catch (IOException e) {
                violations.add("the fleet agreed, but its history cannot be read: " + e.getMessage());
            }
        }
        unconfirmedVersion = 0;
    }

    // ---- Observation and load ----

    /** Polls a pooler for its policy version and state until the drill ends. */
    private void observe(PoolerProcess pooler) {
        while (!finished) {
            try (PgClient client = pooler.connect()) {
                while (!finished) {
                    Map<String, String> stats = new HashMap<>();
                    long queryStartMs = nowMs();
                    client.query("SHOW STATS", stats);
                    observations.add(new Audit.Observation(pooler.name, queryStartMs, nowMs(), Long.parseLong(stats.get("policy_version")),
                            stats.get("policy_state").equals("closed")));
                    Thread.sleep(OBSERVE_INTERVAL_MS);
                }
            } catch (IOException e) {
                sleep(OBSERVE_INTERVAL_MS); // the pooler was killed or stopped
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends reads and writes to a pooler until the drill ends; unexpected errors and missing answers are violations. */
    private void sendRequests(PoolerProcess pooler) {
        long sequence = 0;
        while (!finished) {
            try (PgClient client = new PgClient(pooler.port, 3_000)) {
                while (!finished) {
                    String id = pooler.name + "x" + ++sequence;
                    requestCount.incrementAndGet();
                    String sqlState = client.query(sequence % 5 == 0
                            ? "INSERT INTO facts (code, data) VALUES ('k" + pooler.name + "', '\\x9f') RETURNING data /* id=w"
                                    + id + ",c=save-quote,d=2000,cluster=1 */"
                            : "SELECT data FROM facts WHERE code = 'k1' /* id=r" + id + ",c=rate-lookup,d=1000,cluster=1 */",
                            new HashMap<>());
                    if (sqlState.isEmpty()) {
                        servedCount.incrementAndGet();
                    } else if (!sqlState.equals("57P03") && !sqlState.equals("53300") && !sqlState.equals("08007")) {
                        violations.add(pooler.name + " told " + id + " " + sqlState);
                    }
                    Thread.sleep(REQUEST_INTERVAL_MS);
                }
            } catch (IOException e) {
                if (!stoppedPoolers.contains(pooler.name) && pooler.isAlive() && e instanceof SocketTimeoutException) {
                    violations.add(pooler.name + " gave no answer in 3 s");
                }
                sleep(OBSERVE_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static long nowMs() {
        return PolicyFleet.nowMs();
    }

    /** Kills all processes. Their files are kept if a rule was violated. */
    @Override
    public void close() throws Exception {
        finished = true;
        fleet.close();
        if (passed) {
            fleet.deleteFiles();
        } else {
            out.println("logs and stores are kept in " + fleet.folder());
        }
    }
}
