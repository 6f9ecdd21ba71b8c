package holdmux.core;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The one clock of the program: Unix time in nanoseconds, anchored once to the wall clock and monotonic from then
 * on. Positions on sockets are Unix milliseconds, so both compare without conversion of the zero point.
 */
public final class Clock {
    public static final long MS = 1_000_000L;

    /** Tries at reading both clocks at one moment; a start is busy, and a stall between the two readings stays for good. */
    private static final int ANCHOR_ATTEMPTS = 8;

    private final LongSupplier monotonic;
    private final long offset;

    public Clock() {
        this(Clock::wall, System::nanoTime);
    }

    /**
     * Anchored by the readings that lay closest together, and to the earlier of the steady ones: what is left of the gap
     * makes this clock run ahead, where data look older, never behind, where a replica would look fresher than it is.
     */
    Clock(LongSupplier wall, LongSupplier monotonic) {
        this.monotonic = monotonic;
        long smallestGap = Long.MAX_VALUE;
        long bestOffset = 0;
        for (int i = 0; i < ANCHOR_ATTEMPTS; i++) {
            long before = monotonic.getAsLong();
            long wallTime = wall.getAsLong();
            long gap = monotonic.getAsLong() - before;
            bestOffset = gap < smallestGap ? wallTime - before : bestOffset;
            smallestGap = Math.min(smallestGap, gap);
        }
        offset = bestOffset;
    }

    private static long wall() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000 * MS + now.getNano();
    }

    /** Nanoseconds in whole milliseconds, rounded up so that a wait told in them is never shorter. */
    public static long ceilMillis(long ns) {
        return (ns + MS - 1) / MS;
    }

    /** Unix time in nanoseconds. */
    public long now() {
        return monotonic.getAsLong() + offset;
    }
}
