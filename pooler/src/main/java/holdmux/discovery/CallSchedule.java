package holdmux.discovery;

import java.util.SplittableRandom;

/**
 * The time-outs, long-poll holds and retry backoff of calls to discovery. An overdue call is not closed: its connection is still
 * read, so that a late answer is not lost.
 *
 * @param holdMs how long discovery holds a call open while there are no changes; kept short because a watch that silently died
 *        hides changes for up to this time
 * @param firstHoldMs the hold of the call that starts a watch
 * @param noHoldAfterFailures consecutive failures from which calls ask for no hold, since held calls may be what fails
 * @param silenceTimeoutMs silence beyond the hold after which a call is overdue; includes a slow connect
 * @param firstCallTimeoutMs the time-out of the first call, which may be queued by an overloaded agent
 * @param retryTimeoutMs the time-out of a call that follows a failure
 * @param initialBackoffMs the base of the exponential backoff, doubled with each failure and randomised by half of it either way
 * @param maxBackoffMs the upper bound of that base
 */
record CallSchedule(int holdMs, int firstHoldMs, int noHoldAfterFailures, int silenceTimeoutMs, int firstCallTimeoutMs, int retryTimeoutMs,
        int initialBackoffMs, int maxBackoffMs) {
    /**
     * For lists that are pushed to an agent on this machine, which answers immediately. A change counts as delivered as soon as
     * the agent has it and must be in effect 2 s later, even if the agent was silent before. Two calls may therefore go unanswered
     * and be replaced within 2 s: a silent watch is overdue after 0.8 s and each call after it in 0.5 s, with a backoff of at most
     * 0.15 s and then 0.3 s between them.
     */
    static final CallSchedule PUSHED = new CallSchedule(400, 400, 1, 400, 800, 500, 50, 200);

    /**
     * For lists that have to be subscribed to. A change counts as delivered when it was written to the connection, but no later
     * than 6 s after discovery had it and was reachable. Two calls may go unanswered: the third is answered within 5.6 s.
     */
    static final CallSchedule SUBSCRIBED = new CallSchedule(2_000, 500, 2, 800, 2_800, 1_600, 100, 500);

    private static final int MAX_DOUBLINGS = 16;

    /** The schedule for lists that have to be subscribed to, or else are pushed to the agents. */
    static CallSchedule of(boolean mustSubscribe) {
        return mustSubscribe ? SUBSCRIBED : PUSHED;
    }

    /** The hold to ask discovery for after this many consecutive failures; {@code startsWatch}: the call starts a watch. */
    int holdMs(boolean startsWatch, int failures) {
        if (failures >= noHoldAfterFailures) {
            return 0;
        }
        return startsWatch ? firstHoldMs : holdMs;
    }

    /** The time after which another call is made beside this one; {@code startsWatch}: the call starts a watch. */
    int timeoutMs(boolean startsWatch, int failures) {
        if (!startsWatch) {
            return holdMs + silenceTimeoutMs;
        }
        return failures == 0 ? firstCallTimeoutMs : retryTimeoutMs;
    }

    /** The randomised backoff before the call that follows this many consecutive failures. */
    long backoffMs(int failures, SplittableRandom random) {
        long baseMs = Math.min(maxBackoffMs, (long) initialBackoffMs << Math.min(failures, MAX_DOUBLINGS));
        return baseMs / 2 + random.nextLong(baseMs);
    }
}
