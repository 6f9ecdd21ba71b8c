package holdmux.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short soak with one seed; {@code holdmux soak --seeds 20 --syscalls} runs a long one. */
class FaultSoakTest {
    private static final int POOLERS = 10, SECONDS = 12;

    @Test
    @Timeout(value = 120, unit = TimeUnit.SECONDS)
    void overlappingFaultsCauseNoViolation() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (FaultSoak soak = new FaultSoak(new PrintStream(output, true, StandardCharsets.UTF_8))) {
            assertEquals(List.of(), soak.run(POOLERS, SECONDS, 20261202, false), () -> output.toString(StandardCharsets.UTF_8));
        }
    }
}
