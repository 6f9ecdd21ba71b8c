package holdmux.discovery;

/**
 * When the whole list is asked for instead of what changed: soon after an answer that may have hidden a change, ever later
 * while the whole list itself has entries that cannot be read, and in any case from time to time. So a change that an agent
 * never told again is in force after a minute at the latest. No clock: times are handed in, in milliseconds.
 */
final class WholeListSchedule {
    /** The longest time between two whole lists; each pooler adds a part of its own, so that not all ask at one moment. */
    private static final long REGULAR_MS = 60_000, SPREAD_MS = 15_000;
    /** Between two whole lists asked for in doubt. */
    private static final long LEAST_GAP_MS = 250;
    /** The first wait for a whole list that had entries which cannot be read, and the longest: it is doubled each time. */
    private static final long FAULTY_FIRST_MS = 500, FAULTY_LONGEST_MS = 30_000;

    private final long regularMs;
    private long lastAt;
    private long dueAt;
    private long faultyWaitMs = FAULTY_FIRST_MS;

    /** {@code spread}: a number from 0 to 1 of this process's own. */
    WholeListSchedule(double spread, long nowMs) {
        regularMs = REGULAR_MS - (long) (spread * SPREAD_MS);
        lastAt = nowMs - LEAST_GAP_MS;
        dueAt = nowMs + regularMs;
    }

    boolean isDue(long nowMs) {
        return nowMs >= dueAt;
    }

    /** The whole list is being asked for. */
    void asked(long nowMs) {
        dueAt = nowMs + regularMs;
    }

    /** An answer may have hidden a change. */
    void doubted(long nowMs) {
        dueAt = Math.min(dueAt, Math.max(nowMs, lastAt + LEAST_GAP_MS));
    }

    /** A whole list was taken in; {@code faulty}: it has entries that cannot be read. */
    void taken(boolean faulty, long nowMs) {
        lastAt = nowMs;
        if (faulty) {
            dueAt = nowMs + faultyWaitMs;
            faultyWaitMs = Math.min(2 * faultyWaitMs, FAULTY_LONGEST_MS);
        } else {
            dueAt = nowMs + regularMs;
            faultyWaitMs = FAULTY_FIRST_MS;
        }
    }
}
