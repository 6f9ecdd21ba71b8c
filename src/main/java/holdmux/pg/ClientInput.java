package holdmux.pg;

import holdmux.core.Clock;
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

    private final Socket socket;
    private final InputStream in;
    private final Clock clock;
    private final byte[] ahead = new byte[AHEAD];
    private int from, to;
    private long by;
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

    /** From here on all that is read must have come within this time, however often a byte of it drops in. */
    void within(long ms) {
        by = clock.now() + ms * Clock.MS;
    }

    void read(byte[] into, int length) throws IOException, ProtocolException {
        int got = Math.min(length, to - from);
        System.arraycopy(ahead, from, into, 0, got);
        from += got;
        while (got < length) {
            got += more(into, got, length - got);
        }
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

    private int more(byte[] into, int at, int length) throws IOException, ProtocolException {
        long left = by - clock.now();
        if (left > 0) {
            try {
                socket.setSoTimeout((int) (left / Clock.MS) + 1);
                timed = true;
                int got = in.read(into, at, length);
                if (got < 0) {
                    throw new EOFException("the client closed the connection");
                }
                return got;
            } catch (SocketTimeoutException e) {
                // said below
            }
        }
        throw ProtocolException.fatal(SqlState.QUERY_CANCELED, "a message was not whole in time");
    }
}
