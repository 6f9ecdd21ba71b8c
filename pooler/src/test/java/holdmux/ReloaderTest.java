package holdmux;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.config.Config;
import holdmux.config.ConfigException;
import holdmux.config.ConfigTest;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Workers;
import holdmux.discovery.AgentAddresses;
import holdmux.discovery.Watch;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(20)
class ReloaderTest {
    /**
     * The signal is not sent twice: a file that could not be read for a moment used to be skipped without a retry, and
     * with it the new discovery address.
     */
    @Test
    void retriesAfterReadFailures(@TempDir Path directory) throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            Path file = directory.resolve("config.json");
            Files.writeString(file, ConfigTest.sample().replace("127.0.0.1:5433", "127.0.0.1:" + free.getLocalPort()));
            Config config = Config.load(Map.of("BALANCER_CONFIG", file.toString()), 0);
            Pooler pooler = new Pooler(config, List.of(), new Clock());
            Counters counters = pooler.services().counters();
            Watch watch = new Watch(AgentAddresses.only(config.discovery()), config.cachedList(), () -> false, 1, counters, list -> { });
            Semaphore sighups = new Semaphore(0);
            Deque<Exception> failures = new ArrayDeque<>(List.of(new FileNotFoundException("Too many open files"),
                    new IOException("Input/output error"), new ConfigException("invalid configuration")));
            InetSocketAddress moved = new InetSocketAddress("127.0.0.1", 8_501);
            Workers.restartingThread("reload", counters, new Reloader(sighups, config, new ActivePolicy(pooler.services(), watch), watch,
                    counters, current -> {
                        Exception failure = failures.poll();
                        if (failure != null) {
                            if (failure instanceof IOException io) {
                                throw io;
                            }
                            throw (RuntimeException) failure;
                        }
                        return Config.load(Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_DISCOVERY", "127.0.0.1:8501"), 0);
                    })).start();
            sighups.release();
            while (counters.get(Counter.RELOADS_REFUSED) == 0) {
                Thread.sleep(1);
            }
            assertEquals(2, counters.get(Counter.RELOAD_RETRIES));
            assertEquals(config.discovery(), watch.agent(), "an invalid configuration is refused at once");
            sighups.release();
            while (counters.get(Counter.RELOADS) == 0) {
                Thread.sleep(1);
            }
            assertEquals(moved, watch.agent());
        }
    }

    /** A file that was half written at the signal used to be rejected permanently, and the old agent stayed in use. */
    @Test
    void retriesAHalfWrittenFile(@TempDir Path directory) throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            Path file = directory.resolve("config.json");
            String whole = ConfigTest.sample().replace("127.0.0.1:5433", "127.0.0.1:" + free.getLocalPort());
            Files.writeString(file, whole);
            Map<String, String> environment = Map.of("BALANCER_CONFIG", file.toString());
            Config config = Config.load(environment, 0);
            Pooler pooler = new Pooler(config, List.of(), new Clock());
            Counters counters = pooler.services().counters();
            Watch watch = new Watch(AgentAddresses.only(config.discovery()), config.cachedList(), () -> false, 1, counters, list -> { });
            Semaphore sighups = new Semaphore(0);
            Workers.restartingThread("reload", counters, new Reloader(sighups, config, new ActivePolicy(pooler.services(), watch), watch,
                    counters, current -> current.reload(environment))).start();
            String moved = whole.replace("127.0.0.1:8500", "127.0.0.1:8501");
            Files.writeString(file, moved.substring(0, moved.length() / 2));
            sighups.release();
            while (counters.get(Counter.RELOADS_REFUSED) == 0) {
                Thread.sleep(1);
            }
            assertEquals(config.discovery(), watch.agent());
            Files.writeString(file, moved);
            while (counters.get(Counter.RELOADS) == 0) {
                Thread.sleep(1);
            }
            assertEquals(new InetSocketAddress("127.0.0.1", 8_501), watch.agent());
            assertEquals(1, counters.get(Counter.RELOADS_REFUSED));
        }
    }
}
