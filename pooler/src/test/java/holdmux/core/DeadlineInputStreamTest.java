package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

public class DeadlineInputStreamTest {
    /** What Java 17's timed read returns if a signal interrupts it. */
    private static final int INTERRUPTED = -3;

    /** Returns a socket whose reads return these counts, storing one byte each. */
    public static Socket socketReturning(Integer... returns) {
        Deque<Integer> next = new ArrayDeque<>(List.of(returns));
        return new Socket() {
            @Override
            public void setSoTimeout(int ms) { }

            @Override
            public InputStream getInputStream() {
                return new InputStream() {
                    @Override
                    public int read() throws IOException {
                        throw new IOException("not used");
                    }

                    @Override
                    public int read(byte[] into, int at, int length) {
                        into[at] = 'x';
                        return next.poll();
                    }
                };
            }
        };
    }

    /** Guards against a read interrupted by a signal being taken for the end of the stream. */
    @Test
    void interruptedReadIsNotEndOfStream() throws IOException {
        DeadlineInputStream in = new DeadlineInputStream(socketReturning(INTERRUPTED, 1, INTERRUPTED, INTERRUPTED, -1), 1_000);
        assertEquals('x', in.read());
        assertEquals(-1, in.read());
    }
}
