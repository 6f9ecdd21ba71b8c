package holdmux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.demo.PgClient;
import holdmux.standins.Fault;
import holdmux.standins.StandIns;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** SIGTERM while servers hang, on the program as the platform runs it. */
@Timeout(60)
class EndOfProcessTest {
    private static final int ATTEMPTS = 6;

    /**
     * What was taken before SIGTERM and what clients send on open connections after it has its own answer, though the
     * servers hang to the end: the process ended 3.5 s after SIGTERM, whatever was open, and its clients saw a close.
     */
    @Test
    void whatHangsAtTheEndIsAnswered(@TempDir Path folder) throws Exception {
        try (StandIns fleet = new StandIns()) {
            fleet.start("s-1", StandIns.PG_KIND);
            fleet.start("s-2", StandIns.PG_KIND);
            int port = StandIns.freePort();
            Process pooler = PlatformProcess.start(folder, fleet.config(port, 192, 1_024), 1_024);
            ExecutorService threads = Executors.newCachedThreadPool();
            List<PgClient> clients = new ArrayList<>();
            try {
                PlatformProcess.await(port);
                for (int i = 0; i < 5; i++) {
                    clients.add(new PgClient(port, 10_000));
                }
                List<Future<String>> told = new ArrayList<>();
                told.add(threads.submit(hangs(fleet, clients.get(0), "w", true)));
                told.add(threads.submit(hangs(fleet, clients.get(1), "r0", false)));
                while (!fleet.group().runs().containsKey("w")) {
                    Thread.sleep(10);
                }
                pooler.destroy(); // SIGTERM
                for (int i = 2; i < 5; i++) {
                    Thread.sleep(900); // the last of them 2.7 s after SIGTERM, with 1.5 s to wait
                    told.add(threads.submit(hangs(fleet, clients.get(i), "r" + i, false)));
                }
                assertEquals("08007", told.get(0).get(), "the write may have run");
                for (Future<String> read : told.subList(1, told.size())) {
                    assertTrue(List.of("53300", "57P03").contains(read.get()), read.get());
                }
                assertTrue(pooler.waitFor(10, TimeUnit.SECONDS), "and then it ends");
            } finally {
                for (PgClient client : clients) {
                    client.close();
                }
                threads.shutdownNow();
                pooler.destroyForcibly();
            }
        }
    }

    /** Asks for what every server hangs on; the SQLSTATE of its answer. */
    private static Callable<String> hangs(StandIns fleet, PgClient client, String id, boolean write) {
        Fault[] all = new Fault[ATTEMPTS];
        Arrays.fill(all, Fault.of(Fault.Kind.SILENT, Fault.Phase.AFTER_RUN));
        fleet.group().plan(id, all);
        return () -> client.query(write
                ? "INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data /* id=" + id + ",c=save-quote,d=5000,cluster=1 */"
                : "SELECT data FROM facts WHERE code = 'k' /* id=" + id + ",c=history,d=1500,cluster=1 */", new HashMap<>());
    }
}
