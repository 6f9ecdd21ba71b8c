package holdmux.app.soak;

import holdmux.app.demo.PgClient;
import holdmux.app.drill.PoolerProcess;
import holdmux.standins.DiscoveryAgent;
import holdmux.standins.DiscoveryFault;
import holdmux.standins.QuoteGroup.Arrival;
import holdmux.standins.StandIns;
import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.json.JSONObject;

/**
 * Drains a server while one or two faults are injected that can keep a pooler from applying a list change of its discovery
 * agent, and counts the requests that reach the server after the grace period. When the drain counts as delivered follows
 * from what was done to the agent, never from what the pooler reports.
 */
public final class DrainScenario {
    /** The injected faults. */
    public enum FaultType {
        /** The agent answers no calls from before the drain until after it, and knows of the drain when it answers again. */
        OUTAGE(DiscoveryFault.SILENT_CALLS),
        /** As {@link #OUTAGE}, but connections are reset. */
        RESET(DiscoveryFault.RESET),
        /** Answers are delayed. */
        SLOW_ANSWERS(DiscoveryFault.SLOW_ANSWERS),
        /** The entry of the draining server lacks {@code dial}. */
        ENTRY_WITHOUT_DIAL(DiscoveryFault.ENTRY_WITHOUT_DIAL),
        /** The entry of the draining server lacks {@code health}. */
        ENTRY_WITHOUT_HEALTH(DiscoveryFault.ENTRY_WITHOUT_HEALTH),
        /** The entry of the draining server lacks {@code host}. */
        ENTRY_WITHOUT_NAME(DiscoveryFault.ENTRY_WITHOUT_NAME),
        /** Answers to watches advance the version but contain no changes. */
        EMPTY_CHANGES(DiscoveryFault.EMPTY_CHANGES),
        /** Version numbers start again from 1. */
        RENUMBERED(DiscoveryFault.RENUMBERED),
        /** The agents serve the list from before the drain once the drain is in force. */
        OLDER_LIST(DiscoveryFault.OLDER_LIST),
        /** The watch that is open when the drain begins is never answered. */
        SILENT_WATCH(null),
        /** The answer with the drain is truncated. */
        CUT_ANSWER(null),
        /** The answer with the drain is unparsable. */
        GARBLED_ANSWER(null),
        /** All answers with the drain are unparsable for some seconds. */
        GARBLED_ANSWERS(null),
        /** The answer with the drain is truncated, and discovery answers no calls for some seconds after it. */
        CUT_BEFORE_OUTAGE(null),
        /** The process is killed when the drain begins and starts again while the agent does not answer. */
        RESTART(null),
        /** The process restarts with an environment variable that names a retired agent and a configuration that names another. */
        OLD_ENVIRONMENT(null),
        /** SIGHUP moves discovery to another agent just before the drain; the old agent does not deliver the drain. */
        MOVE(null),
        /** As {@link #MOVE}, but the configuration file is only half written at the signal. */
        MOVE_BY_HALF_A_FILE(null);

        private final DiscoveryFault discoveryFault;

        FaultType(DiscoveryFault discoveryFault) {
            this.discoveryFault = discoveryFault;
        }

        private boolean silencesAgent() {
            return this == OUTAGE || this == RESET;
        }

        private boolean restartsProcess() {
            return this == RESTART || this == OLD_ENVIRONMENT;
        }

        private boolean movesDiscovery() {
            return this == MOVE || this == MOVE_BY_HALF_A_FILE || this == OLD_ENVIRONMENT;
        }
    }

    /**
     * Result of one scenario.
     *
     * @param troubles the injected faults
     * @param before requests that reached the server before the drain
     * @param pastGrace requests that reached the server after the grace period
     * @param lastAfterMs the last request at the server, in milliseconds after the drain counted as delivered
     * @param atEnd requests that reached the other servers in the last second
     */
    public record Result(Set<FaultType> troubles, long before, long pastGrace, long lastAfterMs, long atEnd) {
        /** Returns whether no request came after the grace period, and requests were served before the drain and at the end. */
        public boolean isPassed() {
            return before > 0 && pastGrace == 0 && atEnd > 0;
        }
    }

    private static final long NANOS_PER_MS = 1_000_000L;
    /** A drain is enforced from 2 s after its delivery; on real sockets each time limit is 50 ms longer. */
    private static final long DRAIN_GRACE_MS = 2_000 + 50;
    /** The list of the new agent counts as delivered this long after SIGHUP. */
    private static final long RELOAD_ALLOWANCE_MS = 4_000;
    private static final long WARM_UP_MS = 1_000, FAULT_LEAD_MS = 400, OUTAGE_MS = 3_000, ANSWERS_RESTORED_AFTER_MS = 4_000;
    private static final long SILENT_START_MS = 4_000, OBSERVATION_MS = 4_000;
    private static final long OLD_AGENT_CLOSE_DELAY_MS = 1_500, FILE_COMPLETED_AFTER_MS = 300;
    private static final int ANSWER_DELAY_MS = 700, CLIENTS = 3, MEMORY_MB = 192, SOCKETS = 1_024, IGNORED_CALLS_AFTER_MOVE = 2;
    private static final String DRAINED_SERVER = "s-2";
    private static final List<String> SERVERS = List.of("s-1", DRAINED_SERVER, "s-3");

    private final Set<FaultType> faults;
    private final Path folder;
    private final StandIns standIns;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final DiscoveryAgent secondAgent;
    private JSONObject config;
    private PoolerProcess pooler;

    private DrainScenario(Set<FaultType> faults, Path folder, StandIns standIns) throws IOException {
        this.faults = faults;
        this.folder = folder;
        this.standIns = standIns;
        secondAgent = standIns.addAgent();
    }

    /**
     * Returns whether two faults make a meaningful pair. An older list undoes nothing if the drain could not be read before, and
     * only one of them may restart the process or move its discovery.
     */
    public static boolean areCompatible(FaultType one, FaultType other) {
        Set<FaultType> both = EnumSet.of(one, other);
        boolean olderList = both.contains(FaultType.OLDER_LIST);
        boolean neverDelivered = one.restartsProcess() || other.restartsProcess() || both.contains(FaultType.GARBLED_ANSWERS)
                || both.contains(FaultType.CUT_BEFORE_OUTAGE);
        boolean conflictingSteps = (one.restartsProcess() || one.movesDiscovery())
                && (other.restartsProcess() || other.movesDiscovery());
        return one != other && !(olderList && neverDelivered) && !conflictingSteps;
    }

    /** Runs one scenario with these faults; the pooler writes its files to the folder. */
    public static Result runScenario(Set<FaultType> faults, Path folder) throws Exception {
        try (StandIns standIns = new StandIns()) {
            for (String server : SERVERS) {
                standIns.start(server, StandIns.PG_KIND);
            }
            DrainScenario scenario = new DrainScenario(faults, folder, standIns);
            try {
                return scenario.run();
            } finally {
                scenario.stop();
            }
        }
    }

    private Result run() throws Exception {
        int port = StandIns.freePort();
        config = new JSONObject(standIns.config(port, MEMORY_MB, SOCKETS));
        pooler = new PoolerProcess("p", port, folder, config.toString(), List.of());
        pooler.start();
        pooler.awaitListening();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            threads.submit(() -> runClient(name));
        }
        Thread.sleep(WARM_UP_MS);
        injectFaults();
        Thread.sleep(FAULT_LEAD_MS);
        long moveDeliveredAt = moveDiscoveryIfPlanned();
        long drainedAt = System.nanoTime();
        standIns.setHealth(DRAINED_SERVER, "draining");
        long enforcedFromNs = Math.max(moveDeliveredAt, awaitDrainDelivery(drainedAt)) + DRAIN_GRACE_MS * NANOS_PER_MS;
        sleepUntil(enforcedFromNs);
        if (faults.contains(FaultType.OLDER_LIST)) {
            agents().forEach(agent -> agent.inject(DiscoveryFault.OLDER_LIST));
        }
        sleepUntil(enforcedFromNs + OBSERVATION_MS * NANOS_PER_MS);
        finished.set(true);
        return evaluate(drainedAt, enforcedFromNs);
    }

    private List<DiscoveryAgent> agents() {
        return List.of(standIns.agent(), secondAgent);
    }

    private void injectFaults() {
        for (FaultType fault : faults) {
            for (DiscoveryAgent agent : agents()) {
                switch (fault) {
                    case SLOW_ANSWERS -> agent.delayAnswers(ANSWER_DELAY_MS);
                    case CUT_ANSWER -> agent.truncateNextAnswers(1);
                    case GARBLED_ANSWER -> agent.garbleNextAnswers(1);
                    case GARBLED_ANSWERS -> agent.garbleNextAnswers(Integer.MAX_VALUE);
                    case CUT_BEFORE_OUTAGE -> agent.truncateNextAnswerThenGoSilent();
                    case SILENT_WATCH -> agent.leaveOpenCallsUnanswered();
                    case OLDER_LIST, RESTART, OLD_ENVIRONMENT, MOVE, MOVE_BY_HALF_A_FILE -> { }
                    default -> agent.inject(fault.discoveryFault);
                }
            }
        }
    }

    /** Runs the steps that follow the drain; returns when it counts as delivered, on {@link System#nanoTime}. */
    private long awaitDrainDelivery(long drainedAt) throws Exception {
        long deliveredAt = drainedAt;
        if (faults.contains(FaultType.SLOW_ANSWERS)) {
            long answers = 1 + faults.stream().filter(t -> t == FaultType.CUT_ANSWER || t == FaultType.GARBLED_ANSWER
                    || t == FaultType.GARBLED_ANSWERS).count();
            deliveredAt += answers * ANSWER_DELAY_MS * NANOS_PER_MS; // each answer with the drain is delayed, also an unreadable one
        }
        for (FaultType fault : faults) {
            if (fault.restartsProcess()) {
                deliveredAt = Math.max(deliveredAt, restartProcess(fault));
            }
        }
        threads.submit(() -> restoreAnswers(drainedAt));
        for (FaultType fault : faults) {
            if (fault.silencesAgent()) {
                sleepUntil(drainedAt + OUTAGE_MS * NANOS_PER_MS);
                agents().forEach(agent -> agent.clear(fault.discoveryFault));
                deliveredAt = Math.max(deliveredAt,
                        System.nanoTime() + (faults.contains(FaultType.SLOW_ANSWERS) ? ANSWER_DELAY_MS * NANOS_PER_MS : 0));
            }
        }
        return deliveredAt;
    }

    /** Makes answers parsable and calls answered again, some seconds after the drain. */
    private Void restoreAnswers(long drainedAt) throws InterruptedException {
        sleepUntil(drainedAt + ANSWERS_RESTORED_AFTER_MS * NANOS_PER_MS);
        for (DiscoveryAgent agent : agents()) {
            agent.garbleNextAnswers(0);
            if (faults.contains(FaultType.CUT_BEFORE_OUTAGE)) {
                agent.clear(DiscoveryFault.SILENT_CALLS);
            }
        }
        return null;
    }

    /** Restarts the process; returns its start time, when the list of its agent counts as delivered. */
    private long restartProcess(FaultType fault) throws Exception {
        pooler.kill();
        if (fault == FaultType.OLD_ENVIRONMENT) {
            pooler.setEnvironment("BALANCER_DISCOVERY", config.getString("discovery"));
            pooler.configure(config.put("discovery", address(secondAgent)).toString());
            standIns.agent().retire(0);
        } else {
            standIns.agent().inject(DiscoveryFault.SILENT_CALLS);
            threads.submit(() -> {
                Thread.sleep(SILENT_START_MS);
                if (!faults.contains(FaultType.OUTAGE)) {
                    standIns.agent().clear(DiscoveryFault.SILENT_CALLS);
                }
                return null;
            });
        }
        long startedAt = System.nanoTime();
        pooler.start();
        return startedAt;
    }

    /** Moves discovery if a fault asks for it; returns when the list of the new agent counts as delivered. */
    private long moveDiscoveryIfPlanned() throws Exception {
        if (faults.contains(FaultType.MOVE)) {
            return moveDiscovery(false);
        }
        return faults.contains(FaultType.MOVE_BY_HALF_A_FILE) ? moveDiscovery(true) : Long.MIN_VALUE;
    }

    private long moveDiscovery(boolean writeHalfFirst) throws Exception {
        String fullText = config.put("discovery", address(secondAgent)).toString();
        secondAgent.ignoreNextCalls(IGNORED_CALLS_AFTER_MOVE);
        if (writeHalfFirst) {
            pooler.configureRaw(fullText.substring(0, fullText.length() / 2));
        } else {
            pooler.configure(fullText);
        }
        standIns.agent().retire(OLD_AGENT_CLOSE_DELAY_MS);
        long signalledAt = System.nanoTime();
        pooler.signal("HUP");
        if (writeHalfFirst) {
            Thread.sleep(FILE_COMPLETED_AFTER_MS);
            pooler.configure(fullText);
        }
        return signalledAt + RELOAD_ALLOWANCE_MS * NANOS_PER_MS;
    }

    private static String address(DiscoveryAgent agent) {
        return "127.0.0.1:" + agent.address().getPort();
    }

    private Result evaluate(long drainedAt, long enforcedFromNs) {
        long end = System.nanoTime();
        long before = 0, pastGrace = 0, lastAt = 0, atEnd = 0;
        for (Arrival arrival : standIns.group().arrivals()) {
            if (!arrival.server().equals(DRAINED_SERVER)) {
                atEnd += arrival.atNs() > end - 1_000 * NANOS_PER_MS ? 1 : 0;
                continue;
            }
            before += arrival.atNs() < drainedAt ? 1 : 0;
            pastGrace += arrival.atNs() > enforcedFromNs ? 1 : 0;
            lastAt = arrival.atNs();
        }
        return new Result(faults, before, pastGrace, (lastAt - enforcedFromNs) / NANOS_PER_MS + DRAIN_GRACE_MS, atEnd);
    }

    private Void runClient(String name) throws InterruptedException {
        for (int i = 0; !finished.get();) {
            try (PgClient client = new PgClient(pooler.port, 3_000)) {
                while (!finished.get()) {
                    client.query("SELECT data FROM facts WHERE code = 'k' /* id=" + name + "-" + i++
                            + ",c=history,d=1500,cluster=1 */", new HashMap<>());
                    Thread.sleep(15);
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        return null;
    }

    private static void sleepUntil(long atNs) throws InterruptedException {
        long remainingNs = atNs - System.nanoTime();
        if (remainingNs > 0) {
            Thread.sleep(remainingNs / NANOS_PER_MS + 1);
        }
    }

    private void stop() {
        finished.set(true);
        threads.shutdownNow();
        if (pooler != null) {
            pooler.kill();
        }
    }
}
