package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Ten rounds of the drill on ten processes. Guards against versions served before they are in force or longer than the bound
 * after they were superseded, against members whose histories diverge, and against wrong answers or repeated writes at a switch.
 * {@code holdmux drill --rounds 200} is the long run.
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
