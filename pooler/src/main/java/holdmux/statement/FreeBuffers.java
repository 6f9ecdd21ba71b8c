package holdmux.statement;

import java.util.ArrayDeque;

/** Buffers of {@link BufferPool#BUFFER_SIZE} bytes that are kept for reuse. Not thread-safe: its pool's lock guards it. */
final class FreeBuffers {
    /** Further free buffers are dropped, so that a burst of long values does not occupy memory permanently. */
    private static final int MAX_FREE = 32;

    private final ArrayDeque<byte[]> free = new ArrayDeque<>();

    /** Returns a kept buffer or a new one. */
    byte[] take() {
        byte[] buffer = free.poll();
        return buffer != null ? buffer : new byte[BufferPool.BUFFER_SIZE];
    }

    /** Keeps a buffer that is no longer in use. */
    void put(byte[] buffer) {
        if (free.size() < MAX_FREE) {
            free.push(buffer);
        }
    }
}
