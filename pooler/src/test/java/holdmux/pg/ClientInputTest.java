package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import holdmux.core.Clock;
import holdmux.core.DeadlineInputStreamTest;
import java.io.EOFException;
import java.util.concurrent.atomic.AtomicLong;
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

    /** Guards against reading on behind the input without knowing it: full reads, or none, leave a close that may have come unseen. */
    @Test
    void aCloseMayLieBehindInputThatIsNotRead() throws Exception {
        AtomicLong nanos = new AtomicLong();
        Clock clock = new Clock(() -> 0, nanos::get);
        ClientInput in = new ClientInput(DeadlineInputStreamTest.socketReturning(4, 4, 1), clock);
        in.setTimeLimits(1_000, 1_000);
        nanos.addAndGet(100 * Clock.MS);
        in.readInt();
        assertEquals(100 * Clock.MS, in.unnoticedCloseNs(clock.now()), "as much was received as there was room for");
        nanos.addAndGet(50 * Clock.MS);
        in.readInt();
        assertEquals(150 * Clock.MS, in.unnoticedCloseNs(clock.now()));
        in.readSome(new byte[2], 0, 2);
        assertEquals(0, in.unnoticedCloseNs(clock.now()), "a read that could have held more");
    }

    /** Guards against taking an empty receive buffer for the end of what a client has sent that could not send on meanwhile. */
    @Test
    void aCloseMayLieBehindInputThatTheClientStillHolds() throws Exception {
        AtomicLong nanos = new AtomicLong();
        Clock clock = new Clock(() -> 0, nanos::get);
        ClientInput in = new ClientInput(DeadlineInputStreamTest.socketReturning(1, 20_000, 1), clock);
        in.setTimeLimits(1_000, 1_000);
        byte[] target = new byte[30_000];
        in.noteWait(100 * Clock.MS);
        nanos.addAndGet(100 * Clock.MS);
        in.readSome(target, 0, target.length);
        assertEquals(0, in.unnoticedCloseNs(clock.now()), "so little fits every receive window");
        in.noteWait(100 * Clock.MS);
        nanos.addAndGet(100 * Clock.MS);
        in.readSome(target, 0, target.length);
        assertEquals(100 * Clock.MS, in.unnoticedCloseNs(clock.now()), "the window may have been full");
        in.readSome(target, 0, target.length);
        assertEquals(100 * Clock.MS, in.unnoticedCloseNs(clock.now()), "the next bytes may still be on their way");
    }
}
