package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Ten rounds of the drill on ten processes: guards against a version that is served before it is in force, or after it was
 * followed for longer than the bound, against members that part, and against requests that break their rules at a switch.
 * {@code holdmux drill --rounds 200} is the long one.
 */
class PolicyDrillTest {
    @Test
    @Timeout(value = 280, unit = TimeUnit.SECONDS)
    void tenRoundsWithFaultsViolateNoRule() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (PolicyDrill drill = new PolicyDrill(5, 5, new PrintStream(output, true, StandardCharsets.UTF_8))) {
            assertEquals(0, drill.run(10, 20261201), () -> output.toString(StandardCharsets.UTF_8));
        }
    }
}
