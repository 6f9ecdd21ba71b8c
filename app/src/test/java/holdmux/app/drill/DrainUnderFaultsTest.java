package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.demo.PgClient;
import holdmux.config.Config;
import holdmux.standins.FaultRelay;
import holdmux.standins.QuoteGroup.Arrival;
import holdmux.standins.StandIns;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.json.JSONObject;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Drains take effect in a pooler process whose connection to discovery has faults. */
@Timeout(60)
class DrainUnderFaultsTest {
    /** A change at discovery must have reached the pooler after the first time; a drain must be in effect after the further grace. */
    private static final long DELIVERY_MS = 6_000, GRACE_MS = 2_000;
    private static final long OBSERVED_MS = 3_000;
    private static final String DRAINING_SERVER = "s-2";

    @TempDir
    Path folder;
    private final ExecutorService executor = Executors.newCachedThreadPool();

    /**
     * Guards against dropping answers that arrive after the time-out of a discovery call: when each overdue call was closed and
     * repeated, a drain never reached the pooler while discovery was slow.
     */
    @ParameterizedTest
    @ValueSource(ints = {800, 1_600})
    void drainTakesEffectWhenDiscoveryIsSlow(int oneWayDelayMs) throws Exception {
        try (StandIns standIns = new StandIns()) {
            for (String server : List.of("s-1", DRAINING_SERVER, "s-3")) {
                standIns.start(server, StandIns.PG_KIND);
            }
            int port = StandIns.freePort();
            JSONObject config = new JSONObject(standIns.config(port, 192, 1_024));
            try (FaultRelay discovery = new FaultRelay(Config.address(config.getString("discovery")))) {
                config.put("discovery", "127.0.0.1:" + discovery.address().getPort());
                PoolerProcess pooler = new PoolerProcess("p", port, folder, config.toString(), List.of());
                AtomicBoolean finished = new AtomicBoolean();
                try {
                    pooler.start();
                    pooler.awaitListening();
                    executor.submit(() -> runLoad(pooler, finished));
                    Thread.sleep(1_000);
                    discovery.setDelay(oneWayDelayMs);
                    Thread.sleep(3_000); // calls started before the delay have ended
                    long drainStartNs = System.nanoTime();
                    standIns.setHealth(DRAINING_SERVER, "draining");
                    Thread.sleep(DELIVERY_MS + GRACE_MS + OBSERVED_MS);
                    finished.set(true);
                    List<Arrival> arrivals = standIns.group().arrivals();
                    assertTrue(arrivals.stream().anyMatch(a -> a.server().equals(DRAINING_SERVER) && a.atNs() < drainStartNs),
                            "the server received requests before the drain");
                    long graceEndNs = drainStartNs + (DELIVERY_MS + GRACE_MS) * 1_000_000;
                    assertTrue(arrivals.stream().anyMatch(a -> a.atNs() > graceEndNs), "other servers receive requests after the grace");
                    assertEquals(0, arrivals.stream().filter(a -> a.server().equals(DRAINING_SERVER) && a.atNs() > graceEndNs).count(),
                            "requests sent to the draining server after the grace");
                } finally {
                    finished.set(true);
                    pooler.kill();
                }
            }
        } finally {
            executor.shutdownNow();
        }
    }

    private static Void runLoad(PoolerProcess pooler, AtomicBoolean finished) throws Exception {
        try (PgClient client = new PgClient(pooler.port, 10_000)) {
            for (int i = 0; !finished.get(); i++) {
                client.query("SELECT data FROM facts WHERE code = 'k' /* id=r" + i + ",c=history,d=1500,cluster=1 */",
                        new HashMap<>());
                Thread.sleep(10);
            }
        }
        return null;
    }
}
