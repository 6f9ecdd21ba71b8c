package holdmux.discovery;

import holdmux.core.Clock;

/**
 * Whether the list in force may be taken for the present one: not before discovery has confirmed it, and not long behind an
 * answer that could not be read, since what that had to tell counts as told. Times are of {@link System#nanoTime} and are
 * handed in.
 */
final class ListTrust {
    /** How long the list is trusted behind an unreadable answer. That binds 2 s after it was written; sends may be held up. */
    private static final long TRUST_PERIOD_NS = 1_200 * Clock.MS;

    private boolean trusted;
    /** Whether an answer could not be read with no readable one asked for since, since when, and the last query by then. */
    private boolean hasUnreadable;
    private long unreadableSince;
    private long lastUnreadableQuery;

    boolean isTrusted() {
        return trusted;
    }

    /** An answer, or a part of one, could not be read or taken in; {@code lastQuery} is the last query made so far. */
    void markUnreadable(long lastQuery, long now) {
        unreadableSince = hasUnreadable ? unreadableSince : now;
        lastUnreadableQuery = lastQuery;
        hasUnreadable = true;
    }

    /** The answer to this query could be read. */
    void markReadable(long query) {
        hasUnreadable &= query <= lastUnreadableQuery;
    }

    /** Trusts the list again, or for the first time; false where it was trusted, or may not be yet. */
    boolean tryTrust() {
        if (trusted || hasUnreadable) {
            return false;
        }
        trusted = true;
        return true;
    }

    /** Whether the list is still trusted behind an unreadable answer, for {@link #remainingNs} more. */
    boolean isAtRisk() {
        return trusted && hasUnreadable;
    }

    /** How long a list at risk is trusted further, in nanoseconds; 0 or less once that is over. */
    long remainingNs(long now) {
        return unreadableSince + TRUST_PERIOD_NS - now;
    }

    /** Ends the trust. */
    void distrust() {
        trusted = false;
    }
}
