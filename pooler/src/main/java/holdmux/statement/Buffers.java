package holdmux.statement;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Buffers of one size, used again, and no more of them at once than a budget allows. The size holds the answer with a
 * value of 64 KiB whole; longer messages take several or pass through in pieces. A buffer is held while a message
 * passes, not between.
 */
public final class Buffers {
    public static final int SIZE = 72 * 1024;
    /** However little memory is told, this many messages can pass; and the part in 100 of all that one may take. */
    private static final int LEAST = 8, LONGEST_PART = 75;
    /** Waiting longer than this for a buffer helps no answer: the tightest aim of a class is some 300 ms. */
    private static final long WAIT_MS = 100;
    /** Kept while nobody needs them; beyond that they go, so that a wave of long values does not stay for good. */
    private static final int KEPT = 32;
    /** How often a reader that waits looks whether its client is still there. */
    private static final long LOOK_MS = 50;

    /** No buffer was to be had in time; says nothing of any peer. */
    public static final class NoneFree extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private final ArrayDeque<byte[]> free = new ArrayDeque<>();
    private final int most;
    /** The longest message there may be, in buffers. */
    private final int longest;
    /** Whether another process of this pooler has a share of the budget now. */
    private final BooleanSupplier halved;
    private int held;
    /** The reader of a long message that may take from the part kept back, and how many of these readers wait. */
    private Object favoured;

    /** As many as these bytes have room for; the longest message must leave some of them to others. */
    public Buffers(int bytes, int longestMessage, BooleanSupplier halved) {
        most = Math.max(LEAST, bytes / SIZE);
        longest = Math.min((longestMessage + SIZE - 1) / SIZE, most * LONGEST_PART / 100);
        this.halved = halved;
    }

    private int budget() {
        return halved.getAsBoolean() ? Math.max(most / 2, longest + 1) : most;
    }

    /** Waits a short while for a buffer. */
    public synchronized byte[] take() throws NoneFree {
        long by = System.nanoTime() + WAIT_MS * 1_000_000L;
        for (long left = WAIT_MS; held >= budget() && left > 0;
                left = (by - System.nanoTime()) / 1_000_000L) {
            pause(left);
        }
        if (held >= budget()) {
            throw new NoneFree();
        }
        return next();
    }

    /**
     * One more buffer for a long message that is being read; waits until the budget has one, unless the client is gone.
     * Part of the budget, enough for the longest message, is kept for one reader at a time until its message is whole,
     * so that each comes to its end however many have begun.
     */
    public synchronized byte[] takeFor(Object reader, BooleanSupplier gone) throws IOException {
        while (true) {
            if (held < budget() - longest) {
                return next();
            }
            favoured = favoured == null ? reader : favoured;
            if (favoured == reader && held < budget()) {
                return next();
            }
            if (gone.getAsBoolean()) {
                throw new IOException("the client left while its message waited for room");
            }
            pause(LOOK_MS);
        }
    }

    /** The message of this reader is whole, or will never be. */
    public synchronized void wholeFor(Object reader) {
        if (favoured == reader) {
            favoured = null;
            notifyAll();
        }
    }

    /** The longest message that the budget has room for, in bytes. */
    public int longest() {
        return longest * SIZE;
    }

    private byte[] next() {
        held++;
        byte[] buffer = free.poll();
        return buffer != null ? buffer : new byte[SIZE];
    }

    private void pause(long ms) {
        try {
            wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public synchronized void give(byte[] buffer) {
        held--;
        if (free.size() < KEPT) {
            free.push(buffer);
        }
        notifyAll();
    }
}
