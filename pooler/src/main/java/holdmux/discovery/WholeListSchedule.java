package holdmux.discovery;

/**
 * When the whole list is asked for instead of what changed: soon after an answer that may have hidden a change, ever later
 * while the whole list itself has entries that cannot be read, and in any case from time to time. So a change that an agent
 * never told again is in force after a minute at the latest. No clock: times are handed in, in milliseconds.
 */
final class WholeListSchedule {
    /** The longest time between two whole lists; each pooler adds a part of its own, so that not all ask at one moment. */
    private static final long INTERVAL_MS = 60_000, JITTER_MS = 15_000;
    /** Between two whole lists asked for in doubt. */
    private static final long MIN_INTERVAL_MS = 250;
    /** The first wait for a whole list that had entries which cannot be read, and the longest: it is doubled each time. */
    private static final long FAULTY_INITIAL_MS = 500, FAULTY_MAX_MS = 30_000;

    private final long intervalMs;
    private long lastAppliedAt;
    private long dueAt;
    private long faultyWaitMs = FAULTY_INITIAL_MS;

    /** {@code spread}: a number from 0 to 1 of this process's own. */
    WholeListSchedule(double jitter, long nowMs) {
        intervalMs = INTERVAL_MS - (long) (jitter * JITTER_MS);
        lastAppliedAt = nowMs - MIN_INTERVAL_MS;
        dueAt = nowMs + intervalMs;
    }

    boolean isDue(long nowMs) {
        return nowMs >= dueAt;
    }

    /** The whole list is being asked for. */
    void requested(long nowMs) {
        dueAt = nowMs + intervalMs;
    }

    /** An answer may have hidden a change. */
    void requestSoon(long nowMs) {
        dueAt = Math.min(dueAt, Math.max(nowMs, lastAppliedAt + MIN_INTERVAL_MS));
    }

    /** A whole list was taken in; {@code faulty}: it has entries that cannot be read. */
    void applied(boolean faulty, long nowMs) {
        lastAppliedAt = nowMs;
        if (faulty) {
            dueAt = nowMs + faultyWaitMs;
            faultyWaitMs = Math.min(2 * faultyWaitMs, FAULTY_MAX_MS);
        } else {
            dueAt = nowMs + intervalMs;
            faultyWaitMs = FAULTY_INITIAL_MS;
        }
    }
}
