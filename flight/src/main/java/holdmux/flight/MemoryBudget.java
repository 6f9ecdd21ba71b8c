package holdmux.flight;

/**
 * Bytes of values on their way through this process, of all streams together. A stream reserves before it asks its
 * server for the next message, so that slow readers keep servers waiting rather than fill the memory. Who waits is woken
 * when some is given back; a reader that takes nothing is cut off elsewhere, so that what it holds comes back.
 */
final class MemoryBudget {
    private final long maxBytes;
    private long reservedBytes;

    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves at once, or not at all; whatever is asked fits an empty budget. */
    synchronized boolean tryReserve(long bytes) {
        if (reservedBytes > 0 && reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Waits so long for room; false if there was none. */
    synchronized boolean reserve(long bytes, long waitMs) throws InterruptedException {
        long deadline = System.nanoTime() + waitMs * 1_000_000L;
        for (long remainingMs = waitMs; !tryReserve(bytes); remainingMs = (deadline - System.nanoTime()) / 1_000_000L) {
            if (remainingMs <= 0) {
                return false;
            }
            wait(remainingMs);
        }
        return true;
    }

    /** What was reserved turned out to be so many bytes more or, negative, fewer. */
    synchronized void adjust(long bytes) {
        reservedBytes += bytes;
        if (bytes < 0) {
            notifyAll();
        }
    }

    void release(long bytes) {
        adjust(-bytes);
    }

    synchronized long reservedBytes() {
        return reservedBytes;
    }
}
