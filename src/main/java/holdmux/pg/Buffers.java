package holdmux.pg;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Buffers of one size, used again. The size holds the largest legal message: an insert of a 64 KiB value, which is
 * 128 KiB in hexadecimal, or the answer with such a value. A buffer is held while a message passes, not between.
 */
final class Buffers {
    static final int SIZE = 136 * 1024;
    /** Waiting longer than this for a buffer helps nobody: the tightest aim of a class is some 300 ms. */
    private static final long WAIT_MS = 100;

    /** No buffer was to be had in time; says nothing of any peer. */
    static final class NoneFree extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final ArrayDeque<byte[]> free = new ArrayDeque<>();
    private final Semaphore permits;

    Buffers(int most) {
        permits = new Semaphore(most);
    }

    byte[] take() throws NoneFree {
        boolean permitted = permits.tryAcquire();
        try {
            permitted = permitted || permits.tryAcquire(WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!permitted) {
            throw new NoneFree();
        }
        synchronized (free) {
            byte[] buffer = free.poll();
            return buffer != null ? buffer : new byte[SIZE];
        }
    }

    void give(byte[] buffer) {
        synchronized (free) {
            free.push(buffer);
        }
        permits.release();
    }
}
