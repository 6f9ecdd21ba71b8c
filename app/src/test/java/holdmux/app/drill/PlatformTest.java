package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.demo.PgClient;
import holdmux.app.demo.QuoteClient.Outcome;
import holdmux.config.Config;
import holdmux.standins.Fault;
import holdmux.standins.FaultRelay;
import holdmux.standins.StandIns;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A pooler process with the flags of deploy/balancer.toml, within the descriptor and memory limits of a deployment. */
@Timeout(120)
class PlatformTest {
    private static final int SERVERS = 1_024, SERVERS_PER_GROUP = 6, MEMORY_MB = 192, SOCKETS = 1_024, CLIENTS = 8, REQUESTS = 300;
    /** More than a pooler accepts: half of its descriptors are reserved for clients. */
    private static final int IDLE_CLIENTS = 700;
    private static final long TIMEOUT_NS = 10_000_000_000L, DELIVERY_NS = 6_000_000_000L;

    @TempDir
    Path folder;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private StandIns standIns;
    private PoolerProcess pooler;

    @BeforeEach
    void startStandIns() throws Exception {
        standIns = new StandIns();
        standIns.start("s-1", StandIns.PG_KIND);
        standIns.start("s-2", StandIns.PG_KIND);
    }

    private void startPooler() throws Exception {
        startPooler(config -> { });
    }

    /** {@code customizer}: changes the configuration before the start. */
    private void startPooler(Consumer<JSONObject> customizer) throws Exception {
        int port = StandIns.freePort();
        JSONObject config = new JSONObject(standIns.config(port, MEMORY_MB, SOCKETS));
        customizer.accept(config);
        pooler = new PoolerProcess("p", port, folder, config.toString(), List.of());
        String deploy = Files.readString(Path.of("..", "deploy", "balancer.toml"));
        int flagsStart = deploy.indexOf("run = \"exec java ") + 17;
        pooler.setJvmFlags(List.of(deploy.substring(flagsStart, deploy.indexOf(" -cp ", flagsStart)).split(" ")));
        pooler.setUlimit("-n " + SOCKETS);
        pooler.start();
        pooler.awaitListening();
    }

    @AfterEach
    void stopAll() throws Exception {
        executor.shutdownNow();
        pooler.kill();
        standIns.close();
    }

    /** Guards against caps, threads, buffers or descriptors sized for a small fleet, and against losing accepted requests. */
    @Test
    void thousandServersAreServedWithinTheLimitsWhileTheListChanges() throws Exception {
        listServers(2, 1, "up");
        startPooler();
        List<Future<Map<Outcome, Integer>>> results = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int clientIndex = i;
            results.add(executor.submit(() -> runClient(clientIndex)));
        }
        listServers(SERVERS_PER_GROUP, 7, "draining");
        listServers(SERVERS_PER_GROUP, 7, "removed");
        listServers(SERVERS_PER_GROUP, 7, "up");
        Map<Outcome, Integer> totals = new EnumMap<>(Outcome.class);
        for (Future<Map<Outcome, Integer>> result : results) {
            result.get().forEach((outcome, count) -> totals.merge(outcome, count, Integer::sum));
        }
        assertEquals(0, totals.getOrDefault(Outcome.FAILED, 0), "failed or lost: " + totals);
        assertTrue(totals.getOrDefault(Outcome.SERVED, 0) > CLIENTS * REQUESTS / 2, "served " + totals);
        Path procFolder = Path.of("/proc", Long.toString(pooler.pid()));
        try (Stream<Path> descriptors = Files.list(procFolder.resolve("fd"))) {
            assertTrue(descriptors.count() < SOCKETS);
        }
        String peak = Files.readAllLines(procFolder.resolve("status")).stream().filter(line -> line.startsWith("VmHWM"))
                .findFirst().orElseThrow();
        assertTrue(Long.parseLong(peak.replaceAll("\\D", "")) < MEMORY_MB * 1_024, peak);
        assertEquals(0, readCounter("over_capacity"));
        assertEquals(0, readCounter("lists_refused"));
        pooler.signal("TERM");
        awaitExit();
        assertTrue(Files.readAllLines(folder.resolve("log")).stream().noneMatch(line -> line.startsWith("error")));
    }

    private long readCounter(String name) throws Exception {
        Map<String, String> counters = new HashMap<>();
        long deadlineNs = System.nanoTime() + TIMEOUT_NS;
        while (!counters.containsKey(name)) {
            try (PgClient client = pooler.connect()) {
                client.query("SHOW STATS", counters);
            } catch (IOException e) {
                assertTrue(System.nanoTime() < deadlineNs, "the pooler kept refusing connections: " + e);
                Thread.sleep(50);
            }
        }
        return Long.parseLong(counters.get(name));
    }

    private void awaitExit() throws InterruptedException {
        long deadlineNs = System.nanoTime() + TIMEOUT_NS;
        while (pooler.isAlive() && System.nanoTime() < deadlineNs) {
            Thread.sleep(10);
        }
        assertFalse(pooler.isAlive(), "the pooler does not exit");
    }

    /** Lists every {@code step}th server: the stand-in primary backs the first of each group, a stand-in replica the others. */
    private void listServers(int first, int step, String health) {
        for (int i = first; i < SERVERS; i += step) {
            standIns.addAlias("s-of-a-large-fleet-" + i, i % SERVERS_PER_GROUP == 0 ? "s-1" : "s-2", 1 + i / SERVERS_PER_GROUP, health);
        }
    }

    private Map<Outcome, Integer> runClient(int clientIndex) throws Exception {
        SplittableRandom random = new SplittableRandom(clientIndex);
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        try (PgClient client = new PgClient(pooler.port, 10_000)) {
            for (int i = 0; i < REQUESTS; i++) {
                outcomes.merge(client.execute(sql(random.nextInt(10) == 0, clientIndex + "x" + i,
                        1 + random.nextInt(SERVERS / SERVERS_PER_GROUP))), 1, Integer::sum);
            }
        }
        return outcomes;
    }

    private static String sql(boolean write, String id, int group) {
        return (write ? "INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data" : "SELECT data FROM facts WHERE code = 'k'")
                + " /* id=" + id + (write ? ",c=save-quote,d=5000" : ",c=history,d=1500") + ",cluster=" + group + " */";
    }

    /**
     * Requests accepted before SIGTERM, or sent on open connections after it, are answered even if the servers hang. Guards
     * against a process that exited 3.5 s after SIGTERM and closed its clients' connections without an answer.
     */
    @Test
    void requestsToHungServersAreAnsweredBeforeExit() throws Exception {
        startPooler();
        List<PgClient> clients = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            clients.add(new PgClient(pooler.port, 10_000));
        }
        List<Future<String>> answers = new ArrayList<>(List.of(queryHungServers(clients.get(0), "w"),
                queryHungServers(clients.get(1), "r")));
        while (!standIns.group().runCounts().containsKey("w")) {
            Thread.sleep(10);
        }
        pooler.signal("TERM");
        for (int i = 2; i < 5; i++) {
            Thread.sleep(900); // the last is sent 2.7 s after SIGTERM with a deadline of 1.5 s
            answers.add(queryHungServers(clients.get(i), "r" + i));
        }
        assertEquals("08007", answers.get(0).get(), "the outcome of the write is unknown");
        for (Future<String> read : answers.subList(1, answers.size())) {
            assertTrue(List.of("53300", "57P03").contains(read.get()), read.get());
        }
        awaitExit();
    }

    /** Sends a request on which every server hangs, a write if the id is "w". Returns the SQLSTATE of its answer. */
    private Future<String> queryHungServers(PgClient client, String id) {
        standIns.group().planFaults(id, Collections.nCopies(6, Fault.of(Fault.Kind.SILENT, Fault.Phase.AFTER_RUN)).toArray(Fault[]::new));
        Callable<String> query = () -> client.query(sql(id.equals("w"), id, 1), new HashMap<>());
        return executor.submit(query);
    }

    /** Idle clients that connect while discovery is down must not use up the descriptor for its connection. */
    @Test
    void discoveryReconnectsWhenIdleClientsFillThePooler() throws Exception {
        InetSocketAddress agent = Config.address(new JSONObject(standIns.config(1, 1, 1)).getString("discovery"));
        List<Socket> idleClients = new ArrayList<>();
        try (FaultRelay discovery = new FaultRelay(agent)) {
            discovery.setMode(FaultRelay.Mode.RESET);
            startPooler(config -> config.put("discovery", "127.0.0.1:" + discovery.address().getPort()));
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                idleClients.add(new Socket("127.0.0.1", pooler.port));
            }
            assertEquals(1, readCounter("lists_taken"), "only the list taken at the start");
            standIns.setHealth("s-2", "draining");
            discovery.setMode(FaultRelay.Mode.PASS);
            long deadlineNs = System.nanoTime() + DELIVERY_NS;
            while (readCounter("lists_taken") <= 1) {
                assertTrue(System.nanoTime() < deadlineNs, "the new list did not reach the pooler in time");
                Thread.sleep(100);
            }
        } finally {
            for (Socket socket : idleClients) {
                socket.close();
            }
        }
    }

    /** Guards against code fitted to one deployment's settings: all names and values differ, and requests are still served. */
    @Test
    void settingsWithEveryNameAndValueChangedAreServed() throws Exception {
        startPooler(config -> {
            JSONObject settings = config.getJSONObject("settings");
            settings.put("zones", List.of("quayside")).put("skus", List.of("other")).put("step-ns", 3_000_000)
                    .put("balancers", 7).put("over-share-worth", 0.45);
            settings.getJSONObject("allowed").put("conn-idle-ns", 4_000_000_000L).put("connect-timeout-ns", 170_000_000)
                    .put("max-attempts", 2).put("max-retry-after-ns", 90_000_000).put("may-duplicate", false);
            settings.getJSONObject("guarantees").put("answer-slack-ns", 11_000_000).put("cold-share", 0.3)
                    .put("drain-grace-ns", 250_000_000).put("fall-ns", 2_700_000_000L).put("overload-factor", 4)
                    .put("ramp-time-ns", 6_000_000_000L);
            JSONArray classes = settings.getJSONArray("request-classes");
            for (int i = 0; i < classes.length(); i++) {
                classes.getJSONObject(i).put("name", "kind-" + i).put("worth", 10 - i).put("late-worth", 0.05 * i)
                        .put("on-time-ns", 210_000_000 + i * 10_000_000).put("deadline-ns", 700_000_000 + i * 30_000_000)
                        .put("effect", i == 4 ? "deduplicated" : i == 2 ? "at_most_once" : "idempotent")
                        .put("dedup-scope", "zone").put("window-ns", 90_000_000);
            }
            settings.getJSONObject("family-info").put("class-bound-ns", List.of(770_000_000, 0, 0, 0, 0));
        });
        try (PgClient client = new PgClient(pooler.port, 10_000)) {
            for (int i = 0; i < 5; i++) {
                String sql = sql(i == 4, "o" + i, 1).replaceAll("c=[a-z-]+,d=\\d+", "c=kind-" + i + ",d=650");
                assertEquals("", client.query(sql, new HashMap<>()), sql);
            }
            assertEquals("22023", client.query(sql(false, "old", 1), new HashMap<>()), "a class of the original settings");
        }
    }
}
