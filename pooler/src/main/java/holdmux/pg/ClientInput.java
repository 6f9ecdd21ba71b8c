package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.DeadlineInputStream;
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
    private static final int READ_AHEAD_BYTES = 512;
    /** What is dropped at once, and the pause behind it: 8 MiB/s, in which a flood of 1 MiB is over before it is missed. */
    private static final int DISCARD_CHUNK_BYTES = 8_192, DISCARD_PAUSE_MS = 1;

    private final Socket socket;
    private final InputStream in;
    private final Clock clock;
    private final byte[] readAhead = new byte[READ_AHEAD_BYTES];
    private int readPosition, readLimit;
    /** When what is being read must have come at the latest, and how long its peer may pause. */
    private long deadline, maxPauseMs;
    private boolean timeoutSet;

    ClientInput(Socket socket, Clock clock) throws IOException {
        this.socket = socket;
        this.clock = clock;
        in = socket.getInputStream();
    }

    /** Waits for the next message's first byte. */
    int awaitFirstByte() throws IOException {
        if (readPosition == readLimit) {
            if (timeoutSet) {
                socket.setSoTimeout(0);
                timeoutSet = false;
            }
            readPosition = 0;
            readLimit = in.read(readAhead, 0, READ_AHEAD_BYTES);
            if (readLimit < 0) {
                readPosition = readLimit = 0;
                throw new EOFException("the client closed the connection");
            }
        }
        return readAhead[readPosition++] & 0xff;
    }

    /** From here on all that is read must have come within this time, and the next of it always within the pause. */
    void setTimeLimits(long totalMs, long maxPauseMs) {
        deadline = clock.now() + totalMs * Clock.MS;
        this.maxPauseMs = maxPauseMs;
    }

    /** Time that passed because of us, not of the peer. */
    void extendDeadline(long ns) {
        deadline += ns;
    }

    void readFully(byte[] target, int length) throws IOException, ProtocolException {
        int received = 0;
        while (received < length) {
            received += readSome(target, received, length - received);
        }
    }

    /** Reads what there is of this much, at least a byte. */
    int readSome(byte[] target, int offset, int length) throws IOException, ProtocolException {
        int received = Math.min(length, readLimit - readPosition);
        System.arraycopy(readAhead, readPosition, target, offset, received);
        readPosition += received;
        return received > 0 ? received : readFromSocket(target, offset, length);
    }

    int readInt() throws IOException, ProtocolException {
        byte[] bytes = new byte[Integer.BYTES];
        readFully(bytes, bytes.length);
        return ByteBuffer.wrap(bytes).getInt();
    }

    void skip(int length) throws IOException, ProtocolException {
        int remaining = length - Math.min(length, readLimit - readPosition);
        readPosition += length - remaining;
        byte[] sink = new byte[READ_AHEAD_BYTES];
        while (remaining > 0) {
            remaining -= readFromSocket(sink, 0, Math.min(remaining, READ_AHEAD_BYTES));
        }
    }

    /** Reads and drops what still comes, at a pace that costs others little; returns at the end of the input. */
    void discardUntilEnd() throws IOException {
        readPosition = readLimit = 0;
        byte[] sink = new byte[DISCARD_CHUNK_BYTES];
        socket.setSoTimeout(0);
        while (in.read(sink, 0, DISCARD_CHUNK_BYTES) >= 0) {
            try {
                Thread.sleep(DISCARD_PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static int readSome(int received) throws EOFException {
        if (received < 0) {
            throw new EOFException("the client closed the connection");
        }
        return received;
    }

    private int readFromSocket(byte[] target, int offset, int length) throws IOException, ProtocolException {
        long pauseDeadline = clock.now() + maxPauseMs * Clock.MS;
        try {
            while (true) {
                long remainingMs = (Math.min(deadline, pauseDeadline) - clock.now()) / Clock.MS + 1;
                if (remainingMs <= 0) {
                    break;
                }
                socket.setSoTimeout((int) remainingMs);
                timeoutSet = true;
                int received = in.read(target, offset, length);
                if (!DeadlineInputStream.wasInterrupted(received)) {
                    return readSome(received);
                }
            }
        } catch (SocketTimeoutException e) {
            // said below
        }
        throw ProtocolException.fatal(SqlState.QUERY_CANCELED, "a message was not whole in time");
    }
}
