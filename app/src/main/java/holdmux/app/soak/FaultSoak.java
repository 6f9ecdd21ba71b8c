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
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.json.JSONObject;

/**
 * A randomized soak: poolers in processes of their own, clients at each, and faults drawn from a seed that overlap in time,
 * upon discovery, servers, poolers, requests and, with the shim, the poolers' system calls. {@link SoakAudit} is the oracle.
 */
public final class FaultSoak implements AutoCloseable {
    /** What may happen; each comes at random times and lasts a random while. */
    private enum FaultType {
        DISCOVERY_SLOW, DISCOVERY_SLOW_FOR_LONG, DISCOVERY_SILENT, DISCOVERY_RESET, DISCOVERY_MOVES, SERVER_SILENT, SERVER_RESET, SERVER_SLOW,
        DRAIN, DRAIN_AGAIN, REMOVE, NEW_PRIMARY, KILL, TERM, PAUSE, HANG_UPS, SILENT_START, SILENT_WATCH, CUT_ANSWER,
        GARBLED_ANSWER, FAULTY_ENTRIES, EMPTY_CHANGES, RENUMBERED, OLDER_LIST, CROWD
    }

    private static final int SERVERS = 8, PRIMARY_CANDIDATES = 3, CLIENTS = 3, MEMORY_MB = 192, SOCKETS = 1_024;
    private static final int PAUSE_MS = 100, MAX_GAP_MS = 400, MAX_ONE_WAY_DELAY_MS = 1_200, LONG_DELAY_MS = 8_000, MAX_OUT_OF_SERVICE = 3, MAX_FAULTY_SERVERS = 2;
    /** SIGKILL comes as early as this after SIGTERM, for the longest deadline there is. */
    private static final long KILL_AFTER_MS = 3_700;
    private static final List<String> ZERO_COUNTERS = List.of("violations_unpermitted", "violations_drain", "violations_client_gone",
            "violations_repeat", "violations_no_answer", "gate_disagreements", "internal_errors", "thread_restarts");
    private static final int MAX_EXTRA_RELOADS = 3, MAX_RELOAD_GAP_MS = 400, IDLE_CLIENTS = 500;
    /** A stop lasts at least so long: it is told, binds, and is then looked at for some seconds. */
    private static final long MIN_OUT_OF_SERVICE_MS = 6_000;
    private static final long NANOS_PER_MS = 1_000_000L;

    private final PrintStream out;
    private final Path folder = Files.createTempDirectory("holdmux-soak");
    private final StandIns standIns = new StandIns();
    private final Map<String, FaultRelay> serverRelays = new LinkedHashMap<>();
    private final List<SoakPooler> poolers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final SoakAudit audit = new SoakAudit();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final Map<FaultType, Integer> faultCounts = new LinkedHashMap<>();
    /** Under this object's monitor: who is stopped since when, and which poolers and servers have a trouble now. */
    private final Map<String, Long> outOfServiceSince = new HashMap<>();
    private final List<Object> faultTargets = new ArrayList<>();
    private String primary = "s-1";

    public FaultSoak(PrintStream out) throws IOException {
        this.out = out;
    }

    /**
     * Plays one seed.
     *
     * @param shim whether the poolers' system calls fail too; needs a C compiler
     * @return what broke a rule, in words
     */
    public List<String> run(int poolerCount, int seconds, long seed, boolean shim) throws Exception {
        startDeployment(poolerCount, seed, shim ? compileShim() : null);
        SplittableRandom random = new SplittableRandom(seed);
        List<Future<?>> clients = new ArrayList<>();
        for (SoakPooler pooler : poolers) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(threads.submit(new SoakClient(pooler, i, group(), audit, random.nextLong(), finished::get)));
            }
        }
        List<Future<?>> faults = new ArrayList<>();
        long endNs = System.nanoTime() + seconds * 1_000 * NANOS_PER_MS;
        while (System.nanoTime() < endNs) {
            FaultType fault = FaultType.values()[random.nextInt(FaultType.values().length)];
            long durationMs = 300 + random.nextInt(4_000);
            long faultSeed = random.nextLong();
            faults.add(threads.submit(faultTask(fault, durationMs, new SplittableRandom(faultSeed))));
            Thread.sleep(random.nextInt(MAX_GAP_MS));
        }
        awaitAll(faults);
        returnAllToService();
        finished.set(true);
        awaitAll(clients);
        checkPoolers();
        List<String> violations = audit.verdict(group().arrivals(), group().runCounts());
        out.println("seed " + seed + ": " + poolers.size() + " poolers, " + audit.requests() + " requests, "
                + group().arrivals().size() + " sends, " + faultCounts + ", " + (violations.isEmpty() ? "no rule broken" : "BROKEN"));
        violations.stream().limit(20).forEach(violation -> out.println("  " + violation));
        return violations;
    }

    private QuoteGroup group() {
        return standIns.group();
    }

    private void startDeployment(int poolerCount, long seed, Path shim) throws Exception {
        for (int i = 1; i <= SERVERS; i++) {
            String server = "s-" + i;
            standIns.start(server, StandIns.PG_KIND);
            group().setLag(server, i <= PRIMARY_CANDIDATES ? 0 : 20L * i); // a position never goes back: fixed, and none for who may lead
            FaultRelay relay = new FaultRelay(standIns.address(server));
            serverRelays.put(server, relay);
            standIns.setAddress(server, relay.address());
        }
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
            throw new IOException("the shim for system calls cannot be compiled");
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
                case DISCOVERY_SLOW -> runExclusively(pooler.agent(), fault, () -> delayDiscovery(pooler, random.nextInt(MAX_ONE_WAY_DELAY_MS), durationMs));
                case DISCOVERY_SLOW_FOR_LONG -> runExclusively(pooler.agent(), fault, () -> {
                    Future<Void> drain = threads.submit(faultTask(FaultType.DRAIN, durationMs + LONG_DELAY_MS / 2, random.split()));
                    delayDiscovery(pooler, MAX_ONE_WAY_DELAY_MS / 2 + random.nextInt(MAX_ONE_WAY_DELAY_MS / 2), LONG_DELAY_MS + durationMs);
                    drain.get();
                });
                case DISCOVERY_SILENT -> runExclusively(pooler.agent(), fault, () -> interruptDiscovery(pooler, FaultRelay.Mode.SILENT, durationMs));
                case DISCOVERY_RESET -> runExclusively(pooler.agent(), fault, () -> interruptDiscovery(pooler, FaultRelay.Mode.RESET, durationMs));
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
                case HANG_UPS -> runExclusively(pooler.agent(), fault, () -> moveDiscovery(pooler, 2 + random.nextInt(MAX_EXTRA_RELOADS), random));
                case SILENT_START -> runExclusively(pooler, fault, () -> restartDuringSilence(pooler, durationMs));
                case SILENT_WATCH -> runExclusively(pooler.agent(), fault, pooler.agent()::leaveOpenCallsUnanswered);
                case CUT_ANSWER -> runExclusively(pooler.agent(), fault, () -> pooler.agent().truncateNextAnswers(1));
                case GARBLED_ANSWER -> runExclusively(pooler.agent(), fault, () -> pooler.agent().garbleNextAnswers(1));
                case FAULTY_ENTRIES -> runExclusively(pooler.agent(), fault, () -> injectIntoAgent(pooler, faultyEntry(random), durationMs));
                case EMPTY_CHANGES -> runExclusively(pooler.agent(), fault, () -> injectIntoAgent(pooler, DiscoveryFault.EMPTY_CHANGES, durationMs));
                case RENUMBERED -> runExclusively(pooler.agent(), fault, () -> injectIntoAgent(pooler, DiscoveryFault.RENUMBERED, durationMs));
                case OLDER_LIST -> runExclusively(pooler, fault, () -> runExclusively(pooler.agent(), fault, () -> serveOlderList(pooler, durationMs)));
                case CROWD -> runExclusively(pooler, fault, () -> connectIdleClients(pooler, durationMs));
            }
            return null;
        };
    }

    private interface FaultAction {
        void run() throws Exception;
    }

    /** Does this to one that has no other trouble of its kind now. */
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

    /** What comes late from the agent counts as told once it could arrive. */
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

    /** An agent that tells an older list has nothing newer to tell meanwhile. */
    private void serveOlderList(SoakPooler pooler, long durationMs) throws InterruptedException {
        long startNs = System.nanoTime();
        injectIntoAgent(pooler, DiscoveryFault.OLDER_LIST, durationMs);
        audit.deliveryTimes().addSilence(pooler.name, startNs, System.nanoTime());
    }

    /** New configurations in a row, each with the other way to discovery. */
    private void moveDiscovery(SoakPooler pooler, int times, SplittableRandom random) throws Exception {
        for (int i = 1; i < times; i++) {
            audit.deliveryTimes().addReload(pooler.name, System.nanoTime());
            pooler.reloadWithOtherRelay();
            Thread.sleep(random.nextInt(MAX_RELOAD_GAP_MS));
        }
        audit.deliveryTimes().addReload(pooler.name, System.nanoTime());
        pooler.moveDiscovery();
    }

    /** A restart while the agent, which has all that was told before, does not answer. */
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

    /** Clients that connect and say nothing, as many as fill the pooler's share of descriptors. */
    private static void connectIdleClients(SoakPooler pooler, long durationMs) throws InterruptedException {
        List<PgClient> clients = new ArrayList<>();
        pooler.crowded(true);
        try {
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                clients.add(pooler.process().connect());
            }
        } catch (IOException e) {
            // turned away: it is full
        }
        Thread.sleep(durationMs);
        for (PgClient client : clients) {
            try {
                client.close();
            } catch (IOException e) {
                // closing is all that was wanted
            }
        }
        pooler.crowded(false);
    }

    private void interruptServer(String server, FaultRelay.Mode mode, long durationMs) throws InterruptedException {
        serverRelays.get(server).setMode(mode);
        Thread.sleep(durationMs);
        serverRelays.get(server).setMode(FaultRelay.Mode.PASS);
    }

    /** Has discovery tell that a server drains or is gone, for long enough to see whether that is kept. */
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
            audit.broken("end: " + pooler.name + " did not end by itself within " + KILL_AFTER_MS + " ms");
        }
        audit.deliveryTimes().addStart(pooler.name, System.nanoTime());
        pooler.start();
    }

    private static void pause(SoakPooler pooler) throws Exception {
        pooler.process().signal("STOP");
        Thread.sleep(PAUSE_MS);
        pooler.process().signal("CONT");
    }

    /** Each pooler lives, and counted no break of a rule itself. */
    private void checkPoolers() throws Exception {
        for (SoakPooler pooler : poolers) {
            if (!pooler.process().isAlive()) {
                audit.broken("crash: " + pooler.name + ": " + pooler.process().log());
                continue;
            }
            Map<String, String> counters = pooler.counters();
            ZERO_COUNTERS.stream().filter(name -> !"0".equals(counters.get(name)))
                    .forEach(name -> audit.broken(pooler.name + ": " + name + "=" + counters.get(name)));
            pooler.process().log().lines().filter(line -> line.contains("rule broken"))
                    .forEach(line -> audit.broken(pooler.name + ": " + line));
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
