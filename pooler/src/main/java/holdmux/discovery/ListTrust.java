package holdmux.discovery;

import holdmux.core.Clock;

/**
 * Whether the list in force may be taken for the present one: not before discovery has confirmed it, and not long behind an
 * answer that could not be read, since what that had to tell counts as told. Times are of {@link System#nanoTime} and are
 * handed in.
 */
final class ListTrust {
    /** How long the list is trusted behind an unreadable answer. That binds 2 s after it was written; sends may be held up. */
    private static final long TRUSTED_FOR_NS = 1_200 * Clock.MS;

    private boolean trusted;
    /** Whether an answer could not be read with no readable one asked for since, since when, and the last query by then. */
    private boolean unread;
    private long unreadSince;
    private long unreadQuery;

    boolean isTrusted() {
        return trusted;
    }

    /** An answer, or a part of one, could not be read or taken in; {@code lastQuery} is the last query made so far. */
    void unreadable(long lastQuery, long now) {
        unreadSince = unread ? unreadSince : now;
        unreadQuery = lastQuery;
        unread = true;
    }

    /** The answer to this query could be read. */
    void readable(long query) {
        unread &= query <= unreadQuery;
    }

    /** Trusts the list again, or for the first time; false where it was trusted, or may not be yet. */
    boolean trust() {
        if (trusted || unread) {
            return false;
        }
        trusted = true;
        return true;
    }

    /** Whether the list is still trusted behind an unreadable answer, for {@link #leftNs} more. */
    boolean isAtRisk() {
        return trusted && unread;
    }

    /** How long a list at risk is trusted further, in nanoseconds; 0 or less once that is over. */
    long leftNs(long now) {
        return unreadSince + TRUSTED_FOR_NS - now;
    }

    /** Ends the trust. */
    void distrust() {
        trusted = false;
    }
}
