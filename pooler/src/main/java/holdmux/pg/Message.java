package holdmux.pg;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Composes messages of version 3 of the wire protocol, one after the other, in a pooled buffer. */
final class Message {
    static final int PROTOCOL_3 = 196_608;
    /** A type and a length. */
    static final int HEAD = 5;

    private final ByteBuffer out;
    private int lengthAt;

    Message(byte[] buffer) {
        out = ByteBuffer.wrap(buffer);
    }

    Message begin(char type) {
        out.put((byte) type);
        return beginUntyped();
    }

    /** The startup message has no type. */
    Message beginUntyped() {
        lengthAt = out.position();
        out.putInt(0);
        return this;
    }

    Message end() {
        out.putInt(lengthAt, out.position() - lengthAt);
        return this;
    }

    Message put(int value) {
        out.putInt(value);
        return this;
    }

    Message putShort(int value) {
        out.putShort((short) value);
        return this;
    }

    Message put(byte[] value, int from, int length) {
        out.put(value, from, length);
        return this;
    }

    Message put(char value) {
        out.put((byte) value);
        return this;
    }

    /** A string with its terminating zero. */
    Message put(String value) {
        out.put(value.getBytes(StandardCharsets.UTF_8)).put((byte) 0);
        return this;
    }

    Message parameterStatus(String name, String value) {
        return begin('S').put(name).put(value).end();
    }

    Message readyForQuery() {
        return begin('Z').put('I').end();
    }

    /** {@code detail} is null for none. */
    Message error(boolean fatal, String sqlState, String words, String detail) {
        String severity = fatal ? "FATAL" : "ERROR";
        begin('E').put('S').put(severity).put('V').put(severity).put('C').put(sqlState).put('M').put(words);
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
