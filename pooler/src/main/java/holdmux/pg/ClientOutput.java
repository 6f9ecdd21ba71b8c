package holdmux.pg;

import holdmux.core.Cell;
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
    private static final int OWN_MESSAGES = 4_096, COUNTERS = 32_768;
    /** PostgreSQL's types of plain text and of bytes, and the format codes of columns. */
    private static final int TEXT_TYPE = 25, BYTES_TYPE = 17, TEXT_FORMAT = 0, BINARY_FORMAT = 1;
    /** A client must take a piece of its answer within this; then it is cut off, and the thread goes free. */
    private static final int TAKE_MS = 5_000;
    private static final int PIECE = 16 * 1024;

    private final OutputStream to;
    private final Deadlines deadlines;
    private final Runnable cutOff;

    /** {@code cutOff} ends the connection of a client that does not take what it is sent. */
    ClientOutput(OutputStream to, Deadlines deadlines, Runnable cutOff) {
        this.to = to;
        this.deadlines = deadlines;
        this.cutOff = cutOff;
    }

    @Override
    public void write(int one) throws IOException {
        write(new byte[] {(byte) one}, 0, 1);
    }

    @Override
    public void write(byte[] from, int at, int length) throws IOException {
        for (int done = 0; done < length; done += PIECE) {
            Deadlines.Deadline timeOut = deadlines.after(TAKE_MS * Clock.MS, cutOff);
            try {
                to.write(from, at + done, Math.min(PIECE, length - done));
            } finally {
                deadlines.cancel(timeOut);
            }
        }
    }

    void message(Consumer<Message> composer) throws IOException {
        message(OWN_MESSAGES, composer);
    }

    private void message(int most, Consumer<Message> composer) throws IOException {
        Message message = new Message(new byte[most]);
        composer.accept(message);
        message.writeTo(this);
    }

    /** {@code key}: what a CancelRequest must name, the process in its upper half. */
    void greet(int protocol, long key) throws IOException {
        message(message -> {
            if (protocol != Message.PROTOCOL_3) {
                message.begin('v').put(Message.PROTOCOL_3).put(0).end(); // NegotiateProtocolVersion
            }
            message.begin('R').put(0).end().parameterStatus("server_version", "15.0 (holdmux)")
                    .parameterStatus("server_encoding", "UTF8").parameterStatus("client_encoding", "UTF8")
                    .parameterStatus("standard_conforming_strings", "on").parameterStatus("DateStyle", "ISO, MDY")
                    .parameterStatus("integer_datetimes", "on")
                    .begin('K').put((int) (key >>> Integer.SIZE)).put((int) key).end().readyForQuery();
        });
    }

    void emptyQuery() throws IOException {
        message(message -> message.begin('I').end().readyForQuery());
    }

    /** An error behind which the connection goes on; {@code waitNs}: come again after so long, 0 for no advice. */
    void error(String sqlState, String words, long waitNs) throws IOException {
        String waitMs = waitNs <= 0 ? null : Long.toString(Clock.millisUp(waitNs));
        message(message -> message.error(false, sqlState, words, waitMs).readyForQuery());
    }

    /** A value that another protocol's server gave, in this one's messages. */
    void cell(Cell cell, boolean write) throws IOException {
        int length = Math.max(0, cell.length());
        message(message -> message.begin('T').putShort(1).put(cell.column()).put(0).putShort(0).put(BYTES_TYPE)
                .putShort(-1).put(-1).putShort(BINARY_FORMAT).end()
                // the row's head; its value follows in pieces
                .put('D').put(2 * Integer.BYTES + Short.BYTES + length).putShort(1).put(cell.length()));
        cell.writeTo(this);
        message(message -> message.begin('C').put(write ? "INSERT 0 1" : "SELECT 1").end().readyForQuery());
    }

    /** A write that another protocol's server carried out without a row. */
    void updated(long rows) throws IOException {
        message(message -> message.begin('C').put("INSERT 0 " + rows).end().readyForQuery());
    }

    /** PgBouncer's SHOW STATS: the counters, a row each. */
    void stats(Counters counters) throws IOException {
        message(COUNTERS, message -> {
            message.begin('T').putShort(2);
            column(message, "counter");
            column(message, "value").end();
            Map<String, String> all = counters.all();
            all.forEach((name, value) -> {
                message.begin('D').putShort(2);
                field(message, name);
                field(message, value).end();
            });
            message.begin('C').put("SHOW " + all.size()).end().readyForQuery();
        });
    }

    private static Message column(Message message, String name) {
        return message.put(name).put(0).putShort(0).put(TEXT_TYPE).putShort(-1).put(-1).putShort(TEXT_FORMAT);
    }

    private static Message field(Message message, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        return message.put(text.length).put(text, 0, text.length);
    }
}
