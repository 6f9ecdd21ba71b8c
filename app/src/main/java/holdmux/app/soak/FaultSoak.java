package holdmux.app.soak;

import holdmux.app.demo.PgClient;
import holdmux.standins.DiscoveryFault;
import holdmux.standins.FaultRelay;
import holdmux.standins.QuoteGroup;
import holdmux.standins.StandIns;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.json.JSONObject;

/**
 * A randomized soak test: pooler processes with clients, and faults drawn from a seed that overlap in time. They affect discovery,
 * servers, poolers, requests and, with the LD_PRELOAD shim, the poolers' system calls. {@link SoakAudit} is the oracle.
 */
public final class FaultSoak implements AutoCloseable {
    /** Types of faults; each is injected at random times for a random duration. */
    private enum FaultType {
        DISCOVERY_SLOW, DISCOVERY_SLOW_FOR_LONG, DISCOVERY_SILENT, DISCOVERY_RESET, DISCOVERY_MOVES, SERVER_SILENT, SERVER_RESET,
        SERVER_SLOW, DRAIN, DRAIN_AGAIN, REMOVE, NEW_PRIMARY, KILL, TERM, PAUSE, HANG_UPS, SILENT_START, SILENT_WATCH, CUT_ANSWER,
        GARBLED_ANSWER, FAULTY_ENTRIES, EMPTY_CHANGES, RENUMBERED, OLDER_LIST, CROWD
    }

    private static final int SERVERS = 8, PRIMARY_CANDIDATES = 3, CLIENTS = 3, MEMORY_MB = 192, SOCKETS = 1_024;
    private static final int PAUSE_MS = 100, MAX_GAP_MS = 400, MAX_ONE_WAY_DELAY_MS = 1_200, LONG_DELAY_MS = 8_000;
    private static final int MAX_OUT_OF_SERVICE = 3, MAX_FAULTY_SERVERS = 2;
    /** Time from SIGTERM to SIGKILL: the earliest allowed for the longest request deadline, of which at most 3 s count. */
    private static final long KILL_AFTER_MS = 3_700;
    /** Counters that must be 0 at the end. */
    private static final List<String> ZERO_COUNTERS = List.of("violations_unpermitted", "violations_drain", "violations_client_gone",
            "violations_repeat", "violations_no_answer", "gate_disagreements", "internal_errors", "thread_restarts");
    /** Counters of the last process of each pooler that are printed as sums. */
    private static final List<String> READ_PROOFS = List.of("requests_taken", "probes", "reads_by_position", "reads_by_current",
            "reads_by_lease", "reads_by_role", "reads_too_old");
    /** For how long servers repeat a load report before they renew it. */
    private static final long MIN_REPORT_INTERVAL_MS = 44, MAX_REPORT_INTERVAL_MS = 230;
    private static final int MAX_EXTRA_RELOADS = 3, MAX_RELOAD_GAP_MS = 400, IDLE_CLIENTS = 500;
    /** A server drains or is removed for at least this long: delivery, the grace period, and some seconds in which it is enforced. */
    private static final long MIN_OUT_OF_SERVICE_MS = 6_000;
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final long DELAY_CHECK_INTERVAL_MS = 10;

    private final PrintStream out;
    private final Path folder = Files.createTempDirectory("holdmux-soak");
    private final StandIns standIns = new StandIns();
    private final Map<String, FaultRelay> serverRelays = new LinkedHashMap<>();
    private final List<SoakPooler> poolers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final SoakAudit audit = new SoakAudit();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final Map<FaultType, Integer> faultCounts = new LinkedHashMap<>();
    /** Servers that are draining or removed, and since when; guarded by this, as the two fields below. */
    private final Map<String, Long> outOfServiceSince = new HashMap<>();
    /** Poolers, agents and servers that a fault holds exclusively now. */
    private final List<Object> faultTargets = new ArrayList<>();
    private String primary = "s-1";
    /** Sums of the poolers' counters that tell by what proof reads were sent. */
    private final Map<String, Long> readProofs = new TreeMap<>();

    /** Creates a soak that prints its summary and violations to {@code out}. */
    public FaultSoak(PrintStream out) throws IOException {
        this.out = out;
    }

    /**
     * Runs the soak with one seed.
     *
     * @param shim whether system calls of the poolers fail too; needs a C compiler
     * @return a description of each violation
     */
    public List<String> run(int poolerCount, int seconds, long seed, boolean shim) throws Exception {
        threads.submit(this::recordDriverDelays);
        startDeployment(poolerCount, seed, shim ? compileShim() : null);
        SplittableRandom random = new SplittableRandom(seed);
        List<Future<?>> clients = new ArrayList<>();
        for (SoakPooler pooler : poolers) {
            boolean sparse = poolers.indexOf(pooler) % 2 == 1;
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(threads.submit(new SoakClient(pooler, i, sparse, group(), audit, random.nextLong(), finished::get)));
            }
        }
        // with a schedule of its own, so that the draws of a seed stay as they were
        ReplicaLag lag = new ReplicaLag(group(), lagByServer(), this::promoteForLag, seed);
        List<Future<?>> faults = new ArrayList<>(List.of(threads.submit(() -> lag.run(finished::get))));
        long endNs = System.nanoTime() + seconds * 1_000 * NANOS_PER_MS;
        while (System.nanoTime() < endNs) {
            FaultType fault = FaultType.values()[random.nextInt(FaultType.values().length)];
            long durationMs = 300 + random.nextInt(4_000);
            long faultSeed = random.nextLong();
            faults.add(threads.submit(faultTask(fault, durationMs, new SplittableRandom(faultSeed))));
            Thread.sleep(random.nextInt(MAX_GAP_MS));
        }
        awaitAll(faults.subList(1, faults.size()));
        returnAllToService();
        finished.set(true);
        awaitAll(faults);
        awaitAll(clients);
        checkPoolers();
        List<String> violations = audit.verdict(group().arrivals(), group().runCounts());
        violations.addAll(audit.freshness().verdict(group().servingLog()));
        out.println("seed " + seed + ": " + poolers.size() + " poolers, " + audit.requests() + " requests, "
                + group().arrivals().size() + " sends, " + lag.periods() + " periods of lag, " + readProofs + ", " + faultCounts + ", " + (violations.isEmpty() ? "no rule broken" : "BROKEN"));
        violations.stream().limit(20).forEach(violation -> out.println("  " + violation));
        return violations;
    }

    /** Measures until the end how late a thread of this process runs after each pause. */
    private Void recordDriverDelays() throws InterruptedException {
        while (!finished.get()) {
            long dueAt = System.nanoTime() + DELAY_CHECK_INTERVAL_MS * NANOS_PER_MS;
            Thread.sleep(DELAY_CHECK_INTERVAL_MS);
            audit.driverDelays().add(dueAt, System.nanoTime());
        }
        return null;
    }

    private QuoteGroup group() {
        return standIns.group();
    }

    private void startDeployment(int poolerCount, long seed, Path shim) throws Exception {
        for (int i = 1; i <= SERVERS; i++) {
            String server = "s-" + i;
            standIns.start(server, StandIns.PG_KIND);
            FaultRelay relay = new FaultRelay(standIns.address(server));
            serverRelays.put(server, relay);
            standIns.setAddress(server, relay.address());
        }
        lagByServer().forEach(group()::setLag);
        group().setReportInterval(MIN_REPORT_INTERVAL_MS + Math.floorMod(seed, MAX_REPORT_INTERVAL_MS - MIN_REPORT_INTERVAL_MS));
        group().setStatusInEveryAnswer(Math.floorMod(seed, 2) == 0);
        List<Future<?>> starts = new ArrayList<>();
        for (int i = 0; i < poolerCount; i++) {
            int port = StandIns.freePort();
            JSONObject config = new JSONObject(standIns.config(port, MEMORY_MB, SOCKETS));
            SoakPooler pooler = new SoakPooler("p" + i, port, folder, config.toString(), standIns.addAgent());
            if (shim != null) {
                pooler.process().setEnvironment("LD_PRELOAD", shim.toString());
                pooler.process().setEnvironment("SYSCALL_FAULTS_SEED", Long.toString(seed * poolerCount + i));
            }
            poolers.add(pooler);
            starts.add(threads.submit(startTask(pooler)));
        }
        awaitAll(starts);
    }

    /** The usual lag of each server in milliseconds; it may be 0 for those that become primary. */
    private static Map<String, Long> lagByServer() {
        Map<String, Long> lag = new LinkedHashMap<>();
        for (int i = 1; i <= SERVERS; i++) {
            lag.put("s-" + i, i <= PRIMARY_CANDIDATES ? 0 : 20L * i);
        }
        return lag;
    }

    private void promoteForLag(int draw) {
        promote(FaultType.NEW_PRIMARY, "s-" + (1 + draw % PRIMARY_CANDIDATES));
    }

    private static Callable<Void> startTask(SoakPooler pooler) {
        return () -> {
            pooler.start();
            return null;
        };
    }

    private Path compileShim() throws IOException, InterruptedException {
        Path source = folder.resolve("syscall_faults.c");
        try (InputStream in = FaultSoak.class.getResourceAsStream("syscall_faults.c")) {
            Files.copy(in, source);
        }
        Path library = folder.resolve("syscall_faults.so");
        Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(),
                "-ldl").inheritIO().start();
        if (compiler.waitFor() != 0) {
            throw new IOException("cc failed to compile the system call shim " + source);
        }
        return library;
    }

    private static void awaitAll(List<Future<?>> tasks) throws Exception {
        for (Future<?> task : tasks) {
            task.get(120, TimeUnit.SECONDS);
        }
    }

    private Callable<Void> faultTask(FaultType fault, long durationMs, SplittableRandom random) {
        return () -> {
            SoakPooler pooler = poolers.get(random.nextInt(poolers.size()));
            String server = "s-" + (1 + random.nextInt(SERVERS));
            switch (fault) {
                case DISCOVERY_SLOW -> runExclusively(pooler.agent(), fault,
                        () -> delayDiscovery(pooler, random.nextInt(MAX_ONE_WAY_DELAY_MS), durationMs));
                case DISCOVERY_SLOW_FOR_LONG -> runExclusively(pooler.agent(), fault, () -> {
                    Future<Void> drain = threads.submit(faultTask(FaultType.DRAIN, durationMs + LONG_DELAY_MS / 2, random.split()));
                    delayDiscovery(pooler, MAX_ONE_WAY_DELAY_MS / 2 + random.nextInt(MAX_ONE_WAY_DELAY_MS / 2), LONG_DELAY_MS + durationMs);
                    drain.get();
                });
                case DISCOVERY_SILENT -> runExclusively(pooler.agent(), fault,
                        () -> interruptDiscovery(pooler, FaultRelay.Mode.SILENT, durationMs));
                case DISCOVERY_RESET -> runExclusively(pooler.agent(), fault,
                        () -> interruptDiscovery(pooler, FaultRelay.Mode.RESET, durationMs));
                case DISCOVERY_MOVES -> runExclusively(pooler.agent(), fault, () -> moveDiscovery(pooler, 1, random));
                case SERVER_SILENT -> runExclusively(server, fault, () -> interruptServer(server, FaultRelay.Mode.SILENT, durationMs));
                case SERVER_RESET -> runExclusively(server, fault, () -> interruptServer(server, FaultRelay.Mode.RESET, durationMs));
                case SERVER_SLOW -> runExclusively(server, fault, () -> interruptServer(server, FaultRelay.Mode.SLOW, durationMs));
                case DRAIN, DRAIN_AGAIN -> takeOutOfService(server, "draining", fault, durationMs);
                case REMOVE -> takeOutOfService(server, "removed", fault, durationMs);
                case NEW_PRIMARY -> promote(fault, "s-" + (1 + random.nextInt(PRIMARY_CANDIDATES)));
                case KILL -> runExclusively(pooler, fault, () -> restart(pooler, true));
                case TERM -> runExclusively(pooler, fault, () -> restart(pooler, false));
                case PAUSE -> runExclusively(pooler, fault, () -> pause(pooler));
                case HANG_UPS -> runExclusively(pooler.agent(), fault,
                        () -> moveDiscovery(pooler, 2 + random.nextInt(MAX_EXTRA_RELOADS), random));
                case SILENT_START -> runExclusively(pooler, fault, () -> restartDuringSilence(pooler, durationMs));
                case SILENT_WATCH -> runExclusively(pooler.agent(), fault, pooler.agent()::leaveOpenCallsUnanswered);
                case CUT_ANSWER -> runExclusively(pooler.agent(), fault, () -> pooler.agent().truncateNextAnswers(1));
                case GARBLED_ANSWER -> runExclusively(pooler.agent(), fault, () -> pooler.agent().garbleNextAnswers(1));
                case FAULTY_ENTRIES -> runExclusively(pooler.agent(), fault,
                        () -> injectIntoAgent(pooler, faultyEntry(random), durationMs));
                case EMPTY_CHANGES -> runExclusively(pooler.agent(), fault,
                        () -> injectIntoAgent(pooler, DiscoveryFault.EMPTY_CHANGES, durationMs));
                case RENUMBERED -> runExclusively(pooler.agent(), fault,
                        () -> injectIntoAgent(pooler, DiscoveryFault.RENUMBERED, durationMs));
                case OLDER_LIST -> runExclusively(pooler, fault,
                        () -> runExclusively(pooler.agent(), fault, () -> serveOlderList(pooler, durationMs)));
                case CROWD -> runExclusively(pooler, fault, () -> connectIdleClients(pooler, durationMs));
            }
            return null;
        };
    }

    private interface FaultAction {
        void run() throws Exception;
    }

    /** Runs a fault unless its target already has one, or too many servers have one. */
    private void runExclusively(Object target, FaultType fault, FaultAction action) throws Exception {
        synchronized (this) {
            if (faultTargets.contains(target) || target instanceof String && faultyServers() >= MAX_FAULTY_SERVERS) {
                return;
            }
            faultTargets.add(target);
            faultCounts.merge(fault, 1, Integer::sum);
        }
        try {
            action.run();
        } finally {
            synchronized (this) {
                faultTargets.remove(target);
            }
        }
    }

    private long faultyServers() {
        return faultTargets.stream().filter(String.class::isInstance).count();
    }

    private void interruptDiscovery(SoakPooler pooler, FaultRelay.Mode mode, long durationMs) throws InterruptedException {
        FaultRelay relay = pooler.discoveryRelay();
        long startNs = System.nanoTime();
        relay.setMode(mode);
        Thread.sleep(durationMs);
        relay.setMode(FaultRelay.Mode.PASS);
        audit.deliveryTimes().addSilence(pooler.name, startNs, System.nanoTime());
    }

    /** Delays the pooler's messages with its agent; the audit counts list changes as delivered correspondingly later. */
    private void delayDiscovery(SoakPooler pooler, int oneWayMs, long durationMs) throws InterruptedException {
        FaultRelay relay = pooler.discoveryRelay();
        long startNs = System.nanoTime();
        relay.setDelay(oneWayMs);
        Thread.sleep(durationMs);
        relay.setMode(FaultRelay.Mode.PASS);
        audit.deliveryTimes().addDelay(pooler.name, startNs, System.nanoTime(), oneWayMs * NANOS_PER_MS);
    }

    private static DiscoveryFault faultyEntry(SplittableRandom random) {
        return List.of(DiscoveryFault.ENTRY_WITHOUT_DIAL, DiscoveryFault.ENTRY_WITHOUT_HEALTH,
                DiscoveryFault.ENTRY_WITHOUT_NAME).get(random.nextInt(3));
    }

    private static void injectIntoAgent(SoakPooler pooler, DiscoveryFault fault, long durationMs) throws InterruptedException {
        pooler.agent().inject(fault);
        Thread.sleep(durationMs);
        pooler.agent().clear(fault);
    }

    /** Serves the previous list; for the audit the agent is silent meanwhile, as it delivers nothing newer. */
    private void serveOlderList(SoakPooler pooler, long durationMs) throws InterruptedException {
        long startNs = System.nanoTime();
        injectIntoAgent(pooler, DiscoveryFault.OLDER_LIST, durationMs);
        audit.deliveryTimes().addSilence(pooler.name, startNs, System.nanoTime());
    }

    /** Reloads the configuration several times in a row, each time with the other relay to discovery. */
    private void moveDiscovery(SoakPooler pooler, int times, SplittableRandom random) throws Exception {
        for (int i = 1; i < times; i++) {
            audit.deliveryTimes().addReload(pooler.name, System.nanoTime());
            pooler.reloadWithOtherRelay();
            Thread.sleep(random.nextInt(MAX_RELOAD_GAP_MS));
        }
        audit.deliveryTimes().addReload(pooler.name, System.nanoTime());
        pooler.moveDiscovery();
    }

    /** Restarts the pooler while its agent, which knows all earlier changes, does not answer. */
    private void restartDuringSilence(SoakPooler pooler, long durationMs) throws Exception {
        long startNs = System.nanoTime();
        pooler.agent().inject(DiscoveryFault.SILENT_CALLS);
        Future<Void> restart = threads.submit(() -> {
            restart(pooler, true);
            return null;
        });
        Thread.sleep(durationMs);
        pooler.agent().clear(DiscoveryFault.SILENT_CALLS);
        audit.deliveryTimes().addSilence(pooler.name, startNs, System.nanoTime());
        restart.get();
    }

    /** Connects enough idle clients to use up the pooler's share of file descriptors for clients. */
    private static void connectIdleClients(SoakPooler pooler, long durationMs) throws InterruptedException {
        List<PgClient> clients = new ArrayList<>();
        pooler.setCrowded(true);
        try {
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                clients.add(pooler.process().connect());
            }
        } catch (IOException e) {
            // rejected: the limit is reached
        }
        Thread.sleep(durationMs);
        for (PgClient client : clients) {
            try {
                client.close();
            } catch (IOException e) {
                // closing failed: nothing else to release
            }
        }
        pooler.setCrowded(false);
    }

    private void interruptServer(String server, FaultRelay.Mode mode, long durationMs) throws InterruptedException {
        serverRelays.get(server).setMode(mode);
        Thread.sleep(durationMs);
        serverRelays.get(server).setMode(FaultRelay.Mode.PASS);
    }

    /** Lists a server as draining or removed, for long enough to observe whether it still gets requests. */
    private void takeOutOfService(String server, String health, FaultType fault, long extraMs) throws InterruptedException {
        synchronized (this) {
            if (finished.get() || outOfServiceSince.containsKey(server) || outOfServiceSince.size() >= MAX_OUT_OF_SERVICE
                    || server.equals(primary)) {
                return;
            }
            outOfServiceSince.put(server, System.nanoTime());
            faultCounts.merge(fault, 1, Integer::sum);
            standIns.setHealth(server, health);
        }
        Thread.sleep(MIN_OUT_OF_SERVICE_MS + extraMs);
        returnToService(server);
    }

    private synchronized void returnToService(String server) {
        Long sinceNs = outOfServiceSince.remove(server);
        if (sinceNs != null) {
            audit.addOutOfService(server, sinceNs, System.nanoTime());
            standIns.setHealth(server, "up");
        }
    }

    private synchronized void returnAllToService() {
        List.copyOf(outOfServiceSince.keySet()).forEach(this::returnToService);
    }

    private synchronized void promote(FaultType fault, String server) {
        if (!outOfServiceSince.containsKey(server) && !server.equals(primary)) {
            faultCounts.merge(fault, 1, Integer::sum);
            String previous = primary;
            primary = server;
            group().promote(server);
            standIns.setHealth(server, "up");
            standIns.setHealth(previous, "up");
        }
    }

    private void restart(SoakPooler pooler, boolean kill) throws Exception {
        if (kill) {
            pooler.kill();
        } else if (!pooler.terminate(KILL_AFTER_MS)) {
            audit.reportViolation("end: " + pooler.name + " did not end by itself within " + KILL_AFTER_MS + " ms");
        }
        audit.deliveryTimes().addStart(pooler.name, System.nanoTime());
        audit.freshness().addStart(pooler.name, System.nanoTime());
        pooler.start();
    }

    private static void pause(SoakPooler pooler) throws Exception {
        pooler.process().signal("STOP");
        Thread.sleep(PAUSE_MS);
        pooler.process().signal("CONT");
    }

    /** Checks that each pooler is alive and has counted and logged no violation itself. */
    private void checkPoolers() throws Exception {
        for (SoakPooler pooler : poolers) {
            if (!pooler.process().isAlive()) {
                audit.reportViolation("crash: " + pooler.name + ": " + pooler.process().log());
                continue;
            }
            Map<String, String> counters = pooler.counters();
            READ_PROOFS.forEach(name -> readProofs.merge(name, Long.parseLong(counters.get(name)), Long::sum));
            ZERO_COUNTERS.stream().filter(name -> !"0".equals(counters.get(name)))
                    .forEach(name -> audit.reportViolation(pooler.name + ": " + name + "=" + counters.get(name)));
            pooler.process().log().lines().filter(line -> line.contains("rule broken"))
                    .forEach(line -> audit.reportViolation(pooler.name + ": " + line));
        }
    }

    @Override
    public void close() throws Exception {
        finished.set(true);
        threads.shutdownNow();
        for (SoakPooler pooler : poolers) {
            pooler.close();
        }
        for (FaultRelay relay : serverRelays.values()) {
            relay.close();
        }
        standIns.close();
    }
}
