package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.TimedInput;
import holdmux.statement.SqlState;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;

/** What a client sends: waits for ever between messages, but only so long for the rest of one that has begun. */
final class ClientInput {
    /** Holds a usual read of some 110 bytes whole, so that it takes one call to the system. */
    private static final int AHEAD = 512;
    /** What is dropped at once, and the pause behind it: 8 MiB/s, in which a flood of 1 MiB is over before it is missed. */
    private static final int DROP = 8_192, DROP_PAUSE_MS = 1;

    private final Socket socket;
    private final InputStream in;
    private final Clock clock;
    private final byte[] ahead = new byte[AHEAD];
    private int from, to;
    /** When what is being read must have come at the latest, and how long its peer may pause. */
    private long by, pauseMs;
    private boolean timed;

    ClientInput(Socket socket, Clock clock) throws IOException {
        this.socket = socket;
        this.clock = clock;
        in = socket.getInputStream();
    }

    /** Waits for the next message's first byte. */
    int first() throws IOException {
        if (from == to) {
            if (timed) {
                socket.setSoTimeout(0);
                timed = false;
            }
            from = 0;
            to = in.read(ahead, 0, AHEAD);
            if (to < 0) {
                from = to = 0;
                throw new EOFException("the client closed the connection");
            }
        }
        return ahead[from++] & 0xff;
    }

    /** From here on all that is read must have come within this time, and the next of it always within the pause. */
    void within(long ms, long pauseMs) {
        by = clock.now() + ms * Clock.MS;
        this.pauseMs = pauseMs;
    }

    /** Time that passed because of us, not of the peer. */
    void forgive(long ns) {
        by += ns;
    }

    void read(byte[] into, int length) throws IOException, ProtocolException {
        int got = 0;
        while (got < length) {
            got += some(into, got, length - got);
        }
    }

    /** Reads what there is of this much, at least a byte. */
    int some(byte[] into, int at, int length) throws IOException, ProtocolException {
        int got = Math.min(length, to - from);
        System.arraycopy(ahead, from, into, at, got);
        from += got;
        return got > 0 ? got : more(into, at, length);
    }

    int number() throws IOException, ProtocolException {
        byte[] bytes = new byte[Integer.BYTES];
        read(bytes, bytes.length);
        return ByteBuffer.wrap(bytes).getInt();
    }

    void skip(int length) throws IOException, ProtocolException {
        int left = length - Math.min(length, to - from);
        from += length - left;
        byte[] sink = new byte[AHEAD];
        while (left > 0) {
            left -= more(sink, 0, Math.min(left, AHEAD));
        }
    }

    /** Reads and drops what still comes, at a pace that costs others little; returns at the end of the input. */
    void drop() throws IOException {
        from = to = 0;
        byte[] sink = new byte[DROP];
        socket.setSoTimeout(0);
        while (in.read(sink, 0, DROP) >= 0) {
            try {
                Thread.sleep(DROP_PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static int some(int got) throws EOFException {
        if (got < 0) {
            throw new EOFException("the client closed the connection");
        }
        return got;
    }

    private int more(byte[] into, int at, int length) throws IOException, ProtocolException {
        long pauseEnds = clock.now() + pauseMs * Clock.MS;
        try {
            while (true) {
                long left = (Math.min(by, pauseEnds) - clock.now()) / Clock.MS + 1;
                if (left <= 0) {
                    break;
                }
                socket.setSoTimeout((int) left);
                timed = true;
                int got = in.read(into, at, length);
                if (!TimedInput.wasInterrupted(got)) {
                    return some(got);
                }
            }
        } catch (SocketTimeoutException e) {
            // said below
        }
        throw ProtocolException.fatal(SqlState.QUERY_CANCELED, "a message was not whole in time");
    }
}
