package holdmux.statement;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The bytes of a text, stored in one array or, if there are too many, in a list of pooled buffers that are all full but the last. */
public final class ChunkedText {
    /** Bytes decoded at a time when UTF-8 is validated. */
    private static final int WINDOW = 4_096;

    private final List<byte[]> parts;
    private final boolean pooled;
    /** Length in bytes. */
    public final int length;

    /** {@code pooled}: whether the parts are buffers of {@link BufferPool#BUFFER_SIZE} bytes. */
    public ChunkedText(List<byte[]> parts, int length, boolean pooled) {
        this.parts = parts;
        this.length = length;
        this.pooled = pooled;
    }

    /** A text that is the first {@code length} bytes of an array, which is not copied. */
    public static ChunkedText of(byte[] bytes, int length) {
        return new ChunkedText(List.of(bytes), length, false);
    }

    /** The same text without its last byte; shares the bytes. */
    public ChunkedText withoutLastByte() {
        return new ChunkedText(parts, length - 1, pooled);
    }

    /** The byte at an index. */
    public byte byteAt(int index) {
        return pooled ? parts.get(index / BufferPool.BUFFER_SIZE)[index % BufferPool.BUFFER_SIZE] : parts.get(0)[index];
    }

    /** The first index at or after {@code from} that holds the target byte; {@link #length} if there is none. */
    public int indexOfOrEnd(char target, int from) {
        int size = pooled ? BufferPool.BUFFER_SIZE : Math.max(1, length);
        for (int at = from; at < length;) {
            byte[] part = parts.get(at / size);
            int partStart = at / size * size;
            int end = Math.min(length, partStart + size);
            for (; at < end; at++) {
                if (part[at - partStart] == target) {
                    return at;
                }
            }
        }
        return length;
    }

    /** Decodes the bytes between two indices as UTF-8. */
    public String substring(int from, int to) {
        byte[] bytes = new byte[Math.max(0, to - from)];
        ByteBuffer copy = ByteBuffer.wrap(bytes);
        views(from, from + bytes.length).forEach(copy::put);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Views of the bytes between two indices, without copying. */
    public List<ByteBuffer> views(int from, int to) {
        List<ByteBuffer> views = new ArrayList<>();
        int size = pooled ? BufferPool.BUFFER_SIZE : Math.max(1, length);
        for (int at = from; at < to;) {
            int end = Math.min(to, (at / size + 1) * size);
            views.add(ByteBuffer.wrap(parts.get(at / size), at % size, end - at));
            at = end;
        }
        return views;
    }

    /** Whether the bytes are valid UTF-8. */
    public boolean isUtf8() {
        return isAscii() || decodesAsUtf8();
    }

    private boolean isAscii() {
        for (ByteBuffer view : views(0, length)) {
            byte[] part = view.array();
            int end = view.limit();
            for (int i = view.position(); i < end; i++) {
                if (part[i] < 0) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean decodesAsUtf8() {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        ByteBuffer window = ByteBuffer.allocate(WINDOW);
        CharBuffer discarded = CharBuffer.allocate(WINDOW);
        for (ByteBuffer view : views(0, length)) {
            while (view.hasRemaining()) {
                int count = Math.min(window.remaining(), view.remaining());
                window.put(view.slice(view.position(), count));
                view.position(view.position() + count);
                discarded.clear();
                if (decoder.decode(window.flip(), discarded, false).isError()) {
                    return false;
                }
                window.compact(); // a character that begins here may end in the next part
            }
        }
        return !decoder.decode(window.flip(), discarded.clear(), true).isError();
    }

    /** Returns the pooled buffers that store this text, or the part of it that was read. */
    public void release(QueryBuffers buffers) {
        if (pooled) {
            buffers.release(parts, length);
        }
    }
}
