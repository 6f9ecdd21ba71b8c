package holdmux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.demo.PgClient;
import holdmux.app.demo.QuoteClient.Ending;
import holdmux.standins.StandIns;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as the platform runs it, within the platform's limits, before a list of 1,024 servers. */
@Timeout(120)
class LargeFleetTest {
    private static final int SERVERS = 1_024, OF_A_GROUP = 6, GROUPS = SERVERS / OF_A_GROUP;
    private static final int MEMORY_MB = 192, SOCKETS = 1_024;
    private static final int CLIENTS = 8, REQUESTS = 300;

    /** Guards against caps, threads, buffers or descriptors sized for a small fleet, and against losing what was taken. */
    @Test
    void aThousandServersAreServedWithinTheLimitsWhileTheirListChanges(@TempDir Path folder) throws Exception {
        try (StandIns fleet = new StandIns()) {
            for (String name : List.of("s-1", "s-2", "s-3")) {
                fleet.start(name, StandIns.PG_KIND);
            }
            for (int i = 3; i < SERVERS; i++) {
                list(fleet, i, "up");
            }
            int port = StandIns.freePort();
            Process pooler = PlatformProcess.start(folder, fleet.config(port, MEMORY_MB, SOCKETS), SOCKETS);
            ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
            try {
                PlatformProcess.await(port);
                List<Future<Map<Ending, Integer>>> told = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    int client = i;
                    told.add(threads.submit((Callable<Map<Ending, Integer>>) () -> load(port, client)));
                }
                for (int i = OF_A_GROUP; i < SERVERS; i += 7) {
                    list(fleet, i, "draining");
                    list(fleet, i, "removed");
                }
                for (int i = OF_A_GROUP; i < SERVERS; i += 7) {
                    list(fleet, i, "up");
                }
                Map<Ending, Integer> all = new EnumMap<>(Ending.class);
                for (Future<Map<Ending, Integer>> of : told) {
                    of.get().forEach((ending, count) -> all.merge(ending, count, Integer::sum));
                }
                assertEquals(0, all.getOrDefault(Ending.FAILED, 0), "failed or lost: " + all);
                assertTrue(all.getOrDefault(Ending.SERVED, 0) > CLIENTS * REQUESTS / 2, "served " + all);
                assertTrue(PlatformProcess.descriptors(pooler) < SOCKETS);
                assertTrue(PlatformProcess.peakMb(pooler) < MEMORY_MB, PlatformProcess.peakMb(pooler) + " MB");
                Map<String, String> counters = new HashMap<>();
                try (PgClient client = new PgClient(port)) {
                    client.query("SHOW STATS", counters);
                }
                assertEquals("0", counters.get("over_capacity"));
                assertEquals("0", counters.get("lists_refused"));
                pooler.destroy();
                assertTrue(pooler.waitFor(15, TimeUnit.SECONDS));
                assertTrue(Files.readAllLines(folder.resolve("log")).stream().noneMatch(line -> line.startsWith("error")));
            } finally {
                threads.shutdownNow();
                pooler.destroyForcibly();
            }
        }
    }

    /** The i-th server: the first of each group is played by the primary, the others by replicas. */
    private static void list(StandIns fleet, int i, String health) {
        fleet.also("s-of-a-large-fleet-" + i, i % OF_A_GROUP == 0 ? "s-1" : "s-2", 1 + i / OF_A_GROUP, health);
    }

    private static Map<Ending, Integer> load(int port, int client) throws IOException {
        SplittableRandom random = new SplittableRandom(client);
        Map<Ending, Integer> told = new EnumMap<>(Ending.class);
        try (PgClient to = new PgClient(port, 10_000)) {
            for (int i = 0; i < REQUESTS; i++) {
                boolean write = random.nextInt(10) == 0;
                String figures = "/* id=" + client + "x" + i + ",c=" + (write ? "save-quote,d=5000" : "history,d=1500")
                        + ",cluster=" + (1 + random.nextInt(GROUPS)) + " */";
                Ending ending = to.ask((write ? "INSERT INTO facts (code, data) VALUES ('" + client + "', '\\x9f') RETURNING data "
                        : "SELECT data FROM facts WHERE code = '" + client + "' ") + figures);
                told.merge(ending, 1, Integer::sum);
            }
        }
        return told;
    }
}
