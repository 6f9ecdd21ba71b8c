package holdmux.core;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** What a socket's peer sends within one bound, however often a byte of it drops in: a drip is no sign of life. */
public final class DeadlineInputStream extends InputStream {
    /** What a read returns at the end of the input. */
    private static final int END_OF_STREAM = -1;

    private final Socket socket;
    private final InputStream in;
    private long deadlineNanos;

    public DeadlineInputStream(Socket socket, int timeoutMs) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        setTimeout(timeoutMs);
    }

    /** From now on all that is read must have come within this time; a {@link SocketTimeoutException} past it. */
    public void setTimeout(int timeoutMs) {
        deadlineNanos = System.nanoTime() + timeoutMs * Clock.MS;
    }

    @Override
    public int read() throws IOException {
        byte[] buffer = new byte[1];
        return read(buffer, 0, 1) < 0 ? -1 : buffer[0] & 0xff;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        while (true) {
            long remaining = deadlineNanos - System.nanoTime();
            if (remaining <= 0) {
                throw new SocketTimeoutException("not whole in time");
            }
            socket.setSoTimeout((int) Clock.ceilMillis(remaining));
            int count = in.read(buffer, offset, length);
            if (!wasInterrupted(count)) {
                return count;
            }
        }
    }

    /**
     * Whether what a timed read of a socket returned means that a signal interrupted it (EINTR): Java 17 hands its own
     * number for that, below that for the end of the input, on to the caller, who would take it for an end.
     */
    public static boolean wasInterrupted(int count) {
        return count < END_OF_STREAM;
    }
}
