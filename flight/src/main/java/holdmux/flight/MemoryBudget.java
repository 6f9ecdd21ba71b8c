package holdmux.flight;

/**
 * Limits the bytes of results buffered in this process, over all streams. A stream reserves memory before it requests the
 * next message from its server, so a slow client applies backpressure to the server instead of filling the heap. Waiting
 * threads are woken when memory is released. A client that stops reading is disconnected elsewhere, which releases its
 * share.
 */
final class MemoryBudget {
    private final long maxBytes;
    private long reservedBytes;

    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves without waiting; false if there is not enough left. An empty budget grants a request of any size. */
    synchronized boolean tryReserve(long bytes) {
        if (reservedBytes > 0 && reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves, waiting up to {@code waitMs} for other streams to release memory; false on time-out. */
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

    /** Corrects a reservation once the actual size is known: by {@code bytes} more or, if negative, fewer. */
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
