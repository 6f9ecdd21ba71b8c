package holdmux.core;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** What a socket's peer sends within one bound, however often a byte of it drops in: a drip is no sign of life. */
public final class TimedInput extends InputStream {
    /** What a read returns at the end of the input. */
    private static final int END = -1;

    private final Socket socket;
    private final InputStream in;
    private long by;

    public TimedInput(Socket socket, int ms) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        within(ms);
    }

    /** From now on all that is read must have come within this time; a {@link SocketTimeoutException} past it. */
    public void within(int ms) {
        by = System.nanoTime() + ms * Clock.MS;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] into, int at, int length) throws IOException {
        while (true) {
            long left = by - System.nanoTime();
            if (left <= 0) {
                throw new SocketTimeoutException("not whole in time");
            }
            socket.setSoTimeout((int) Clock.millisUp(left));
            int got = in.read(into, at, length);
            if (!wasInterrupted(got)) {
                return got;
            }
        }
    }

    /**
     * Whether what a timed read of a socket returned means that a signal interrupted it (EINTR): Java 17 hands its own
     * number for that, below that for the end of the input, on to the caller, who would take it for an end.
     */
    public static boolean wasInterrupted(int got) {
        return got < END;
    }
}
