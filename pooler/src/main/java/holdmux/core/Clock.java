package holdmux.core;

/**
 * The one clock of the program: Unix time in nanoseconds, anchored once to the wall clock and monotonic from then
 * on. Positions on sockets are Unix milliseconds, so both compare without conversion of the zero point.
 */
public final class Clock {
    public static final long MS = 1_000_000L;

    private final long offset;

    public Clock() {
        java.time.Instant wall = java.time.Instant.now();
        offset = wall.getEpochSecond() * 1_000 * MS + wall.getNano() - System.nanoTime();
    }

    /** Nanoseconds in whole milliseconds, rounded up so that a wait told in them is never shorter. */
    public static long millisUp(long ns) {
        return (ns + MS - 1) / MS;
    }

    public long now() {
        return System.nanoTime() + offset;
    }
}
