package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.config.Config;
import holdmux.config.ConfigTest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JitWarmUpTest {
    /** Guards against a warm-up that no longer reaches the code it is meant for: parsed answers and sent requests. */
    @Test
    void warmUpParsesAndSends(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, ConfigTest.sample());
        Config config = Config.load(Map.of("BALANCER_CONFIG", file.toString()), 1_767_225_000_000_000_000L);
        assertTrue(JitWarmUp.run(config.deployment()) > 2_000);
    }
}
