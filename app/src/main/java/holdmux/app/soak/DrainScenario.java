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
 * Lets a server drain while one or two things go wrong by which a pooler may not have in force what its agent was told, and
 * counts the requests that reach the server past the grace. When a change counts as told is taken from what was done to
 * the agent, never from what the pooler took in.
 */
public final class DrainScenario {
    /** What goes wrong. */
    public enum FaultType {
        /** The agent is silent from before the drain, which it gets at its return. */
        OUTAGE(DiscoveryFault.SILENT_CALLS),
        /** The same, with connections reset. */
        RESET(DiscoveryFault.RESET),
        SLOW_ANSWERS(DiscoveryFault.SLOW_ANSWERS),
        ENTRY_WITHOUT_DIAL(DiscoveryFault.ENTRY_WITHOUT_DIAL),
        ENTRY_WITHOUT_HEALTH(DiscoveryFault.ENTRY_WITHOUT_HEALTH),
        ENTRY_WITHOUT_NAME(DiscoveryFault.ENTRY_WITHOUT_NAME),
        EMPTY_CHANGES(DiscoveryFault.EMPTY_CHANGES),
        RENUMBERED(DiscoveryFault.RENUMBERED),
        /** An older list is told once the drain is in force. */
        OLDER_LIST(DiscoveryFault.OLDER_LIST),
        /** The watch that is open as the drain begins is never answered. */
        SILENT_WATCH(null),
        /** The answer that tells the drain breaks off. */
        CUT_ANSWER(null),
        /** The answer that tells the drain cannot be read. */
        GARBLED_ANSWER(null),
        /** All answers that tell the drain cannot be read, for some seconds. */
        GARBLED_ANSWERS(null),
        /** The answer that tells the drain breaks off, and discovery is down for some seconds behind it. */
        CUT_BEFORE_OUTAGE(null),
        /** The process is killed as the drain begins and starts again while the agent does not answer. */
        RESTART(null),
        /** The process starts again with an environment that names an agent which has left, and a file that names another. */
        OLD_ENVIRONMENT(null),
        /** SIGHUP moves discovery to another agent just before the drain begins; the old agent does not tell it. */
        MOVE(null),
        /** The same with a file that is only half written at the signal. */
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
     * What came of it.
     *
     * @param before requests at the server before it drained
     * @param pastGrace requests at the server later than the grace allows
     * @param lastAfterMs the last request at the server, in milliseconds after the drain counted as told
     * @param atEnd requests at the other servers in the last second
     */
    public record Result(Set<FaultType> troubles, long before, long pastGrace, long lastAfterMs, long atEnd) {
        /** Whether the drain was kept and the pooler serves. */
        public boolean isPassed() {
            return before > 0 && pastGrace == 0 && atEnd > 0;
        }
    }

    private static final long NANOS_PER_MS = 1_000_000L;
    /** A drain binds this long after it was told; each time limit on sockets is 50 ms longer. */
    private static final long DRAIN_GRACE_MS = 2_000 + 50;
    /** What the new agent has counts as told this long after SIGHUP. */
    private static final long RELOAD_ALLOWANCE_MS = 4_000;
    private static final long WARM_UP_MS = 1_000, FAULT_LEAD_MS = 400, OUTAGE_MS = 3_000, ANSWERS_RESTORED_AFTER_MS = 4_000, SILENT_START_MS = 4_000, OBSERVATION_MS = 4_000;
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

    /** Whether two troubles say something together: an older list undoes nothing where the drain could never be read. */
    public static boolean areCompatible(FaultType one, FaultType other) {
        Set<FaultType> both = EnumSet.of(one, other);
        boolean olderList = both.contains(FaultType.OLDER_LIST);
        boolean neverDelivered = one.restartsProcess() || other.restartsProcess() || both.contains(FaultType.GARBLED_ANSWERS)
                || both.contains(FaultType.CUT_BEFORE_OUTAGE);
        boolean conflictingSteps = (one.restartsProcess() || one.movesDiscovery()) && (other.restartsProcess() || other.movesDiscovery());
        return one != other && !(olderList && neverDelivered) && !conflictingSteps;
    }

    /** Plays one set of troubles; the pooler's files go to the folder. */
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
        long bindsAt = Math.max(moveDeliveredAt, awaitDrainDelivery(drainedAt)) + DRAIN_GRACE_MS * NANOS_PER_MS;
        sleepUntil(bindsAt);
        if (faults.contains(FaultType.OLDER_LIST)) {
            agents().forEach(agent -> agent.inject(DiscoveryFault.OLDER_LIST));
        }
        sleepUntil(bindsAt + OBSERVATION_MS * NANOS_PER_MS);
        finished.set(true);
        return evaluate(drainedAt, bindsAt);
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

    /** Goes through what happens as the drain begins; when it counts as told, on {@link System#nanoTime}. */
    private long awaitDrainDelivery(long drainedAt) throws Exception {
        long deliveredAt = drainedAt;
        if (faults.contains(FaultType.SLOW_ANSWERS)) {
            long answers = 1 + faults.stream().filter(t -> t == FaultType.CUT_ANSWER || t == FaultType.GARBLED_ANSWER
                    || t == FaultType.GARBLED_ANSWERS).count();
            deliveredAt += answers * ANSWER_DELAY_MS * NANOS_PER_MS; // in transit: each answer that tells it
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
                deliveredAt = Math.max(deliveredAt, System.nanoTime() + (faults.contains(FaultType.SLOW_ANSWERS) ? ANSWER_DELAY_MS * NANOS_PER_MS : 0));
            }
        }
        return deliveredAt;
    }

    /** Some seconds after the drain answers can be read and are given again. */
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

    /** The first moment of the new process: what its agent has counts as told from then on. */
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

    /** Moves discovery where that is played; when what the new agent has counts as told. */
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

    private Result evaluate(long drainedAt, long bindsAt) {
        long end = System.nanoTime();
        long before = 0, pastGrace = 0, lastAt = 0, atEnd = 0;
        for (Arrival arrival : standIns.group().arrivals()) {
            if (!arrival.server().equals(DRAINED_SERVER)) {
                atEnd += arrival.atNs() > end - 1_000 * NANOS_PER_MS ? 1 : 0;
                continue;
            }
            before += arrival.atNs() < drainedAt ? 1 : 0;
            pastGrace += arrival.atNs() > bindsAt ? 1 : 0;
            lastAt = arrival.atNs();
        }
        return new Result(faults, before, pastGrace, (lastAt - bindsAt) / NANOS_PER_MS + DRAIN_GRACE_MS, atEnd);
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
