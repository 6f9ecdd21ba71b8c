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
    /** A read that takes longer than this has waited for its bytes. */
    private static final long BLOCKED_READ_NS = 20 * Clock.MS;
    /** A wait on this side up to this long leaves no input with the client. */
    private static final long NEGLIGIBLE_WAIT_NS = Clock.MS;
    /** A read that waits longer than this has all that the client could not send before: several round trips. */
    private static final long DRAINED_READ_NS = 3 * Clock.MS;
    /** As long as less than this has come, the client was not kept from sending: no receive window is smaller. */
    private static final int MIN_WINDOW_BYTES = 16 * 1024;
    /** How long {@link #checkNotClosed} waits for an end of input that the system has received. */
    private static final int END_CHECK_MS = 1;
    /** Bytes skipped per read. */
    private static final int SKIP_CHUNK_BYTES = 8_192;
    /** Bytes discarded per read and the pause after it: at 8 MiB/s, 1 MiB of unread input is gone within the linger time. */
    private static final int DISCARD_CHUNK_BYTES = 8_192, DISCARD_PAUSE_MS = 1;

    private final Socket socket;
    private final InputStream in;
    private final Clock clock;
    private final byte[] readAhead = new byte[READ_AHEAD_BYTES];
    private int readPosition, readLimit;
    /** When the current message must be complete, and the longest allowed gap between its bytes. */
    private long deadline, maxPauseMs;
    /** When bytes were last received. */
    private long receivedAt;
    /** How long nothing was read because of waits on this side, since everything that had come was last known to be read. */
    private long unreadNs;
    private boolean timeoutSet;
    /** Whether the client may have more to send than fits the receive window, since nothing was read for a while; and how much has
     * come since. Its close lies behind that, even if all that has come is read. */
    private boolean backlogged;
    private long receivedBytes;
    /** Since when the reading thread has been in a read, 0 if it is not; and when all that had come was last known to be read. */
    private volatile long readStartedAt, caughtUpAt;

    ClientInput(Socket socket, Clock clock) throws IOException {
        this.socket = socket;
        this.clock = clock;
        in = socket.getInputStream();
        receivedAt = clock.now();
        caughtUpAt = receivedAt;
    }

    /**
     * How long ago, in nanoseconds, the client may have closed its side unnoticed, behind input that has not been read; 0 if all is
     * read. Any thread may call it.
     */
    long unnoticedCloseNs(long now) {
        long startedAt = readStartedAt;
        boolean waitsForInput = startedAt != 0 && now - startedAt > BLOCKED_READ_NS;
        return waitsForInput ? 0 : Math.max(0, now - caughtUpAt);
    }

    /** Reads once from the socket. Returns what the system returned, which may mean an interruption or the end of the input. */
    private int receive(byte[] target, int offset, int room) throws IOException {
        long startNs = clock.now();
        readStartedAt = startNs;
        int received;
        try {
            received = in.read(target, offset, room);
        } catch (SocketTimeoutException e) {
            backlogged = false;
            noteNothingUnread();
            throw e;
        } finally {
            readStartedAt = 0;
        }
        if (received >= 0) {
            noteReceived(startNs, received, room);
        }
        return received;
    }

    /** Notes that nothing is unread here; nothing is unread at the client either unless it was kept from sending. */
    private void noteNothingUnread() {
        unreadNs = 0;
        if (!backlogged) {
            caughtUpAt = clock.now();
        }
    }

    private void noteBacklog() {
        backlogged = true;
        receivedBytes = 0;
    }

    /** Waits without limit for the first byte of the next message. */
    int awaitFirstByte() throws IOException {
        if (readPosition == readLimit) {
            if (timeoutSet) {
                socket.setSoTimeout(0);
                timeoutSet = false;
            }
            readPosition = 0;
            readLimit = receive(readAhead, 0, READ_AHEAD_BYTES);
            if (readLimit < 0) {
                readPosition = readLimit = 0;
                throw new EOFException("the client closed the connection");
            }
        }
        return readAhead[readPosition++] & 0xff;
    }

    /** Whether input has been read that no message has taken yet. */
    boolean hasBuffered() {
        return readPosition < readLimit;
    }

    /** Starts the limits for the current message: the total time, and the longest pause between two reads. */
    void setTimeLimits(long totalMs, long maxPauseMs) {
        deadline = clock.now() + totalMs * Clock.MS;
        this.maxPauseMs = maxPauseMs;
    }

    /** Starts another limit on the total time of the current message. */
    void setTotalTimeLimit(long totalMs) {
        deadline = clock.now() + totalMs * Clock.MS;
    }

    /** Notes a read: one that waited, or that received less than there was room for, has left nothing unread. */
    private void noteReceived(long startNs, int received, int room) {
        receivedAt = clock.now();
        receivedBytes += received;
        long waitedNs = receivedAt - startNs;
        boolean isEmpty = received < room;
        if (waitedNs > BLOCKED_READ_NS || isEmpty && (waitedNs > DRAINED_READ_NS || receivedBytes < MIN_WINDOW_BYTES)) {
            backlogged = false;
        }
        if (isEmpty || waitedNs > BLOCKED_READ_NS) {
            noteNothingUnread();
        }
    }

    /** Notes that nothing was read for this time in nanoseconds because of a wait on this side, such as for a buffer. */
    void noteWait(long ns) {
        unreadNs += ns;
        if (ns > NEGLIGIBLE_WAIT_NS) {
            noteBacklog();
        }
    }

    /** How long the last bytes received may have lain unread, in nanoseconds. */
    long unreadNs() {
        return unreadNs;
    }

    /**
     * Checks without waiting for input whether the client has closed its side behind everything that was read. Returns false if
     * more input has come than can be looked through, so that the client may have closed its side behind it.
     */
    boolean checkNotClosed() throws IOException {
        System.arraycopy(readAhead, readPosition, readAhead, 0, readLimit - readPosition);
        readLimit -= readPosition;
        readPosition = 0;
        socket.setSoTimeout(END_CHECK_MS);
        timeoutSet = true;
        try {
            while (readLimit < READ_AHEAD_BYTES) {
                int received = receive(readAhead, readLimit, READ_AHEAD_BYTES - readLimit);
                if (!DeadlineInputStream.wasInterrupted(received)) {
                    readLimit += checkNotEnd(received);
                }
            }
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
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
        byte[] sink = new byte[Math.min(remaining, SKIP_CHUNK_BYTES)];
        while (remaining > 0) {
            remaining -= readFromSocket(sink, 0, Math.min(remaining, sink.length));
        }
    }

    /** Reads and discards input until its end, at a limited rate so that other clients are not slowed down. */
    void discardUntilEnd() throws IOException {
        readPosition = readLimit = 0;
        byte[] sink = new byte[DISCARD_CHUNK_BYTES];
        socket.setSoTimeout(0);
        noteBacklog();
        while (receive(sink, 0, DISCARD_CHUNK_BYTES) >= 0) {
            try {
                backlogged = true;
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
        long pauseDeadline = receivedAt + maxPauseMs * Clock.MS;
        try {
            while (true) {
                long remainingMs = (Math.min(deadline, pauseDeadline) - clock.now()) / Clock.MS + 1;
                if (remainingMs <= 0) {
                    break;
                }
                socket.setSoTimeout((int) remainingMs);
                timeoutSet = true;
                int received = receive(target, offset, length);
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
