package holdmux.discovery;

import holdmux.core.Clock;

/**
 * Tracks whether the list in force may be regarded as current. It is not before discovery has confirmed it, nor for long after
 * an unreadable answer, since the changes in that answer count as delivered. Times are those of {@link System#nanoTime} and are
 * passed in.
 */
final class ListTrust {
    /**
     * How long the list stays trusted after an unreadable answer. The changes in that answer must be in effect 2 s after it was
     * written; the rest is a margin for sends that are delayed.
     */
    private static final long TRUST_PERIOD_NS = 1_200 * Clock.MS;

    private boolean trusted;
    /**
     * Whether there was an unreadable answer and no readable one that was requested later; the time of the first such answer, and
     * the number of the last query made before the latest.
     */
    private boolean hasUnreadable;
    private long unreadableSince;
    private long lastUnreadableQuery;

    /** Whether the list is regarded as current. */
    boolean isTrusted() {
        return trusted;
    }

    /** An answer, or a part of one, could not be read or applied; {@code lastQuery} is the number of the last query so far. */
    void markUnreadable(long lastQuery, long now) {
        unreadableSince = hasUnreadable ? unreadableSince : now;
        lastUnreadableQuery = lastQuery;
        hasUnreadable = true;
    }

    /** The answer to the query with this number could be read. */
    void markReadable(long query) {
        hasUnreadable &= query <= lastUnreadableQuery;
    }

    /** Starts to trust the list; returns false if it is trusted already, or cannot be yet because of an unreadable answer. */
    boolean tryTrust() {
        if (trusted || hasUnreadable) {
            return false;
        }
        trusted = true;
        return true;
    }

    /** Whether the list is still trusted after an unreadable answer, for {@link #remainingNs}. */
    boolean isAtRisk() {
        return trusted && hasUnreadable;
    }

    /** For how many nanoseconds a list at risk remains trusted; 0 or less once that time is over. */
    long remainingNs(long now) {
        return unreadableSince + TRUST_PERIOD_NS - now;
    }

    /** Stops trusting the list. */
    void distrust() {
        trusted = false;
    }
}
