package holdmux.app.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * The times at which the driver, whose process also runs the servers, was itself late because the machine had no CPU time for it. They
 * are named with a violation and excuse none. Reads no clock: all times are {@link System#nanoTime} values of the driver.
 */
final class DriverDelays {
    /** Shorter delays are those of an ordinary scheduler and are not recorded. */
    static final long MIN_DELAY_NS = 20_000_000L;

    /** A thread that was due at {@code dueAt} ran at {@code ranAt}. */
    private record Delay(long dueAt, long ranAt) {}

    private final List<Delay> delays = new ArrayList<>();

    /** Records that a thread that was due at one time ran at the other, unless it was late by less than {@link #MIN_DELAY_NS}. */
    synchronized void add(long dueAt, long ranAt) {
        if (ranAt - dueAt >= MIN_DELAY_NS) {
            delays.add(new Delay(dueAt, ranAt));
        }
    }

    /** Returns the longest delay, in ns, that overlaps the period; 0 if there is none. */
    synchronized long longestBetween(long from, long until) {
        return delays.stream().filter(delay -> delay.dueAt() <= until && delay.ranAt() >= from)
                .mapToLong(delay -> delay.ranAt() - delay.dueAt()).max().orElse(0);
    }
}
