package holdmux.discovery;

/**
 * Schedules requests for the whole list instead of the changes: soon after an answer that may have hidden a change, with
 * exponential backoff while the whole list itself has unreadable entries, and regularly in any case, so that a change which an
 * agent never repeats is applied after a minute at the latest. Times are passed in, in milliseconds.
 */
final class WholeListSchedule {
    /** The longest time between two whole lists, and how much of it is cut at random, so that poolers do not ask in step. */
    private static final long INTERVAL_MS = 60_000, JITTER_MS = 15_000;
    /** The least time between two whole lists when changes may be missing. */
    private static final long MIN_INTERVAL_MS = 250;
    /** The first and the longest delay after a whole list with unreadable entries; it doubles with each such list. */
    private static final long FAULTY_INITIAL_MS = 500, FAULTY_MAX_MS = 30_000;

    private final long intervalMs;
    private long lastAppliedAt;
    private long dueAt;
    private long faultyWaitMs = FAULTY_INITIAL_MS;

    /** {@code jitter}: a random number from 0 to 1. */
    WholeListSchedule(double jitter, long nowMs) {
        intervalMs = INTERVAL_MS - (long) (jitter * JITTER_MS);
        lastAppliedAt = nowMs - MIN_INTERVAL_MS;
        dueAt = nowMs + intervalMs;
    }

    /** Whether the whole list has to be requested now. */
    boolean isDue(long nowMs) {
        return nowMs >= dueAt;
    }

    /** Records that the whole list is being requested. */
    void requested(long nowMs) {
        dueAt = nowMs + intervalMs;
    }

    /** Has the whole list requested soon, because an answer may have hidden a change. */
    void requestSoon(long nowMs) {
        dueAt = Math.min(dueAt, Math.max(nowMs, lastAppliedAt + MIN_INTERVAL_MS));
    }

    /** Records that a whole list was applied; {@code faulty}: it has entries that cannot be read. */
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
