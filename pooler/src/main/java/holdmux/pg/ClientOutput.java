package holdmux.pg;

import holdmux.core.ScalarResult;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/** What one client is told: the messages of answers and errors, written in pieces that it must take in time. */
final class ClientOutput extends OutputStream {
    /** Holds any of our own messages but the counters, which are some 40 bytes each. */
    private static final int MESSAGE_BYTES = 4_096, STATS_BYTES = 32_768;
    /** PostgreSQL's types of plain text and of bytes, and the format codes of columns. */
    private static final int TEXT_OID = 25, BYTEA_OID = 17, TEXT_FORMAT = 0, BINARY_FORMAT = 1;
    /** A client must take a piece of its answer within this; then it is cut off, and the thread goes free. */
    private static final int WRITE_TIMEOUT_MS = 5_000;
    private static final int CHUNK_BYTES = 16 * 1024;

    private final OutputStream out;
    private final Deadlines deadlines;
    private final Runnable onTimeout;

    /** {@code cutOff} ends the connection of a client that does not take what it is sent. */
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
            Deadlines.Deadline timeOut = deadlines.after(WRITE_TIMEOUT_MS * Clock.MS, onTimeout);
            try {
                out.write(bytes, offset + written, Math.min(CHUNK_BYTES, length - written));
            } finally {
                deadlines.cancel(timeOut);
            }
        }
    }

    void writeMessage(Consumer<MessageBuilder> composer) throws IOException {
        writeMessage(MESSAGE_BYTES, composer);
    }

    private void writeMessage(int capacity, Consumer<MessageBuilder> composer) throws IOException {
        MessageBuilder message = new MessageBuilder(new byte[capacity]);
        composer.accept(message);
        message.writeTo(this);
    }

    /** {@code key}: what a CancelRequest must name, the process in its upper half. */
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

    void writeEmptyQuery() throws IOException {
        writeMessage(message -> message.begin('I').end().readyForQuery());
    }

    /** An error behind which the connection goes on; {@code waitNs}: come again after so long, 0 for no advice. */
    void writeError(String sqlState, String text, long retryAfterNs) throws IOException {
        String retryAfterMs = retryAfterNs <= 0 ? null : Long.toString(Clock.ceilMillis(retryAfterNs));
        writeMessage(message -> message.error(false, sqlState, text, retryAfterMs).readyForQuery());
    }

    /** A value that another protocol's server gave, in this one's messages. */
    void writeScalar(ScalarResult result, boolean write) throws IOException {
        int length = Math.max(0, result.length());
        writeMessage(message -> message.begin('T').putShort(1).put(result.column()).put(0).putShort(0).put(BYTEA_OID)
                .putShort(-1).put(-1).putShort(BINARY_FORMAT).end()
                // the row's head; its value follows in pieces
                .put('D').put(2 * Integer.BYTES + Short.BYTES + length).putShort(1).put(result.length()));
        result.writeTo(this);
        writeMessage(message -> message.begin('C').put(write ? "INSERT 0 1" : "SELECT 1").end().readyForQuery());
    }

    /** A write that another protocol's server carried out without a row. */
    void writeUpdateCount(long rows) throws IOException {
        writeMessage(message -> message.begin('C').put("INSERT 0 " + rows).end().readyForQuery());
    }

    /** PgBouncer's SHOW STATS: the counters, a row each. */
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
