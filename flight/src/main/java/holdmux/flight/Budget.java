package holdmux.flight;

/**
 * Bytes of values on their way through this process, of all streams together. A stream reserves before it asks its
 * server for the next message, so that slow readers keep servers waiting rather than fill the memory. Who waits is woken
 * when some is given back; a reader that takes nothing is cut off elsewhere, so that what it holds comes back.
 */
final class Budget {
    private final long most;
    private long held;

    Budget(long most) {
        this.most = most;
    }

    /** Reserves at once, or not at all; whatever is asked fits an empty budget. */
    synchronized boolean tryTake(long bytes) {
        if (held > 0 && held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    /** Waits so long for room; false if there was none. */
    synchronized boolean take(long bytes, long waitMs) throws InterruptedException {
        long by = System.nanoTime() + waitMs * 1_000_000L;
        for (long left = waitMs; !tryTake(bytes); left = (by - System.nanoTime()) / 1_000_000L) {
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }

    /** What was reserved turned out to be so many bytes more or, negative, fewer. */
    synchronized void adjust(long bytes) {
        held += bytes;
        if (bytes < 0) {
            notifyAll();
        }
    }

    void give(long bytes) {
        adjust(-bytes);
    }

    synchronized long held() {
        return held;
    }
}
