package holdmux.pg;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Composes messages of version 3 of the wire protocol, one after the other, in a pooled buffer. */
final class MessageBuilder {
    static final int PROTOCOL_3 = 196_608;
    /** A type and a length. */
    static final int HEADER_BYTES = 5;

    private final ByteBuffer out;
    private int lengthPosition;

    MessageBuilder(byte[] buffer) {
        out = ByteBuffer.wrap(buffer);
    }

    MessageBuilder begin(char type) {
        out.put((byte) type);
        return beginUntyped();
    }

    /** The startup message has no type. */
    MessageBuilder beginUntyped() {
        lengthPosition = out.position();
        out.putInt(0);
        return this;
    }

    MessageBuilder end() {
        out.putInt(lengthPosition, out.position() - lengthPosition);
        return this;
    }

    MessageBuilder put(int value) {
        out.putInt(value);
        return this;
    }

    MessageBuilder putShort(int value) {
        out.putShort((short) value);
        return this;
    }

    MessageBuilder put(byte[] value, int from, int length) {
        out.put(value, from, length);
        return this;
    }

    MessageBuilder put(char value) {
        out.put((byte) value);
        return this;
    }

    /** A string with its terminating zero. */
    MessageBuilder put(String value) {
        out.put(value.getBytes(StandardCharsets.UTF_8)).put((byte) 0);
        return this;
    }

    MessageBuilder parameterStatus(String name, String value) {
        return begin('S').put(name).put(value).end();
    }

    MessageBuilder readyForQuery() {
        return begin('Z').put('I').end();
    }

    /** {@code detail} is null for none. */
    MessageBuilder error(boolean fatal, String sqlState, String text, String detail) {
        String severity = fatal ? "FATAL" : "ERROR";
        begin('E').put('S').put(severity).put('V').put(severity).put('C').put(sqlState).put('M').put(text);
        if (detail != null) {
            put('D').put(detail);
        }
        return put('\0').end();
    }

    /** What has been composed, to be read. */
    ByteBuffer bytes() {
        return out.duplicate().flip();
    }

    void writeTo(OutputStream stream) throws IOException {
        stream.write(out.array(), 0, out.position());
    }
}
