package holdmux.pg;

import holdmux.statement.Statement;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * A Query message, written once. The text of a request states near its end how much time is left, and a long text may take long to
 * be written; so the end of the message is composed only when its turn has come. Its length, and with it the room for the number,
 * is fixed before.
 */
final class QueryMessage {
    /** By how much the number may exceed the time left: the slack of 150 ms that servers allow, less the time of the send. */
    private static final long MAX_EXCESS_MS = 100;

    private final List<ByteBuffer> head = new ArrayList<>();
    private final List<ByteBuffer> end = new ArrayList<>();
    private final LongSupplier remainingMs;
    /** The number as it was when the length was fixed; empty if the text states none. */
    private final byte[] plannedDigits;
    private final long plannedMs;

    /** A request; {@code remainingMs} returns the time left to it in milliseconds. */
    QueryMessage(Statement statement, LongSupplier remainingMs) {
        this.remainingMs = remainingMs;
        plannedMs = remainingMs.getAsLong();
        plannedDigits = digits(plannedMs);
        head.addAll(statement.textBeforeTimeout());
        end.addAll(statement.textAfterTimeout());
        complete();
    }

    /** A text that states no time. */
    QueryMessage(byte[] text) {
        remainingMs = () -> 0;
        plannedMs = 0;
        plannedDigits = new byte[0];
        head.add(ByteBuffer.wrap(text));
        complete();
    }

    /** Adds the header and the zero byte behind the text. */
    private void complete() {
        end.add(ByteBuffer.wrap(new byte[1]));
        int length = Integer.BYTES + bytes(head) + plannedDigits.length + bytes(end);
        head.add(0, ByteBuffer.allocate(MessageBuilder.HEADER_BYTES).put((byte) 'Q').putInt(length).flip());
    }

    private static int bytes(List<ByteBuffer> parts) {
        return parts.stream().mapToInt(ByteBuffer::remaining).sum();
    }

    private static byte[] digits(long number) {
        return Long.toString(number).getBytes(StandardCharsets.US_ASCII);
    }

    /** Length of the whole message in bytes. */
    int length() {
        return bytes(head) + plannedDigits.length + bytes(end);
    }

    /** The message up to the number. */
    List<ByteBuffer> head() {
        return head;
    }

    /** The rest of the message, with the time that is left now; null if that has fewer digits than there is room for. */
    ByteBuffer tail() {
        byte[] digits = plannedDigits;
        if (digits.length > 0) {
            long leftMs = remainingMs.getAsLong();
            byte[] currentDigits = digits(leftMs);
            if (currentDigits.length == digits.length) {
                digits = currentDigits;
            } else if (plannedMs - leftMs > MAX_EXCESS_MS) {
                return null;
            }
        }
        ByteBuffer tail = ByteBuffer.allocate(digits.length + bytes(end)).put(digits);
        end.forEach(tail::put);
        return tail.flip();
    }
}
