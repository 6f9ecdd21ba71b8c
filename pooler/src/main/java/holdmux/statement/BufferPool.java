package holdmux.statement;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * A pool of reusable buffers of one size, with a limit on how many are in use at once. One buffer holds a whole answer with
 * a value of 64 KiB; longer messages take several buffers or pass through in pieces. A buffer is held only while a message
 * passes through, not between messages.
 */
public final class BufferPool {
    /** Size of each buffer in bytes. */
    public static final int BUFFER_SIZE = 72 * 1024;
    /** The smallest budget, however little memory is configured; and the percentage of the budget that one message may take. */
    private static final int MIN_BUFFERS = 8, MAX_MESSAGE_PERCENT = 75;
    /** Waiting longer than this for a buffer helps no answer: the tightest on-time target of a class is about 300 ms. */
    private static final long ACQUIRE_TIMEOUT_MS = 100;
    /** Free buffers kept for reuse; further ones are dropped, so that a burst of long values does not occupy memory permanently. */
    private static final int MAX_FREE = 32;
    /** How often a waiting reader checks whether its client is still connected. */
    private static final long CLIENT_CHECK_INTERVAL_MS = 50;

    /** No buffer became free in time. This is a local shortage and says nothing about any peer. */
    public static final class ExhaustedException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final ArrayDeque<byte[]> free = new ArrayDeque<>();
    private final int maxBuffers;
    /** The longest message that is accepted, in buffers. */
    private final int maxMessageBuffers;
    /** Whether another process of this pooler shares the budget at present. */
    private final BooleanSupplier halved;
    private int inUse;
    /** The reader of a long message that may use the reserved buffers at present; null if there is none. */
    private Object reserveOwner;

    /**
     * Creates a pool with as many buffers as fit in {@code budgetBytes}. The longest message is limited further, so that it
     * leaves some of the buffers to others.
     */
    public BufferPool(int budgetBytes, int maxMessageLength, BooleanSupplier halved) {
        maxBuffers = Math.max(MIN_BUFFERS, budgetBytes / BUFFER_SIZE);
        maxMessageBuffers = Math.min((maxMessageLength + BUFFER_SIZE - 1) / BUFFER_SIZE, maxBuffers * MAX_MESSAGE_PERCENT / 100);
        this.halved = halved;
    }

    /** How many buffers may be in use now: half of them while another process shares the budget, but enough for one long message. */
    private int budget() {
        return halved.getAsBoolean() ? Math.max(maxBuffers / 2, maxMessageBuffers + 1) : maxBuffers;
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
        return allocate();
    }

    /**
     * Returns one more buffer for a long message that is being read; waits until one is free, unless the client is gone.
     * Part of the budget, enough for the longest message, is reserved for one reader at a time until its message is
     * complete, so that every message is completed however many were begun.
     */
    public synchronized byte[] acquireForLongMessage(Object reader, BooleanSupplier clientGone) throws IOException {
        while (true) {
            if (inUse < budget() - maxMessageBuffers) {
                return allocate();
            }
            reserveOwner = reserveOwner == null ? reader : reserveOwner;
            if (reserveOwner == reader && inUse < budget()) {
                return allocate();
            }
            if (clientGone.getAsBoolean()) {
                throw new IOException("the client disconnected while its message waited for a buffer");
            }
            awaitRelease(CLIENT_CHECK_INTERVAL_MS);
        }
    }

    /** Ends this reader's use of the reserve, if it has it: its message is complete or will never be. */
    public synchronized void releaseReserve(Object reader) {
        if (reserveOwner == reader) {
            reserveOwner = null;
            notifyAll();
        }
    }

    /** The longest message that is accepted, in bytes. */
    public int maxMessageBytes() {
        return maxMessageBuffers * BUFFER_SIZE;
    }

    private byte[] allocate() {
        inUse++;
        byte[] buffer = free.poll();
        return buffer != null ? buffer : new byte[BUFFER_SIZE];
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
        if (free.size() < MAX_FREE) {
            free.push(buffer);
        }
        notifyAll();
    }
}
