package holdmux.pg;

import holdmux.core.Reply;
import holdmux.core.ServerStatus;
import holdmux.decision.SplitterApi.Outcome;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A query without effect that is written behind each answer, and the parser of its response. A server answers the queries of
 * a connection in order, so bytes received before this response belong to an earlier query, however late they come.
 */
final class SyncQuery {
    /** How much of the response has been received. */
    enum Progress {
        /** Part of the response, or all of it, is still to come. */
        PENDING,
        /** The response is complete, with nothing before or behind it. */
        COMPLETE,
        /** Something other than the response was received. */
        UNEXPECTED
    }

    /** Leaves an idle session as a new one would be; every server answers it at once. Its CommandComplete has the same text. */
    static final String COMMAND = "DISCARD ALL";
    /** Room for CommandComplete, ReadyForQuery and the ParameterStatus messages that a server sends with each answer. */
    private static final int MAX_RESPONSE_BYTES = 1_024;

    /** Responses have no load report that is worth reading. */
    private static final ServerStatus.ReportFormat NO_REPORT = new ServerStatus.ReportFormat(List.of(), 0);

    private static final ByteBuffer MESSAGE = new MessageBuilder(new byte[64]).begin('Q').put(COMMAND).end().bytes();

    /** Allocated with the first read, so that an idle connection holds none. */
    private ByteBuffer received;
    private int parsedBytes;
    private boolean hasCommandComplete, hasReadyForQuery;
    private final ServerStatus status = new ServerStatus(NO_REPORT);

    /** Returns the Query message with the command, ready to be written. */
    static ByteBuffer message() {
        return MESSAGE.duplicate();
    }

    /** The buffer that received bytes are to be appended to, followed by {@link #parse}. */
    ByteBuffer received() {
        if (received == null) {
            received = ByteBuffer.allocate(MAX_RESPONSE_BYTES);
        }
        return received;
    }

    /** Parses what was received so far. */
    Progress parse() {
        ByteBuffer received = received();
        while (received.position() - parsedBytes >= MessageBuilder.HEADER_BYTES) {
            int size = received.getInt(parsedBytes + 1);
            if (size < Integer.BYTES || size > received.capacity() - parsedBytes - 1 || !accept((char) received.get(parsedBytes))) {
                return Progress.UNEXPECTED;
            }
            if (received.position() - parsedBytes < 1 + size) {
                return Progress.PENDING;
            }
            if (received.get(parsedBytes) == 'S') {
                parseParameterStatus(parsedBytes + MessageBuilder.HEADER_BYTES, parsedBytes + 1 + size);
            }
            parsedBytes += 1 + size;
            if (hasReadyForQuery) {
                return parsedBytes == received.position() ? Progress.COMPLETE : Progress.UNEXPECTED;
            }
        }
        return received.hasRemaining() ? Progress.PENDING : Progress.UNEXPECTED;
    }

    /** What the server stated in the response; the outcome has no meaning. */
    Reply status() {
        return status.toReply(Outcome.OK);
    }

    private void parseParameterStatus(int from, int to) {
        String[] nameAndValue = new String(received.array(), from, to - from, StandardCharsets.UTF_8).split("\0");
        if (nameAndValue.length == 2) {
            status.put(nameAndValue[0], nameAndValue[1]);
        }
    }

    /** Notes a message of this type; false if it cannot be part of the response. */
    private boolean accept(char type) {
        switch (type) {
            case 'S', 'N' -> { }
            case 'C' -> hasCommandComplete = true;
            case 'Z' -> hasReadyForQuery = true;
            default -> {
                return false;
            }
        }
        return hasCommandComplete || !hasReadyForQuery;
    }
}
