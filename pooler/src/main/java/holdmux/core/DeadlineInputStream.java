package holdmux.core;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** Input of a socket that must all arrive by one deadline: a peer that sends single bytes slowly does not extend it. */
public final class DeadlineInputStream extends InputStream {
    /** What a read returns at the end of the stream. */
    private static final int END_OF_STREAM = -1;

    private final Socket socket;
    private final InputStream in;
    private long deadlineNanos;

    /** Creates a stream whose deadline is {@code timeoutMs} from now. */
    public DeadlineInputStream(Socket socket, int timeoutMs) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        setTimeout(timeoutMs);
    }

    /** Sets the deadline to this time from now; reads after it throw a {@link SocketTimeoutException}. */
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
                throw new SocketTimeoutException("timed out waiting for the rest of the input");
            }
            socket.setSoTimeout((int) Clock.ceilMillis(remaining));
            int count = in.read(buffer, offset, length);
            if (!wasInterrupted(count)) {
                return count;
            }
        }
    }

    /**
     * Whether the count returned by a timed socket read means that a signal interrupted it (EINTR). Java 17 passes its
     * internal code for that, which is below -1, on to the caller, who would take it for the end of the stream.
     */
    public static boolean wasInterrupted(int count) {
        return count < END_OF_STREAM;
    }
}
