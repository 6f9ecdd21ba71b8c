package holdmux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Exit codes, on which scripts and supervisors rely: 0 success, 1 failure, 2 invalid usage. */
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
