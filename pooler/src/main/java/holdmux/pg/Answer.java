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
 * Incremental parser for a server's answer to a simple query, up to ReadyForQuery. The messages of a served answer
 * (RowDescription, one DataRow, CommandComplete) are contiguous in the buffer and are forwarded to the client unchanged. Of a
 * row with a long value only the beginning is buffered: the value is streamed, and parsing resumes behind it.
 */
final class Answer {
    private static final int NONE = -1;
    /** Longer values are streamed, up to the maximum value length plus some room for the surrounding messages. */
    private static final int MAX_BUFFERED_VALUE = 64 * 1024, MAX_VALUE = 4 * 1024 * 1024 + 1_024;
    /** The fields of a DataRow before the value: the column count and the length of the only column. */
    private static final int ROW_PREFIX_BYTES = Short.BYTES + Integer.BYTES;
    private static final byte[] READY_FOR_QUERY = {'Z', 0, 0, 0, 5, 'I'};

    final byte[] buffer;
    private final ServerStatus.ReportFormat reportFormat;
    private ServerStatus status;
    private int parsedBytes;
    private int resultStart = NONE, resultEnd = NONE, valueStart, valueLength = NONE;
    private int rowCount, commandCompleteStart;
    private boolean hasRowDescription, hasCommandComplete, hasReadyForQuery, hasTrailingBytes;
    /** For a streamed row: where it ends in the buffer, how far the buffer is filled, and how many bytes are still to come. */
    private int streamedRowEnd, filledBytes;
    private long remainingRowBytes = NONE;
    private String sqlState;

    Answer(byte[] buffer, ServerStatus.ReportFormat reportFormat) {
        this.buffer = buffer;
        this.reportFormat = reportFormat;
        status = new ServerStatus(reportFormat);
    }

    /** Parses the complete messages in the first {@code length} bytes; true once ReadyForQuery or the start of a long row is seen. */
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
                throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "invalid message length " + size);
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

    /** Starts streaming a long row. Everything that has to be validated is in its prefix. */
    private void beginStreaming(int messageLength, int length) throws ProtocolException {
        ByteBuffer prefix = ByteBuffer.wrap(buffer, parsedBytes + MessageBuilder.HEADER_BYTES, ROW_PREFIX_BYTES);
        checkOrder(hasRowDescription && !hasCommandComplete && rowCount == 0 && sqlState == null);
        if (prefix.getShort() != 1 || prefix.getInt() != messageLength - Integer.BYTES - ROW_PREFIX_BYTES) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "column length does not match row length");
        }
        rowCount = 1;
        valueStart = parsedBytes + MessageBuilder.HEADER_BYTES + ROW_PREFIX_BYTES;
        valueLength = messageLength - Integer.BYTES - ROW_PREFIX_BYTES;
        filledBytes = length;
        streamedRowEnd = Math.min(length, parsedBytes + 1 + messageLength);
        remainingRowBytes = parsedBytes + 1 + messageLength - streamedRowEnd;
    }

    /** Whether a long row has begun, so that the rest has to be streamed. */
    boolean isStreaming() {
        return remainingRowBytes != NONE;
    }

    /** Bytes of a streamed row that have not been received yet. */
    long remainingRowBytes() {
        return remainingRowBytes;
    }

    /**
     * Writes the buffered part of a streamed row, or of its value alone, and moves the bytes behind the row to the start of the
     * buffer, where parsing resumes. Returns the number of bytes moved.
     */
    int writeBuffered(OutputStream out, boolean withMessages) throws IOException {
        int from = withMessages ? resultStart : valueStart;
        out.write(buffer, from, streamedRowEnd - from);
        int trailing = filledBytes - streamedRowEnd;
        System.arraycopy(buffer, streamedRowEnd, buffer, 0, trailing);
        remainingRowBytes = NONE;
        parsedBytes = 0;
        return trailing;
    }

    /** Writes CommandComplete and ReadyForQuery behind a streamed row that has been received in full. */
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
            case 'Z' -> endAnswer();
            case 'I', 'N', 'R', 'K' -> { }
            default -> throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "unexpected message type " + (int) type);
        }
    }

    /** Notes ReadyForQuery; behind a second copy of a {@link SyncQuery}'s response the answer is still to come. */
    private void endAnswer() {
        boolean isSyncResponse = hasCommandComplete && !hasRowDescription && sqlState == null
                && decodeText(commandCompleteStart + MessageBuilder.HEADER_BYTES, resultEnd - 1).equals(SyncQuery.COMMAND);
        if (isSyncResponse) {
            hasCommandComplete = false;
            status = new ServerStatus(reportFormat);
        } else {
            hasReadyForQuery = true;
        }
    }

    private static void checkOrder(boolean inOrder) throws ProtocolException {
        if (!inOrder) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "result messages out of order");
        }
    }

    private void parseRow(int from, int to) throws ProtocolException {
        rowCount++;
        ByteBuffer row = ByteBuffer.wrap(buffer, from, to - from);
        if (row.remaining() < 6 || row.getShort() != 1) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "expected a row with exactly one column");
        }
        valueLength = row.getInt();
        valueStart = row.position();
        if (valueLength < NONE || Math.max(0, valueLength) != row.remaining()) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "column length does not match row length");
        }
    }

    /** The SQLSTATE of an ErrorResponse; empty, but not null, if it has none. */
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

    /** The name of the only column, from RowDescription. */
    String columnName() {
        int from = resultStart + MessageBuilder.HEADER_BYTES + Short.BYTES;
        return decodeText(from, findZero(from, buffer.length));
    }

    /** Length of the row's value in bytes; -1 for null. */
    int valueLength() {
        return valueLength;
    }

    /** Writes the value of a row that is buffered in full. */
    void writeValueTo(OutputStream out) throws IOException {
        out.write(buffer, valueStart, Math.max(0, valueLength));
    }

    /** Whether ReadyForQuery was received with no bytes behind it. */
    boolean endedWithReadyForQuery() {
        return hasReadyForQuery && !hasTrailingBytes;
    }

    /** Whether a result or an error was received in full with no bytes behind it, so that the connection can be reused. */
    boolean endedCleanly() {
        return endedWithReadyForQuery() && (isServed() || sqlState != null);
    }

    /** Whether one row and its CommandComplete were received, even if the connection broke after that. */
    boolean isServed() {
        return hasRowDescription && rowCount == 1 && hasCommandComplete && sqlState == null;
    }

    /** The SQLSTATE of the ErrorResponse, or null if there was none. */
    String sqlState() {
        return sqlState;
    }

    /** What the server has stated so far; the outcome has no meaning. */
    Reply status() {
        return status.toReply(Outcome.OK);
    }

    /** Maps the answer to a request to an outcome, with the status that the server reported along with it. */
    Reply reply() {
        Outcome outcome = isServed() || isStreaming() ? Outcome.OK : sqlState == null ? Outcome.ERROR : switch (sqlState) {
            case SqlState.READ_ONLY_SQL_TRANSACTION, SqlState.SNAPSHOT_TOO_OLD -> Outcome.MISS;
            case SqlState.TOO_MANY_CONNECTIONS -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
        return status.toReply(outcome);
    }

    /** Maps the answer to SHOW pressure to an outcome; the row's value is the load report. */
    Reply probeReply() {
        if (isServed() && valueLength >= 0) {
            status.put(ServerStatus.REPORT, decodeText(valueStart, valueStart + valueLength));
            return status.toReply(Outcome.OK);
        }
        boolean full = SqlState.TOO_MANY_CONNECTIONS.equals(sqlState) || SqlState.CANNOT_CONNECT_NOW.equals(sqlState);
        return status.toReply(full ? Outcome.FULL : Outcome.ERROR);
    }

    /** Writes the messages of a served answer followed by ReadyForQuery, which overwrites the bytes behind them in the buffer. */
    void writeTo(OutputStream out) throws IOException {
        int end = Math.min(buffer.length, resultEnd + READY_FOR_QUERY.length);
        System.arraycopy(READY_FOR_QUERY, 0, buffer, resultEnd, end - resultEnd);
        out.write(buffer, resultStart, end - resultStart);
        out.write(READY_FOR_QUERY, end - resultEnd, READY_FOR_QUERY.length - (end - resultEnd));
    }
}
