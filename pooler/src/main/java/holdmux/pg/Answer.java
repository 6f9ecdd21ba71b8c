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
    private static final int MAX_BUFFERED_VALUE = 64 * 1024, MAX_VALUE = 4 * 1024 * 1024 + 1_024;
    /** In front of a row's value: how many columns there are, and the length of the one. */
    private static final int ROW_PREFIX_BYTES = Short.BYTES + Integer.BYTES;
    private static final byte[] READY_FOR_QUERY = {'Z', 0, 0, 0, 5, 'I'};

    final byte[] buffer;
    private final ServerStatus status;
    private int parsedBytes;
    private int resultStart = NONE, resultEnd = NONE, valueStart, valueLength = NONE;
    private int rowCount, commandCompleteStart;
    private boolean hasRowDescription, hasCommandComplete, hasReadyForQuery, hasTrailingBytes;
    /** Of a long row that has begun: how much of the buffer belongs to it, how much is filled, and what is to come. */
    private int streamedRowEnd, filledBytes;
    private long remainingRowBytes = NONE;
    private String sqlState;

    Answer(byte[] buffer, ServerStatus.ReportFormat reportFormat) {
        this.buffer = buffer;
        status = new ServerStatus(reportFormat);
    }

    /** Parses what is whole of the buffer's first {@code length} bytes; true once ReadyForQuery or a long row has come. */
    boolean parse(int length) throws ProtocolException {
        while (!hasReadyForQuery && !isStreaming() && length - parsedBytes >= MessageBuilder.HEADER_BYTES) {
            int size = ByteBuffer.wrap(buffer).getInt(parsedBytes + 1);
            if (buffer[parsedBytes] == 'D' && size > Integer.BYTES + ROW_PREFIX_BYTES + MAX_BUFFERED_VALUE && size <= MAX_VALUE) {
                if (length - parsedBytes < MessageBuilder.HEADER_BYTES + ROW_PREFIX_BYTES) {
                    return false;
                }
                beginStreaming(size, length);
                return true;
            }
            if (size < 4 || size > buffer.length - parsedBytes - 1) {
                throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of " + size + " bytes");
            }
            if (length - parsedBytes < 1 + size) {
                return false;
            }
            parseMessage((char) buffer[parsedBytes], parsedBytes + MessageBuilder.HEADER_BYTES, parsedBytes + 1 + size);
            parsedBytes += 1 + size;
        }
        hasTrailingBytes = hasReadyForQuery && parsedBytes < length;
        return hasReadyForQuery;
    }

    /** A long row: all that must be checked of it stands in its head. */
    private void beginStreaming(int messageLength, int length) throws ProtocolException {
        ByteBuffer prefix = ByteBuffer.wrap(buffer, parsedBytes + MessageBuilder.HEADER_BYTES, ROW_PREFIX_BYTES);
        checkOrder(hasRowDescription && !hasCommandComplete && rowCount == 0 && sqlState == null);
        if (prefix.getShort() != 1 || prefix.getInt() != messageLength - Integer.BYTES - ROW_PREFIX_BYTES) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a column does not fill its row");
        }
        rowCount = 1;
        valueStart = parsedBytes + MessageBuilder.HEADER_BYTES + ROW_PREFIX_BYTES;
        valueLength = messageLength - Integer.BYTES - ROW_PREFIX_BYTES;
        filledBytes = length;
        streamedRowEnd = Math.min(length, parsedBytes + 1 + messageLength);
        remainingRowBytes = parsedBytes + 1 + messageLength - streamedRowEnd;
    }

    /** Whether a long row has begun, so that the rest is to pass through as it comes. */
    boolean isStreaming() {
        return remainingRowBytes != NONE;
    }

    /** How much of a long row has not come yet. */
    long remainingRowBytes() {
        return remainingRowBytes;
    }

    /** Writes what has come of a long row, or of its value alone; what has come behind it is parsed next. */
    int writeBuffered(OutputStream out, boolean withMessages) throws IOException {
        int from = withMessages ? resultStart : valueStart;
        out.write(buffer, from, streamedRowEnd - from);
        int trailing = filledBytes - streamedRowEnd;
        System.arraycopy(buffer, streamedRowEnd, buffer, 0, trailing);
        remainingRowBytes = NONE;
        parsedBytes = 0;
        return trailing;
    }

    /** Writes what stands behind a long row once all of it has come. */
    void writeEnd(OutputStream out) throws IOException {
        out.write(buffer, commandCompleteStart, resultEnd - commandCompleteStart);
        out.write(READY_FOR_QUERY);
    }

    private void parseMessage(char type, int from, int to) throws ProtocolException {
        switch (type) {
            case 'T' -> {
                checkOrder(!hasRowDescription);
                hasRowDescription = true;
                resultStart = from - MessageBuilder.HEADER_BYTES;
            }
            case 'D' -> {
                checkOrder(hasRowDescription && !hasCommandComplete);
                parseRow(from, to);
            }
            case 'C' -> {
                checkOrder(!hasCommandComplete);
                hasCommandComplete = true;
                commandCompleteStart = from - MessageBuilder.HEADER_BYTES;
                resultEnd = to;
            }
            case 'E' -> sqlState = sqlState(from, to);
            case 'S' -> parseParameterStatus(from, to);
            case 'Z' -> hasReadyForQuery = true;
            case 'I', 'N', 'R', 'K' -> { }
            default -> throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of type " + (int) type);
        }
    }

    private static void checkOrder(boolean inOrder) throws ProtocolException {
        if (!inOrder) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "messages of a result out of order");
        }
    }

    private void parseRow(int from, int to) throws ProtocolException {
        rowCount++;
        ByteBuffer row = ByteBuffer.wrap(buffer, from, to - from);
        if (row.remaining() < 6 || row.getShort() != 1) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a row that is not one column");
        }
        valueLength = row.getInt();
        valueStart = row.position();
        if (valueLength < NONE || Math.max(0, valueLength) != row.remaining()) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a column does not fill its row");
        }
    }

    /** The code field of an ErrorResponse; an error without one is an error all the same. */
    private String sqlState(int from, int to) {
        int at = from;
        while (at < to && buffer[at] != 0) {
            int end = findZero(at + 1, to);
            if (buffer[at] == 'C') {
                return decodeText(at + 1, end);
            }
            at = end + 1;
        }
        return "";
    }

    private void parseParameterStatus(int from, int to) {
        int nameEnd = findZero(from, to);
        String name = decodeText(from, nameEnd);
        String value = decodeText(Math.min(nameEnd + 1, to), findZero(nameEnd + 1, to));
        status.put(name, value);
    }

    private int findZero(int from, int to) {
        int at = from;
        while (at < to && buffer[at] != 0) {
            at++;
        }
        return at;
    }

    private String decodeText(int from, int to) {
        return from >= to ? "" : new String(buffer, from, to - from, StandardCharsets.UTF_8);
    }

    /** The one column's name, as RowDescription told it. */
    String columnName() {
        int from = resultStart + MessageBuilder.HEADER_BYTES + Short.BYTES;
        return decodeText(from, findZero(from, buffer.length));
    }

    /** How long the row's value is; -1 for null. */
    int valueLength() {
        return valueLength;
    }

    /** Writes the value of a row that came whole. */
    void writeValueTo(OutputStream out) throws IOException {
        out.write(buffer, valueStart, Math.max(0, valueLength));
    }

    /** Whether the answer came to its end and nothing behind it, so that its connection is free for the next request. */
    boolean endedCleanly() {
        return hasReadyForQuery && !hasTrailingBytes;
    }

    /** Whether a whole row came with its CommandComplete, even if the connection broke after that. */
    boolean isServed() {
        return hasRowDescription && rowCount == 1 && hasCommandComplete && sqlState == null;
    }

    String sqlState() {
        return sqlState;
    }

    /** What the answer to a request means, by the protocol's table. */
    Reply reply() {
        Outcome outcome = isServed() || isStreaming() ? Outcome.OK : sqlState == null ? Outcome.ERROR : switch (sqlState) {
            case SqlState.READ_ONLY_SQL_TRANSACTION, SqlState.SNAPSHOT_TOO_OLD -> Outcome.MISS;
            case SqlState.TOO_MANY_CONNECTIONS -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
        return status.toReply(outcome);
    }

    /** What the answer to SHOW pressure means: the report is the row's value. */
    Reply probeReply() {
        if (isServed() && valueLength >= 0) {
            status.put(ServerStatus.REPORT, decodeText(valueStart, valueStart + valueLength));
            return status.toReply(Outcome.OK);
        }
        boolean full = SqlState.TOO_MANY_CONNECTIONS.equals(sqlState) || SqlState.CANNOT_CONNECT_NOW.equals(sqlState);
        return Reply.of(full ? Outcome.FULL : Outcome.ERROR);
    }

    /** Writes the messages of a served answer and ReadyForQuery, which takes the place of what stood behind them. */
    void writeTo(OutputStream out) throws IOException {
        int end = Math.min(buffer.length, resultEnd + READY_FOR_QUERY.length);
        System.arraycopy(READY_FOR_QUERY, 0, buffer, resultEnd, end - resultEnd);
        out.write(buffer, resultStart, end - resultStart);
        out.write(READY_FOR_QUERY, end - resultEnd, READY_FOR_QUERY.length - (end - resultEnd));
    }
}
