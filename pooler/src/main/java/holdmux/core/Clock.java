package holdmux.core;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The program's clock: Unix time in nanoseconds, anchored once to the wall clock and monotonic from then on. Positions on
 * the wire are Unix milliseconds, so both have the same epoch.
 */
public final class Clock {
    /** Nanoseconds in a millisecond. */
    public static final long MS = 1_000_000L;

    /** Attempts to read both clocks at the same moment: a stall between the readings at a busy start would be a lasting error. */
    private static final int ANCHOR_ATTEMPTS = 8;

    private final LongSupplier monotonic;
    private final long offset;

    /** Creates a clock anchored to the system's wall clock. */
    public Clock() {
        this(Clock::wall, System::nanoTime);
    }

    /**
     * Anchors the clock at the pair of readings with the smallest gap, and at the earlier of the two monotonic readings.
     * The rest of the gap can only make this clock run ahead, so that data look older; if it ran behind, a replica would
     * look fresher than it is.
     */
    public Clock(LongSupplier wall, LongSupplier monotonic) {
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

    /** Converts nanoseconds to milliseconds, rounded up so that a wait given in them is never too short. */
    public static long ceilMillis(long ns) {
        return (ns + MS - 1) / MS;
    }

    /** Returns the Unix time in nanoseconds. */
    public long now() {
        return monotonic.getAsLong() + offset;
    }
}
