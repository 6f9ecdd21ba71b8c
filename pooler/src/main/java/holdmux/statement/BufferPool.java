package holdmux.statement;

import java.io.IOException;
import java.util.function.BooleanSupplier;

/**
 * A pool of reusable buffers of one size, with a limit on how many are in use at once. One buffer holds a whole answer with
 * a value of 64 KiB; longer answers pass through in pieces. A buffer is held only while a message passes through, not between
 * messages.
 */
public final class BufferPool {
    /** Size of each buffer in bytes. */
    public static final int BUFFER_SIZE = 72 * 1024;
    /** The smallest budget in buffers, however little memory is configured. */
    static final int MIN_BUFFERS = 8;
    /** Waiting longer than this for a buffer helps no answer: the tightest on-time target of a class is about 300 ms. */
    private static final long ACQUIRE_TIMEOUT_MS = 100;

    /** No buffer became free in time. This is a local shortage and says nothing about any peer. */
    public static final class ExhaustedException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final FreeBuffers free = new FreeBuffers();
    private final int maxBuffers;
    /** Whether another process of this pooler shares the budget at present. */
    private final BooleanSupplier halved;
    private int inUse;

    /** Creates a pool with as many buffers as fit in {@code budgetBytes}. */
    public BufferPool(int budgetBytes, BooleanSupplier halved) {
        maxBuffers = Math.max(MIN_BUFFERS, budgetBytes / BUFFER_SIZE);
        this.halved = halved;
    }

    /** How many buffers may be in use now: half of them while another process shares the budget. */
    private int budget() {
        return halved.getAsBoolean() ? maxBuffers / 2 : maxBuffers;
    }

    /** Returns a buffer, waiting a short while for one to become free. */
    public synchronized byte[] acquire() throws ExhaustedException {
        long deadlineNs = System.nanoTime() + ACQUIRE_TIMEOUT_MS * 1_000_000L;
        for (long remainingMs = ACQUIRE_TIMEOUT_MS; inUse >= budget() && remainingMs > 0;
                remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000L) {
            awaitRelease(remainingMs);
        }
        if (inUse >= budget()) {
            throw new ExhaustedException();
        }
        inUse++;
        return free.take();
    }

    private void awaitRelease(long ms) {
        try {
            wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a buffer to the pool. */
    public synchronized void release(byte[] buffer) {
        inUse--;
        free.put(buffer);
        notifyAll();
    }
}
