package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import holdmux.core.Clock;
import holdmux.core.DeadlineInputStreamTest;
import java.io.EOFException;
import org.junit.jupiter.api.Test;

class ClientInputTest {
    /** Guards against taking a read interrupted by a signal for the end of input, which dropped the client's requests unanswered. */
    @Test
    void anInterruptedReadIsNotEndOfInput() throws Exception {
        ClientInput in = new ClientInput(DeadlineInputStreamTest.socketReturning(-3, 1, 1, -3, -3, 1, 1, -1), new Clock());
        in.setTimeLimits(1_000, 1_000);
        assertEquals(0x78787878, in.readInt());
        assertThrows(EOFException.class, in::readInt);
    }
}
