package holdmux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Scripts and supervisors act on exit codes: 0 done, 1 a fault, 2 wrong usage. */
class CommandsTest {
    @Test
    void exitCodesDistinguishUsageErrorsFromFailures() {
        assertEquals(0, Commands.run("version"));
        assertEquals(0, Commands.run("help", "serve"));
        assertEquals(2, Commands.run());
        assertEquals(2, Commands.run("serv"));
        assertEquals(2, Commands.run("serve", "--no-such-option"));
    }
}
