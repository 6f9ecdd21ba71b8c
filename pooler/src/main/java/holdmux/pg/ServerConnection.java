package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.Deadlines;
import holdmux.core.IdleConnections;
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
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * One connection to a server: blocking, one request at a time. A channel rather than a Socket, because only a
 * channel can be looked into without waiting; there is no selector.
 */
final class ServerConnection implements Closeable, IdleConnections.Connection {
    /** A server that gives nothing more of a long answer for so long has vanished. */
    private static final long STALL_TIMEOUT_NS = 1_500 * Clock.MS;
    /** Once the request's time is nearly over: the client must be able to tell within half a second of it. */
    private static final long LATE_GRACE_NS = 400 * Clock.MS, MIN_STALL_TIMEOUT_NS = 500 * Clock.MS;

    /** What stands behind a served row or an error comes in the same write; where it stops short there, it never comes. */
    private static final long TRAILER_TIMEOUT_NS = 50 * Clock.MS;

    private final long store;
    private final InetSocketAddress address;
    private final SocketChannel channel;
    private final BufferPool buffers;

    /** A connection yet to be opened. */
    ServerConnection(long serverId, InetSocketAddress address, BufferPool buffers) throws IOException {
        this.store = serverId;
        this.address = address;
        this.buffers = buffers;
        channel = SocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            close(); // its descriptor would be lost
            throw e;
        }
    }

    /**
     * Opens the connection, waiting at most this long (nanoseconds, rounded up to a whole millisecond); a
     * {@link java.net.SocketTimeoutException} past it. The connecting thread keeps the bound itself: on the fleet's days
     * a close from another thread does not end a connect that a silent server never takes up.
     */
    void connect(long waitNs) throws IOException {
        channel.socket().connect(address, (int) Math.max(1, Math.min(Integer.MAX_VALUE, Clock.ceilMillis(waitNs))));
    }

    /**
     * Writes these bytes, a usual query of them in one go, if {@code stands} says so right before; whether it did, once the
     * last byte is written. A buffer may be waited for, and is there before that is asked.
     */
    boolean send(List<ByteBuffer> parts, BooleanSupplier mayWrite) throws IOException {
        int length = parts.stream().mapToInt(ByteBuffer::remaining).sum();
        if (length > BufferPool.BUFFER_SIZE) {
            boolean valid = mayWrite.getAsBoolean();
            for (ByteBuffer part : valid ? parts : List.<ByteBuffer>of()) {
                write(part);
            }
            return valid;
        }
        byte[] buffer = buffers.acquire();
        try {
            ByteBuffer message = ByteBuffer.wrap(buffer);
            parts.forEach(message::put);
            boolean valid = mayWrite.getAsBoolean();
            if (valid) {
                write(message.flip());
            }
            return valid;
        } finally {
            buffers.release(buffer);
        }
    }

    private void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /**
     * Reads a whole answer, or one up to where a long row has begun; no buffer is held before its first bytes come. The
     * answer keeps its buffer, which the caller gives back. If the connection breaks or falls silent behind a served row or
     * an error, that stands all the same.
     */
    Answer receive(ServerStatus.ReportFormat reportFormat, Deadlines deadlines) throws IOException, ProtocolException {
        byte[] header = new byte[MessageBuilder.HEADER_BYTES];
        int got = channel.read(ByteBuffer.wrap(header));
        Answer answer = new Answer(buffers.acquire(), reportFormat);
        boolean usable = false;
        Deadlines.Deadline trailerDeadline = null;
        try {
            ByteBuffer in = ByteBuffer.wrap(answer.buffer).put(header, 0, Math.max(0, got));
            while (got >= 0 && !answer.parse(in.position())) {
                if (!in.hasRemaining()) {
                    throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "an answer without end");
                }
                if (trailerDeadline == null && (answer.isServed() || answer.sqlState() != null)) {
                    trailerDeadline = deadlines.after(TRAILER_TIMEOUT_NS, this::close);
                }
                got = channel.read(in);
            }
            if (got < 0) {
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
     * Passes an answer whose long row has begun on to its end, or its value alone, as it comes, through its one buffer;
     * {@code by}: the end of the request's time on the {@link Clock}.
     */
    void relay(Answer answer, OutputStream out, boolean withMessages, Deadlines deadlines, long deadlineNs)
            throws IOException, ProtocolException {
        long remaining = answer.remainingRowBytes();
        ByteBuffer in = ByteBuffer.wrap(answer.buffer).position(answer.writeBuffered(out, withMessages));
        while (remaining > 0) {
            read(in.clear().limit((int) Math.min(remaining, in.capacity())), deadlines, deadlineNs);
            remaining -= in.position();
            out.write(answer.buffer, 0, in.position());
            in.position(0);
        }
        in.limit(in.capacity());
        while (!answer.parse(in.position())) {
            read(in, deadlines, deadlineNs);
        }
        if (!answer.isServed()) {
            throw new IOException("the server broke a long answer off");
        }
        if (withMessages) {
            answer.writeEnd(out);
        }
    }

    /** Some more of an answer that has begun; only silence ends it, however long it takes, but sooner when it is late. */
    private void read(ByteBuffer in, Deadlines deadlines, long deadlineNs) throws IOException {
        long remainingNs = deadlineNs + LATE_GRACE_NS - deadlines.now();
        Deadlines.Deadline stallDeadline = deadlines.after(Math.max(MIN_STALL_TIMEOUT_NS, Math.min(STALL_TIMEOUT_NS, remainingNs)), this::close);
        try {
            if (channel.read(in) <= 0) {
                throw new EOFException("the server closed the connection within a long answer");
            }
        } finally {
            deadlines.cancel(stallDeadline);
        }
    }

    @Override
    public long serverId() {
        return store;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public boolean isReusable() {
        try {
            channel.configureBlocking(false);
            int got = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return got == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // closing is all that was wanted
        }
    }
}
