package holdmux.pg;

import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Deadlines;
import holdmux.core.IdleConnections;
import holdmux.core.IdleConnections.Readiness;
import holdmux.core.Reply;
import holdmux.core.ServerStatus;
import holdmux.statement.BufferPool;
import holdmux.statement.SqlState;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * One blocking connection to a server, for one request at a time. It uses a channel instead of a Socket, since only a channel
 * can be checked for input without blocking; there is no selector.
 */
final class ServerConnection implements Closeable, IdleConnections.Connection {
    /** A server that sends no more of a long answer for this time is considered dead. Servers may pause for 2 s within an
     * answer whose first bytes were in time, whatever the request's deadline. */
    private static final long STALL_TIMEOUT_NS = 2_500 * Clock.MS;

    /** Servers send the messages behind a result or an error in the same write; if they are late by this, they never come. */
    private static final long TRAILER_TIMEOUT_NS = 50 * Clock.MS;

    /** How much of a message the system may hold for a server that does not read. Without room for several segments, of up to 64 KiB
     * on loopback, each of them would wait for the server's delayed acknowledgement. */
    private static final int SEND_BUFFER_BYTES = 256 * 1024;

    private final long serverId;
    private final InetSocketAddress address;
    private final SocketChannel channel;
    private final BufferPool buffers;
    private final Consumer<Reply> syncStatus;
    /** Whether a query was written since the connection was opened or last synchronized. */
    private boolean used;
    /** The query written behind the last answer, until its response is complete; null if there is none. */
    private SyncQuery pendingSync;

    /** Creates a connection that is not opened yet; {@code syncStatus} is given what the response to a {@link SyncQuery} states. */
    ServerConnection(long serverId, InetSocketAddress address, BufferPool buffers, Consumer<Reply> syncStatus) throws IOException {
        this.serverId = serverId;
        this.syncStatus = syncStatus;
        this.address = address;
        this.buffers = buffers;
        channel = SocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
        } catch (IOException e) {
            close(); // otherwise the file descriptor would leak
            throw e;
        }
    }

    /**
     * Opens the connection. The connecting thread enforces the time-out itself, since closing the channel from another thread
     * does not always interrupt a connect that the server never answers.
     *
     * @param waitNs the time-out, rounded up to a whole millisecond
     * @throws java.net.SocketTimeoutException if the time-out has expired
     */
    void connect(long waitNs) throws IOException {
        channel.socket().connect(address, (int) Math.max(1, Math.min(Integer.MAX_VALUE, Clock.ceilMillis(waitNs))));
    }

    /**
     * Writes an attempt's message if the attempt may be written, checked immediately before; returns whether it was written
     * completely.
     *
     * @throws IOException if the connection broke or the attempt was given up before the last byte
     */
    boolean send(QueryMessage message, Attempt attempt, Deadlines deadlines) throws IOException {
        return message.length() > BufferPool.BUFFER_SIZE ? sendInParts(message, attempt, deadlines) : sendAtOnce(message, attempt);
    }

    /** Writes a short message in one call. Acquiring the buffer may take time, so it comes before the check. */
    private boolean sendAtOnce(QueryMessage message, Attempt attempt) throws IOException {
        byte[] buffer = buffers.acquire();
        try {
            ByteBuffer bytes = ByteBuffer.wrap(buffer);
            message.head().forEach(bytes::put);
            ByteBuffer tail = message.tail();
            boolean permitted = tail != null && attempt.mayWrite();
            used |= permitted;
            if (permitted) {
                write(bytes.put(tail).flip());
            }
            return permitted;
        } finally {
            buffers.release(buffer);
        }
    }

    /** Writes a long message, which takes as long as the server needs to read it; what permits it is checked up to its last byte. */
    private boolean sendInParts(QueryMessage message, Attempt attempt, Deadlines deadlines) throws IOException {
        if (!attempt.mayWrite()) {
            return false;
        }
        used = true;
        try (WriteMonitor monitor = new WriteMonitor(attempt, deadlines)) {
            for (ByteBuffer part : message.head()) {
                write(part);
            }
            attempt.recheckWrite();
            ByteBuffer tail = message.tail();
            if (tail == null) {
                attempt.abandonWrite();
                throw new IOException("the time left has become too short to be stated");
            }
            write(tail);
        }
        return true;
    }

    /** Writes the startup packet. */
    void sendStartup(ByteBuffer packet) throws IOException {
        write(packet);
    }

    private void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /**
     * Reads a complete answer, or one up to the beginning of a long row. The buffer is acquired when the first bytes have
     * arrived; it stays with the answer, and the caller has to release it. If the connection breaks or stalls behind a served
     * row or an error, the answer is valid nevertheless.
     *
     * @param partialStatus is given what the server has stated whenever part of the answer has been read
     */
    Answer receive(ServerStatus.ReportFormat reportFormat, Deadlines deadlines, Consumer<Reply> partialStatus)
            throws IOException, ProtocolException {
        byte[] header = new byte[MessageBuilder.HEADER_BYTES];
        int received = channel.read(ByteBuffer.wrap(header));
        Answer answer = new Answer(buffers.acquire(), reportFormat);
        boolean usable = false;
        Deadlines.Deadline trailerDeadline = null;
        try {
            ByteBuffer in = ByteBuffer.wrap(answer.buffer).put(header, 0, Math.max(0, received));
            while (received >= 0 && !answer.parse(in.position())) {
                if (!in.hasRemaining()) {
                    throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "answer exceeds the buffer");
                }
                partialStatus.accept(answer.status());
                if (trailerDeadline == null && (answer.isServed() || answer.sqlState() != null)) {
                    trailerDeadline = deadlines.after(TRAILER_TIMEOUT_NS, this::close);
                }
                received = channel.read(in);
            }
            if (received < 0) {
                throw new EOFException("the server closed the connection");
            }
            usable = true;
        } catch (IOException e) {
            usable = answer.isServed() || answer.sqlState() != null;
            if (!usable) {
                throw e;
            }
        } finally {
            if (trailerDeadline != null) {
                deadlines.cancel(trailerDeadline);
            }
            if (!usable) {
                buffers.release(answer.buffer);
            }
        }
        return answer;
    }

    /**
     * Streams the rest of an answer whose long row has begun, or of its value alone, through the answer's buffer.
     *
     * @param withMessages whether to write the complete messages or only the value
     */
    void relay(Answer answer, OutputStream out, boolean withMessages, Deadlines deadlines)
            throws IOException, ProtocolException {
        long remaining = answer.remainingRowBytes();
        ByteBuffer in = ByteBuffer.wrap(answer.buffer).position(answer.writeBuffered(out, withMessages));
        while (remaining > 0) {
            read(in.clear().limit((int) Math.min(remaining, in.capacity())), deadlines, STALL_TIMEOUT_NS);
            remaining -= in.position();
            out.write(answer.buffer, 0, in.position());
            in.position(0);
        }
        in.limit(in.capacity());
        try {
            while (!answer.parse(in.position())) {
                read(in, deadlines, answer.isServed() ? TRAILER_TIMEOUT_NS : STALL_TIMEOUT_NS);
            }
        } catch (IOException e) {
            if (!answer.isServed()) {
                throw e; // behind a served row the answer is valid nevertheless
            }
        }
        if (!answer.isServed()) {
            throw new IOException("the server ended a long answer early");
        }
        if (withMessages) {
            answer.writeEnd(out);
        }
    }

    /** Reads more of a streamed answer. There is no limit on its total time, only on a stall. */
    private void read(ByteBuffer in, Deadlines deadlines, long stallTimeoutNs) throws IOException {
        Deadlines.Deadline stallDeadline = deadlines.after(stallTimeoutNs, this::close);
        try {
            if (channel.read(in) <= 0) {
                throw new EOFException("the server closed the connection during a long answer");
            }
        } finally {
            deadlines.cancel(stallDeadline);
        }
    }

    @Override
    public long serverId() {
        return serverId;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Prepares a connection whose answer is complete for its next query: writes a {@link SyncQuery} and returns before its
     * response. Does nothing if no query was written since the last time. False if the connection cannot be used again.
     */
    boolean synchronize() {
        if (!used) {
            return true;
        }
        try {
            ByteBuffer message = SyncQuery.message();
            channel.configureBlocking(false);
            channel.write(message);
            used = false;
            pendingSync = new SyncQuery();
            return !message.hasRemaining();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public Readiness readiness() {
        try {
            channel.configureBlocking(false);
            Readiness readiness = pendingSync == null ? Readiness.READY : receiveSyncResponse();
            if (readiness == Readiness.READY) {
                readiness = checkSilence(); // the server may have closed the connection behind the response
            }
            channel.configureBlocking(true);
            return readiness;
        } catch (IOException e) {
            return Readiness.BROKEN;
        }
    }

    /** Whether the end of the last exchange has been received, so that a query can be written. */
    boolean isSynchronized() {
        return pendingSync == null;
    }

    /** Blocks until the last exchange has ended or the connection is found unusable. */
    Readiness awaitSynchronized() {
        try {
            channel.configureBlocking(true);
            Readiness readiness = Readiness.NOT_YET;
            while (readiness == Readiness.NOT_YET) {
                readiness = receiveSyncResponse();
            }
            return readiness;
        } catch (IOException e) {
            return Readiness.BROKEN;
        }
    }

    private Readiness checkSilence() throws IOException {
        int received = channel.read(ByteBuffer.allocate(1));
        return received == 0 ? Readiness.READY : received < 0 ? Readiness.BROKEN : Readiness.SURPLUS;
    }

    private Readiness receiveSyncResponse() throws IOException {
        if (channel.read(pendingSync.received()) < 0) {
            return Readiness.BROKEN;
        }
        return switch (pendingSync.parse()) {
            case PENDING -> Readiness.NOT_YET;
            case UNEXPECTED -> Readiness.SURPLUS;
            case COMPLETE -> {
                syncStatus.accept(pendingSync.status());
                pendingSync = null;
                yield Readiness.READY;
            }
        };
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // nothing left to release
        }
    }
}
