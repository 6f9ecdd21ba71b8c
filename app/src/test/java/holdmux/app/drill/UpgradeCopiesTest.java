package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.demo.PgClient;
import holdmux.standins.Fault;
import holdmux.standins.StandIns;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of one pooler serve on one address; copies of an open request reach both of them. */
class UpgradeCopiesTest {
    private static final int MEMORY_MB = 192, SOCKETS = 1_024, CONNECTIONS = 12, MAX_CONNECTIONS = 200, IDS = 8;
    private static final String BAD_REQUEST = "22023";

    private static String write(String id) {
        return "INSERT INTO facts (code, data) VALUES ('k', '\\x9f') RETURNING data /* id=" + id + ",c=save-quote,d=600,cluster=1 */";
    }

    /** Guards against a copy at the other process of an upgrade, which was served and made a write run twice. */
    @Test
    @Timeout(90)
    void aWriteRunsOnceWhicheverProcessItsCopiesReach(@TempDir Path folder) throws Exception {
        try (StandIns standIns = new StandIns()) {
            standIns.start("s-1", StandIns.PG_KIND);
            int port = StandIns.freePort();
            PoolerProcess older = new PoolerProcess("p1", port, folder, standIns.config(port, MEMORY_MB, SOCKETS), List.of());
            PoolerProcess newer = new PoolerProcess("p1", port, folder, standIns.config(port, MEMORY_MB, SOCKETS), List.of());
            try {
                older.start();
                older.awaitListening();
                newer.start();
                while (newer.log().split("serves at", -1).length < 3) {
                    assertTrue(newer.isAlive(), newer.log());
                    Thread.sleep(20);
                }
                List<PgClient> clients = connectToBoth(port);
                for (int i = 0; i < IDS; i++) {
                    String id = "w" + i;
                    standIns.group().planFaults(id, Fault.of(Fault.Kind.SILENT, Fault.Phase.AFTER_RUN));
                    PgClient original = clients.get(i % clients.size());
                    original.send(write(id));
                    while (!standIns.group().runCounts().containsKey(id)) {
                        Thread.sleep(1);
                    }
                    for (PgClient client : clients) {
                        if (client != original) {
                            assertEquals(BAD_REQUEST, client.query(write(id), new HashMap<>()), id);
                        }
                    }
                    assertEquals("08007", original.receive(new HashMap<>()), id);
                }
                older.kill();
                try (PgClient client = newer.connect()) {
                    for (int i = 0; i < IDS; i++) {
                        assertEquals(BAD_REQUEST, client.query(write("w" + i), new HashMap<>()), "the older process has ended");
                    }
                }
                standIns.group().runCounts().forEach((id, runs) -> assertEquals(1, runs, id));
            } finally {
                older.kill();
                newer.kill();
            }
        }
    }

    /** Connects until both processes, told apart by the number of clients that they have accepted, serve some of the clients. */
    private static List<PgClient> connectToBoth(int port) throws Exception {
        List<PgClient> clients = new ArrayList<>();
        int served = 0;
        while (clients.size() < CONNECTIONS || served < 2) {
            assertTrue(clients.size() < MAX_CONNECTIONS, "all connections reach one process");
            clients.add(new PgClient(port, 5_000));
            Map<String, Long> accepted = new HashMap<>();
            for (PgClient client : clients) {
                Map<String, String> counters = new HashMap<>();
                client.query("SHOW STATS", counters);
                accepted.merge(counters.get("clients_accepted"), 1L, Long::sum);
            }
            served = accepted.size();
        }
        return clients;
    }
}
