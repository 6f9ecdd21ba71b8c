package holdmux.pg;

import holdmux.core.Reply;
import holdmux.core.ServerStatus;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.statement.SqlState;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Parses a server's answer as its bytes come in, up to ReadyForQuery. The messages of a served answer (RowDescription,
 * one DataRow, CommandComplete) lie together in the buffer and go on to the client as they are. A row with a long value
 * is only begun here: it passes through in pieces, and what stands behind it is parsed after that.
 */
final class Answer {
    private static final int NONE = -1;
    /** Values above this stream, up to the longest there may be; some room for the messages round them. */
    private static final int WHOLE_VALUE = 64 * 1024, MOST_VALUE = 4 * 1024 * 1024 + 1_024;
    /** In front of a row's value: how many columns there are, and the length of the one. */
    private static final int ROW_HEAD = Short.BYTES + Integer.BYTES;
    private static final byte[] READY = {'Z', 0, 0, 0, 5, 'I'};

    final byte[] buffer;
    private final ServerStatus status;
    private int parsed;
    private int rowFrom = NONE, rowTo = NONE, valueFrom, valueLength = NONE;
    private int rows, completeFrom;
    private boolean described, complete, ready, surplus;
    /** Of a long row that has begun: how much of the buffer belongs to it, how much is filled, and what is to come. */
    private int begunTo, filled;
    private long toCome = NONE;
    private String sqlState;

    Answer(byte[] buffer, ServerStatus.Form form) {
        this.buffer = buffer;
        status = new ServerStatus(form);
    }

    /** Parses what is whole of the buffer's first {@code length} bytes; true once ReadyForQuery or a long row has come. */
    boolean parse(int length) throws ProtocolException {
        while (!ready && !begun() && length - parsed >= Message.HEAD) {
            int size = ByteBuffer.wrap(buffer).getInt(parsed + 1);
            if (buffer[parsed] == 'D' && size > Integer.BYTES + ROW_HEAD + WHOLE_VALUE && size <= MOST_VALUE) {
                if (length - parsed < Message.HEAD + ROW_HEAD) {
                    return false;
                }
                begin(size, length);
                return true;
            }
            if (size < 4 || size > buffer.length - parsed - 1) {
                throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of " + size + " bytes");
            }
            if (length - parsed < 1 + size) {
                return false;
            }
            message((char) buffer[parsed], parsed + Message.HEAD, parsed + 1 + size);
            parsed += 1 + size;
        }
        surplus = ready && parsed < length;
        return ready;
    }

    /** A long row: all that must be checked of it stands in its head. */
    private void begin(int size, int length) throws ProtocolException {
        ByteBuffer head = ByteBuffer.wrap(buffer, parsed + Message.HEAD, ROW_HEAD);
        inOrder(described && !complete && rows == 0 && sqlState == null);
        if (head.getShort() != 1 || head.getInt() != size - Integer.BYTES - ROW_HEAD) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a column does not fill its row");
        }
        rows = 1;
        valueFrom = parsed + Message.HEAD + ROW_HEAD;
        valueLength = size - Integer.BYTES - ROW_HEAD;
        filled = length;
        begunTo = Math.min(length, parsed + 1 + size);
        toCome = parsed + 1 + size - begunTo;
    }

    /** Whether a long row has begun, so that the rest is to pass through as it comes. */
    boolean begun() {
        return toCome != NONE;
    }

    /** How much of a long row has not come yet. */
    long toCome() {
        return toCome;
    }

    /** Writes what has come of a long row, or of its value alone; what has come behind it is parsed next. */
    int beginTo(OutputStream out, boolean messages) throws IOException {
        int from = messages ? rowFrom : valueFrom;
        out.write(buffer, from, begunTo - from);
        int behind = filled - begunTo;
        System.arraycopy(buffer, begunTo, buffer, 0, behind);
        toCome = NONE;
        parsed = 0;
        return behind;
    }

    /** Writes what stands behind a long row once all of it has come. */
    void endTo(OutputStream out) throws IOException {
        out.write(buffer, completeFrom, rowTo - completeFrom);
        out.write(READY);
    }

    private void message(char type, int from, int to) throws ProtocolException {
        switch (type) {
            case 'T' -> {
                inOrder(!described);
                described = true;
                rowFrom = from - Message.HEAD;
            }
            case 'D' -> {
                inOrder(described && !complete);
                row(from, to);
            }
            case 'C' -> {
                inOrder(!complete);
                complete = true;
                completeFrom = from - Message.HEAD;
                rowTo = to;
            }
            case 'E' -> sqlState = sqlState(from, to);
            case 'S' -> parameter(from, to);
            case 'Z' -> ready = true;
            case 'I', 'N', 'R', 'K' -> { }
            default -> throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of type " + (int) type);
        }
    }

    private static void inOrder(boolean yes) throws ProtocolException {
        if (!yes) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "messages of a result out of order");
        }
    }

    private void row(int from, int to) throws ProtocolException {
        rows++;
        ByteBuffer row = ByteBuffer.wrap(buffer, from, to - from);
        if (row.remaining() < 6 || row.getShort() != 1) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a row that is not one column");
        }
        valueLength = row.getInt();
        valueFrom = row.position();
        if (valueLength < NONE || Math.max(0, valueLength) != row.remaining()) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a column does not fill its row");
        }
    }

    /** The code field of an ErrorResponse; an error without one is an error all the same. */
    private String sqlState(int from, int to) {
        int at = from;
        while (at < to && buffer[at] != 0) {
            int end = zero(at + 1, to);
            if (buffer[at] == 'C') {
                return text(at + 1, end);
            }
            at = end + 1;
        }
        return "";
    }

    private void parameter(int from, int to) {
        int nameEnd = zero(from, to);
        String name = text(from, nameEnd);
        String value = text(Math.min(nameEnd + 1, to), zero(nameEnd + 1, to));
        status.put(name, value);
    }

    private int zero(int from, int to) {
        int at = from;
        while (at < to && buffer[at] != 0) {
            at++;
        }
        return at;
    }

    private String text(int from, int to) {
        return from >= to ? "" : new String(buffer, from, to - from, StandardCharsets.UTF_8);
    }

    /** The one column's name, as RowDescription told it. */
    String column() {
        int from = rowFrom + Message.HEAD + Short.BYTES;
        return text(from, zero(from, buffer.length));
    }

    /** How long the row's value is; -1 for null. */
    int valueLength() {
        return valueLength;
    }

    /** Writes the value of a row that came whole. */
    void writeValueTo(OutputStream out) throws IOException {
        out.write(buffer, valueFrom, Math.max(0, valueLength));
    }

    /** Whether the answer came to its end and nothing behind it, so that its connection is free for the next request. */
    boolean whole() {
        return ready && !surplus;
    }

    /** Whether a whole row came with its CommandComplete, even if the connection broke after that. */
    boolean served() {
        return described && rows == 1 && complete && sqlState == null;
    }

    String sqlState() {
        return sqlState;
    }

    /** What the answer to a request means, by the protocol's table. */
    Reply reply() {
        Outcome outcome = served() || begun() ? Outcome.OK : sqlState == null ? Outcome.ERROR : switch (sqlState) {
            case SqlState.READ_ONLY_SQL_TRANSACTION, SqlState.SNAPSHOT_TOO_OLD -> Outcome.MISS;
            case SqlState.TOO_MANY_CONNECTIONS -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
        return status.reply(outcome);
    }

    /** What the answer to SHOW pressure means: the report is the row's value. */
    Reply probeReply() {
        if (served() && valueLength >= 0) {
            status.put(ServerStatus.REPORT, text(valueFrom, valueFrom + valueLength));
            return status.reply(Outcome.OK);
        }
        boolean busy = SqlState.TOO_MANY_CONNECTIONS.equals(sqlState) || SqlState.CANNOT_CONNECT_NOW.equals(sqlState);
        return Reply.of(busy ? Outcome.FULL : Outcome.ERROR);
    }

    /** Writes the messages of a served answer and ReadyForQuery, which takes the place of what stood behind them. */
    void writeTo(OutputStream out) throws IOException {
        int end = Math.min(buffer.length, rowTo + READY.length);
        System.arraycopy(READY, 0, buffer, rowTo, end - rowTo);
        out.write(buffer, rowFrom, end - rowFrom);
        out.write(READY, end - rowTo, READY.length - (end - rowTo));
    }
}
