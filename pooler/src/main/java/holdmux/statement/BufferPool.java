package holdmux.statement;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Buffers of one size, used again, and no more of them at once than a budget allows. The size holds the answer with a
 * value of 64 KiB whole; longer messages take several or pass through in pieces. A buffer is held while a message
 * passes, not between.
 */
public final class BufferPool {
    public static final int BUFFER_SIZE = 72 * 1024;
    /** However little memory is told, this many messages can pass; and the part in 100 of all that one may take. */
    private static final int MIN_BUFFERS = 8, MAX_MESSAGE_PERCENT = 75;
    /** Waiting longer than this for a buffer helps no answer: the tightest aim of a class is some 300 ms. */
    private static final long ACQUIRE_TIMEOUT_MS = 100;
    /** Kept while nobody needs them; beyond that they go, so that a wave of long values does not stay for good. */
    private static final int MAX_FREE = 32;
    /** How often a reader that waits looks whether its client is still there. */
    private static final long CLIENT_CHECK_INTERVAL_MS = 50;

    /** No buffer was to be had in time; says nothing of any peer. */
    public static final class ExhaustedException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final ArrayDeque<byte[]> free = new ArrayDeque<>();
    private final int maxBuffers;
    /** The longest message there may be, in buffers. */
    private final int maxMessageBytes;
    /** Whether another process of this pooler has a share of the budget now. */
    private final BooleanSupplier halved;
    private int inUse;
    /** The reader of a long message that may take from the part kept back, and how many of these readers wait. */
    private Object reserveOwner;

    /** As many as these bytes have room for; the longest message must leave some of them to others. */
    public BufferPool(int budgetBytes, int maxMessageLength, BooleanSupplier halved) {
        maxBuffers = Math.max(MIN_BUFFERS, budgetBytes / BUFFER_SIZE);
        maxMessageBytes = Math.min((maxMessageLength + BUFFER_SIZE - 1) / BUFFER_SIZE, maxBuffers * MAX_MESSAGE_PERCENT / 100);
        this.halved = halved;
    }

    private int budget() {
        return halved.getAsBoolean() ? Math.max(maxBuffers / 2, maxMessageBytes + 1) : maxBuffers;
    }

    /** Waits a short while for a buffer. */
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
     * One more buffer for a long message that is being read; waits until the budget has one, unless the client is gone.
     * Part of the budget, enough for the longest message, is kept for one reader at a time until its message is whole,
     * so that each comes to its end however many have begun.
     */
    public synchronized byte[] acquireForLongMessage(Object reader, BooleanSupplier clientGone) throws IOException {
        while (true) {
            if (inUse < budget() - maxMessageBytes) {
                return allocate();
            }
            reserveOwner = reserveOwner == null ? reader : reserveOwner;
            if (reserveOwner == reader && inUse < budget()) {
                return allocate();
            }
            if (clientGone.getAsBoolean()) {
                throw new IOException("the client left while its message waited for room");
            }
            awaitRelease(CLIENT_CHECK_INTERVAL_MS);
        }
    }

    /** The message of this reader is whole, or will never be. */
    public synchronized void releaseReserve(Object reader) {
        if (reserveOwner == reader) {
            reserveOwner = null;
            notifyAll();
        }
    }

    /** The longest message that the budget has room for, in bytes. */
    public int maxMessageBytes() {
        return maxMessageBytes * BUFFER_SIZE;
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

    public synchronized void release(byte[] buffer) {
        inUse--;
        if (free.size() < MAX_FREE) {
            free.push(buffer);
        }
        notifyAll();
    }
}
