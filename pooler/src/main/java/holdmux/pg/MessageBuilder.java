package holdmux.pg;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes consecutive messages of version 3 of the PostgreSQL wire protocol into a buffer. */
final class MessageBuilder {
    /** Protocol version 3.0 as it appears in a startup packet. */
    static final int PROTOCOL_3 = 196_608;
    /** Bytes of a message's type and length. */
    static final int HEADER_BYTES = 5;

    private final ByteBuffer out;
    private int lengthPosition;

    MessageBuilder(byte[] buffer) {
        out = ByteBuffer.wrap(buffer);
    }

    /** Starts a message; {@link #end} fills in its length. */
    MessageBuilder begin(char type) {
        out.put((byte) type);
        return beginUntyped();
    }

    /** Starts a startup packet, which has a length but no type. */
    MessageBuilder beginUntyped() {
        lengthPosition = out.position();
        out.putInt(0);
        return this;
    }

    /** Ends the message and fills in its length. */
    MessageBuilder end() {
        out.putInt(lengthPosition, out.position() - lengthPosition);
        return this;
    }

    /** Appends a 32-bit integer. */
    MessageBuilder put(int value) {
        out.putInt(value);
        return this;
    }

    /** Appends a 16-bit integer. */
    MessageBuilder putShort(int value) {
        out.putShort((short) value);
        return this;
    }

    /** Appends bytes as they are. */
    MessageBuilder put(byte[] value, int from, int length) {
        out.put(value, from, length);
        return this;
    }

    /** Appends one byte. */
    MessageBuilder put(char value) {
        out.put((byte) value);
        return this;
    }

    /** Appends a zero-terminated string. */
    MessageBuilder put(String value) {
        out.put(value.getBytes(StandardCharsets.UTF_8)).put((byte) 0);
        return this;
    }

    /** Appends a ParameterStatus message. */
    MessageBuilder parameterStatus(String name, String value) {
        return begin('S').put(name).put(value).end();
    }

    /** Appends a ReadyForQuery message for a session outside of a transaction. */
    MessageBuilder readyForQuery() {
        return begin('Z').put('I').end();
    }

    /** Appends an ErrorResponse message; {@code detail} may be null. */
    MessageBuilder error(boolean fatal, String sqlState, String text, String detail) {
        String severity = fatal ? "FATAL" : "ERROR";
        begin('E').put('S').put(severity).put('V').put(severity).put('C').put(sqlState).put('M').put(text);
        if (detail != null) {
            put('D').put(detail);
        }
        return put('\0').end();
    }

    /** The encoded messages, ready to be read. */
    ByteBuffer bytes() {
        return out.duplicate().flip();
    }

    /** Writes the encoded messages. */
    void writeTo(OutputStream stream) throws IOException {
        stream.write(out.array(), 0, out.position());
    }
}
