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

/** Reads a client's messages: waits without limit between messages, but only a limited time for the rest of one that has begun. */
final class ClientInput {
    /** Holds a typical read query (about 110 bytes) completely, so that reading it takes one system call. */
    private static final int READ_AHEAD_BYTES = 512;
    /** Bytes discarded per read and the pause after it: at 8 MiB/s, 1 MiB of unread input is gone within the linger time. */
    private static final int DISCARD_CHUNK_BYTES = 8_192, DISCARD_PAUSE_MS = 1;

    private final Socket socket;
    private final InputStream in;
    private final Clock clock;
    private final byte[] readAhead = new byte[READ_AHEAD_BYTES];
    private int readPosition, readLimit;
    /** When the current message must be complete, and the longest allowed gap between its bytes. */
    private long deadline, maxPauseMs;
    private boolean timeoutSet;

    ClientInput(Socket socket, Clock clock) throws IOException {
        this.socket = socket;
        this.clock = clock;
        in = socket.getInputStream();
    }

    /** Waits without limit for the first byte of the next message. */
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

    /** Starts the limits for the current message: the total time, and the longest pause between two reads. */
    void setTimeLimits(long totalMs, long maxPauseMs) {
        deadline = clock.now() + totalMs * Clock.MS;
        this.maxPauseMs = maxPauseMs;
    }

    /** Extends the total limit by time spent waiting on this side, such as for a buffer. */
    void extendDeadline(long ns) {
        deadline += ns;
    }

    /** Reads exactly {@code length} bytes. */
    void readFully(byte[] target, int length) throws IOException, ProtocolException {
        int received = 0;
        while (received < length) {
            received += readSome(target, received, length - received);
        }
    }

    /** Reads up to {@code length} bytes, at least one. */
    int readSome(byte[] target, int offset, int length) throws IOException, ProtocolException {
        int received = Math.min(length, readLimit - readPosition);
        System.arraycopy(readAhead, readPosition, target, offset, received);
        readPosition += received;
        return received > 0 ? received : readFromSocket(target, offset, length);
    }

    /** Reads a 32-bit integer in network byte order. */
    int readInt() throws IOException, ProtocolException {
        byte[] bytes = new byte[Integer.BYTES];
        readFully(bytes, bytes.length);
        return ByteBuffer.wrap(bytes).getInt();
    }

    /** Reads and discards exactly {@code length} bytes. */
    void skip(int length) throws IOException, ProtocolException {
        int remaining = length - Math.min(length, readLimit - readPosition);
        readPosition += length - remaining;
        byte[] sink = new byte[READ_AHEAD_BYTES];
        while (remaining > 0) {
            remaining -= readFromSocket(sink, 0, Math.min(remaining, READ_AHEAD_BYTES));
        }
    }

    /** Reads and discards input until its end, at a limited rate so that other clients are not slowed down. */
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

    private static int checkNotEnd(int received) throws EOFException {
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
                    return checkNotEnd(received);
                }
            }
        } catch (SocketTimeoutException e) {
            // reported below
        }
        throw ProtocolException.fatal(SqlState.QUERY_CANCELED, "timed out waiting for the rest of a message");
    }
}
