package holdmux.pg;

import holdmux.core.Clock;
import holdmux.statement.BufferPool;
import holdmux.statement.BufferPool.ExhaustedException;
import holdmux.statement.ChunkedText;
import holdmux.statement.QueryBuffers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the bodies of a client's queries; a long one into pooled buffers, each acquired when its first bytes are expected. A
 * query that waits too long for a buffer is read to its end and dropped.
 */
final class QueryReader {
    /** Longer queries use pooled buffers; a typical one, with 1 KiB of data in hexadecimal, is shorter. */
    private static final int SHORT_QUERY_BYTES = 4_096;
    /** Total time-out of a message, plus its length at the minimum rate; without it, a client that sends slowly would hold buffers
     * indefinitely. */
    private static final int MESSAGE_TIMEOUT_MS = 10_000, MIN_BYTES_PER_MS = 16;
    /** How long bytes may lie unread while a query waits for a buffer. Its last byte may be among them, how long its client
     * waits is known only once it is read, and an answer is due within 0.5 s even if that is no time at all. */
    private static final long MAX_UNREAD_NS = 300 * Clock.MS;
    /** If a query may have lain unread for longer than this, or not all input was read for longer than the second, its client may have
     * closed the connection since, unnoticed. */
    private static final long MAX_UNREAD_BEFORE_CHECK_NS = Clock.MS, MAX_UNNOTICED_BEFORE_CHECK_NS = 10 * Clock.MS;
    /** A query that may have lain unread for longer than this is dropped if its client's close may lie behind further input: no
     * attempt may begin over 0.1 s after the close. */
    private static final long MAX_DELAY_BEFORE_INPUT_NS = 80 * Clock.MS;

    /**
     * A query that was read to its end.
     *
     * @param text the query, which the receiver has to release; null if it was dropped because no buffer was free for it in time
     * @param delayNs how long its last byte may have lain unread, in nanoseconds
     */
    record Query(ChunkedText text, long delayNs) {}

    private final ClientInput in;
    private final QueryBuffers buffers;
    private final Clock clock;

    QueryReader(ClientInput in, QueryBuffers buffers, Clock clock) {
        this.in = in;
        this.clock = clock;
        this.buffers = buffers;
    }

    /**
     * Reads the body of a query.
     *
     * @throws IOException if the client disconnected, also if it did so behind the query
     */
    Query read(int length) throws IOException, ProtocolException {
        limitTime(length);
        ChunkedText text = length <= SHORT_QUERY_BYTES ? readShort(length) : readLong(length);
        long delayNs = in.unreadNs();
        if (text != null && !mayForward(text, delayNs)) {
            text.release(buffers);
            return new Query(null, delayNs);
        }
        return new Query(text, delayNs);
    }

    /** Reads the body of a query that is refused whatever it contains. */
    void skip(int length) throws IOException, ProtocolException {
        limitTime(length);
        in.skip(length);
    }

    private void limitTime(int length) {
        in.setTotalTimeLimit(MESSAGE_TIMEOUT_MS + length / MIN_BYTES_PER_MS);
    }

    private ChunkedText readShort(int length) throws IOException, ProtocolException {
        byte[] body = new byte[length];
        in.readFully(body, length);
        return ChunkedText.of(body, length);
    }

    /** Reads a query into pooled buffers; null if there were none in time and it was dropped. */
    private ChunkedText readLong(int length) throws IOException, ProtocolException {
        List<byte[]> parts = new ArrayList<>();
        ChunkedText text = new ChunkedText(parts, length, true);
        int received = readInto(parts, text);
        if (received < length) {
            in.skip(length - received);
            return null;
        }
        return text;
    }

    /** Reads as much of a query as there are buffers for and returns how much; releases the buffers unless it is complete. */
    private int readInto(List<byte[]> parts, ChunkedText text) throws IOException, ProtocolException {
        QueryBuffers.Message message = buffers.begin(text.length);
        int received = 0;
        try {
            while (received < text.length) {
                if (received == parts.size() * BufferPool.BUFFER_SIZE) {
                    parts.add(nextBuffer(message));
                }
                int offset = received % BufferPool.BUFFER_SIZE;
                received += in.readSome(parts.get(parts.size() - 1), offset,
                        Math.min(text.length - received, BufferPool.BUFFER_SIZE - offset));
            }
        } catch (ExhaustedException e) {
            // the caller drops the rest
        } finally {
            if (received < text.length) {
                text.release(buffers);
            }
        }
        return received;
    }

    private byte[] nextBuffer(QueryBuffers.Message message) throws ExhaustedException {
        long startNs = clock.now();
        try {
            return message.next(MAX_UNREAD_NS - in.unreadNs());
        } finally {
            in.noteWait(clock.now() - startNs);
        }
    }

    private boolean mayForward(ChunkedText text, long delayNs) throws IOException {
        try {
            return mayForward(delayNs);
        } catch (IOException e) {
            text.release(buffers);
            throw e;
        }
    }

    /**
     * Whether a query that may have lain unread for this time may be sent to a server; false if its client may have left too
     * long ago.
     *
     * @throws IOException if the client has closed the connection
     */
    boolean mayForward(long delayNs) throws IOException {
        long unnoticedNs = in.unnoticedCloseNs(clock.now());
        boolean needsCheck = delayNs > MAX_UNREAD_BEFORE_CHECK_NS || unnoticedNs > MAX_UNNOTICED_BEFORE_CHECK_NS;
        return !needsCheck || in.checkNotClosed() || Math.max(delayNs, unnoticedNs) <= MAX_DELAY_BEFORE_INPUT_NS;
    }
}
