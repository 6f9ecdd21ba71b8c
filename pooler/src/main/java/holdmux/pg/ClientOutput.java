package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.ScalarResult;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/** Writes messages to one client, in chunks that each have to be accepted within a time-out. */
final class ClientOutput extends OutputStream {
    /** Capacities for the pooler's own messages, and for the statistics with about 40 bytes per counter. */
    private static final int MESSAGE_BYTES = 4_096, STATS_BYTES = 32_768;
    /** PostgreSQL's type OIDs for text and bytea, and the column format codes. */
    private static final int TEXT_OID = 25, BYTEA_OID = 17, TEXT_FORMAT = 0, BINARY_FORMAT = 1;
    /** A client that does not accept a chunk within this time is disconnected, which frees the writing thread. */
    private static final int WRITE_TIMEOUT_MS = 5_000;
    private static final int CHUNK_BYTES = 16 * 1024;
    /** The slowest rate at which clients are expected to read what the system holds for them, and the most that it holds for one. */
    private static final long MIN_READ_BYTES_PER_MS = 256, MAX_HELD_BYTES = 4 * 1024 * 1024;
    /** A write that takes longer than this has waited for the client: the system holds as much as it takes. */
    private static final long BLOCKED_WRITE_NS = 5 * Clock.MS;

    private final OutputStream out;
    private final Deadlines deadlines;
    private final Runnable onTimeout;
    /** When a client that reads at the slowest rate expected will have received all that was written. */
    private long readUntil;

    /** {@code onTimeout} closes the connection of a client that does not accept its data in time. */
    ClientOutput(OutputStream out, Deadlines deadlines, Runnable onTimeout) {
        this.out = out;
        this.deadlines = deadlines;
        this.onTimeout = onTimeout;
    }

    @Override
    public void write(int value) throws IOException {
        write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        for (int written = 0; written < length; written += CHUNK_BYTES) {
            int chunk = Math.min(CHUNK_BYTES, length - written);
            long startNs = deadlines.now();
            Deadlines.Deadline timeout = deadlines.after(WRITE_TIMEOUT_MS * Clock.MS, onTimeout);
            try {
                out.write(bytes, offset + written, chunk);
            } finally {
                deadlines.cancel(timeout);
            }
            noteWritten(chunk, startNs);
        }
    }

    private synchronized void noteWritten(int bytes, long startNs) {
        long now = deadlines.now();
        long latest = now + readTimeNs(MAX_HELD_BYTES);
        boolean isFull = now - startNs > BLOCKED_WRITE_NS;
        readUntil = isFull ? latest : Math.min(latest, Math.max(now, readUntil) + readTimeNs(bytes));
    }

    private static long readTimeNs(long bytes) {
        return bytes * Clock.MS / MIN_READ_BYTES_PER_MS;
    }

    /** How long, in nanoseconds, the client may still need to receive all that was written; bounded, whatever it reads. */
    synchronized long remainingReadNs() {
        return Math.max(0, readUntil - deadlines.now());
    }

    /** Composes and writes one or more short messages. */
    void writeMessage(Consumer<MessageBuilder> composer) throws IOException {
        writeMessage(MESSAGE_BYTES, composer);
    }

    private void writeMessage(int capacity, Consumer<MessageBuilder> composer) throws IOException {
        MessageBuilder message = new MessageBuilder(new byte[capacity]);
        composer.accept(message);
        message.writeTo(this);
    }

    /**
     * Writes the messages that complete a startup, from AuthenticationOk to ReadyForQuery.
     *
     * @param cancelKey the BackendKeyData that a CancelRequest must contain; the process ID is the upper half
     */
    void writeGreeting(int protocolVersion, long cancelKey) throws IOException {
        writeMessage(message -> {
            if (protocolVersion != MessageBuilder.PROTOCOL_3) {
                message.begin('v').put(MessageBuilder.PROTOCOL_3).put(0).end(); // NegotiateProtocolVersion
            }
            message.begin('R').put(0).end().parameterStatus("server_version", "15.0 (holdmux)")
                    .parameterStatus("server_encoding", "UTF8").parameterStatus("client_encoding", "UTF8")
                    .parameterStatus("standard_conforming_strings", "on").parameterStatus("DateStyle", "ISO, MDY")
                    .parameterStatus("integer_datetimes", "on")
                    .begin('K').put((int) (cancelKey >>> Integer.SIZE)).put((int) cancelKey).end().readyForQuery();
        });
    }

    /** Answers an empty query. */
    void writeEmptyQuery() throws IOException {
        writeMessage(message -> message.begin('I').end().readyForQuery());
    }

    /** An error that keeps the connection open. {@code retryAfterNs}: suggested delay before a retry, 0 for none. */
    void writeError(String sqlState, String text, long retryAfterNs) throws IOException {
        String retryAfterMs = retryAfterNs <= 0 ? null : Long.toString(Clock.ceilMillis(retryAfterNs));
        writeMessage(message -> message.error(false, sqlState, text, retryAfterMs).readyForQuery());
    }

    /** Writes a value from a server of another protocol as a result with one row. */
    void writeScalar(ScalarResult result, boolean write) throws IOException {
        int length = Math.max(0, result.length());
        writeMessage(message -> message.begin('T').putShort(1).put(result.column()).put(0).putShort(0).put(BYTEA_OID)
                .putShort(-1).put(-1).putShort(BINARY_FORMAT).end()
                // the DataRow up to its value, which is streamed
                .put('D').put(2 * Integer.BYTES + Short.BYTES + length).putShort(1).put(result.length()));
        result.writeTo(this);
        writeMessage(message -> message.begin('C').put(write ? "INSERT 0 1" : "SELECT 1").end().readyForQuery());
    }

    /** Confirms a write that a server of another protocol executed without returning a row. */
    void writeUpdateCount(long rows) throws IOException {
        writeMessage(message -> message.begin('C').put("INSERT 0 " + rows).end().readyForQuery());
    }

    /** Answers SHOW STATS, as PgBouncer has it, with one row per counter. */
    void writeStats(Counters counters) throws IOException {
        writeMessage(STATS_BYTES, message -> {
            message.begin('T').putShort(2);
            column(message, "counter");
            column(message, "value").end();
            Map<String, String> all = counters.snapshot();
            all.forEach((name, value) -> {
                message.begin('D').putShort(2);
                field(message, name);
                field(message, value).end();
            });
            message.begin('C').put("SHOW " + all.size()).end().readyForQuery();
        });
    }

    private static MessageBuilder column(MessageBuilder message, String name) {
        return message.put(name).put(0).putShort(0).put(TEXT_OID).putShort(-1).put(-1).putShort(TEXT_FORMAT);
    }

    private static MessageBuilder field(MessageBuilder message, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        return message.put(text.length).put(text, 0, text.length);
    }
}
