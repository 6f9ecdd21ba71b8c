package holdmux.statement;

import holdmux.statement.BufferPool.ExhaustedException;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The buffers for the messages of clients, with a limit on how many are in use at once. A message takes its first buffers as
 * its bytes come. One that is longer than ordinary statements then has to reserve all the rest at once, so that it is
 * completed however slowly it is written, and however many others were begun. What can be reserved leaves a share to
 * ordinary messages, and these leave room for one of the longest.
 */
public final class QueryBuffers {
    /** Buffers of an ordinary message: a statement with a value of 64 KiB in hexadecimal takes two. */
    private static final int MAX_ORDINARY_BUFFERS = 2;
    /** The part of the budget that one message may take, in percent. */
    private static final int MAX_MESSAGE_PERCENT = 75;
    /** The share that cannot be reserved is the budget divided by this; with 18 MB, two of the longest messages fit beside it. */
    private static final int ORDINARY_SHARE_DIVISOR = 12;

    private final FreeBuffers free = new FreeBuffers();
    private final int maxBuffers;
    /** The longest message that is accepted, in buffers. */
    private final int maxMessageBuffers;
    /** Whether another process of this pooler shares the budget at present. */
    private final BooleanSupplier halved;
    /** Buffers in use without a reservation, and buffers reserved, whether in use or not. */
    private int ordinaryInUse, reserved;

    /** The buffers of one message, taken by the thread that reads it. */
    public final class Message {
        private final int length;
        private int held;

        private Message(int length) {
            this.length = length;
        }

        /**
         * Returns one more buffer; waits until there is one.
         *
         * @param maxWaitNs the longest time to wait, in nanoseconds; 0 or less not to wait
         * @throws ExhaustedException if there was none in time; the message cannot be read
         */
        public byte[] next(long maxWaitNs) throws ExhaustedException {
            byte[] buffer = acquire(held, length, maxWaitNs);
            held++;
            return buffer;
        }
    }

    /**
     * Creates buffers with as many as fit in {@code budgetBytes}. The longest message is limited further, so that it leaves
     * some of the buffers to others.
     */
    public QueryBuffers(int budgetBytes, int maxMessageLength, BooleanSupplier halved) {
        maxBuffers = Math.max(BufferPool.MIN_BUFFERS, budgetBytes / BufferPool.BUFFER_SIZE);
        maxMessageBuffers = Math.min(buffersFor(maxMessageLength), maxBuffers * MAX_MESSAGE_PERCENT / 100);
        this.halved = halved;
    }

    private static int buffersFor(int length) {
        return (length + BufferPool.BUFFER_SIZE - 1) / BufferPool.BUFFER_SIZE;
    }

    /** The buffers that a message of this length has to reserve behind its first ones. */
    private static int reservation(int length) {
        return buffersFor(length) - MAX_ORDINARY_BUFFERS;
    }

    /** The longest message that is accepted, in bytes. */
    public int maxMessageBytes() {
        return maxMessageBuffers * BufferPool.BUFFER_SIZE;
    }

    /** Starts a message of this length in bytes. */
    public Message begin(int length) {
        return new Message(length);
    }

    private synchronized byte[] acquire(int held, int length, long maxWaitNs) throws ExhaustedException {
        long startNs = System.nanoTime();
        while (!mayTake(held, length)) {
            long remainingMs = (maxWaitNs - (System.nanoTime() - startNs)) / 1_000_000L;
            if (remainingMs <= 0) {
                throw new ExhaustedException();
            }
            awaitRelease(remainingMs);
        }
        byte[] buffer = free.take();
        if (held < MAX_ORDINARY_BUFFERS) {
            ordinaryInUse++;
        } else if (held == MAX_ORDINARY_BUFFERS) {
            reserved += reservation(length);
        }
        return buffer;
    }

    /** Whether a message that holds this many buffers may take the next one. */
    private boolean mayTake(int held, int length) {
        int budget = budget();
        if (held < MAX_ORDINARY_BUFFERS) {
            return ordinaryInUse + reserved < budget && ordinaryInUse < budget - (maxMessageBuffers - MAX_ORDINARY_BUFFERS);
        }
        return held > MAX_ORDINARY_BUFFERS
                || reserved + reservation(length) <= budget - Math.max(ordinaryInUse, ordinaryShare());
    }

    /** How many buffers may be in use now; while another process shares the budget, half, but room for the longest message. */
    private int budget() {
        return halved.getAsBoolean() ? Math.max(maxBuffers / 2, maxMessageBuffers + ordinaryShare()) : maxBuffers;
    }

    private int ordinaryShare() {
        return Math.max(MAX_ORDINARY_BUFFERS, maxBuffers / ORDINARY_SHARE_DIVISOR);
    }

    /** Releases the buffers of a message of this length in bytes, complete or not, and what it had reserved. */
    public synchronized void release(List<byte[]> parts, int length) {
        ordinaryInUse -= Math.min(parts.size(), MAX_ORDINARY_BUFFERS);
        if (parts.size() > MAX_ORDINARY_BUFFERS) {
            reserved -= reservation(length);
        }
        parts.forEach(free::put);
        notifyAll();
    }

    private void awaitRelease(long ms) {
        try {
            wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
