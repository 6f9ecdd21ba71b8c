package holdmux.discovery;

import java.util.SplittableRandom;

/**
 * When a call to discovery counts as overdue and when the next one is made. An overdue call is listened to further, so that
 * an answer which takes longer is not lost.
 *
 * @param holdMs how long a call waits at discovery for news; short, since it bounds what a watch that fell silent can hide
 * @param firstHoldMs the hold of a call that begins a watch
 * @param unheldFrom failures in a row from which a call is not held at all: calls that wait may be what fails
 * @param silenceMs silence beyond the hold that shows a dead call, a slow connect included
 * @param firstTurnMs how long the first call may take, which may wait its turn at a discovery short of room
 * @param againTurnMs how long a call behind a failure may take
 * @param againMs the pause after the first failure, twice as long each time, half of it more or less by chance
 * @param longestAgainMs the longest such pause
 */
record CallSchedule(int holdMs, int firstHoldMs, int noHoldAfterFailures, int silenceTimeoutMs, int firstCallTimeoutMs, int retryTimeoutMs,
        int initialBackoffMs, int maxBackoffMs) {
    /**
     * Where an agent on this machine is told of changes and answers at once. What it has counts as told at once, and binds
     * 2 s later, also at the end of a silence: a call of which nothing comes is seen, another one made and answered within
     * that time, twice over (0.8 s for a watch that falls silent, 0.5 s and a pause of 0.15 to 0.3 s for each call after it).
     */
    static final CallSchedule PUSHED = new CallSchedule(400, 400, 1, 400, 800, 500, 50, 200);

    /**
     * Where discovery tells changes only when it is asked. A change counts as told when it was written, at the latest 6 s
     * after discovery had it and could be reached: two calls may be silent, the third is answered within 5.6 s.
     */
    static final CallSchedule SUBSCRIBED = new CallSchedule(2_000, 500, 2, 800, 2_800, 1_600, 100, 500);

    private static final int MAX_DOUBLINGS = 16;

    /** The schedule for a deployment whose lists have to be asked for, or are pushed to the agents. */
    static CallSchedule of(boolean mustSubscribe) {
        return mustSubscribe ? SUBSCRIBED : PUSHED;
    }

    /** How long discovery is asked to wait for news; {@code begins}: the call begins a watch. */
    int holdMs(boolean startsWatch, int failures) {
        if (failures >= noHoldAfterFailures) {
            return 0;
        }
        return startsWatch ? firstHoldMs : holdMs;
    }

    /** How long a call may take before another one is made beside it; {@code begins}: the call begins a watch. */
    int timeoutMs(boolean startsWatch, int failures) {
        if (!startsWatch) {
            return holdMs + silenceTimeoutMs;
        }
        return failures == 0 ? firstCallTimeoutMs : retryTimeoutMs;
    }

    /** The pause before the call that follows this many failures in a row. */
    long backoffMs(int failures, SplittableRandom random) {
        long baseMs = Math.min(maxBackoffMs, (long) initialBackoffMs << Math.min(failures, MAX_DOUBLINGS));
        return baseMs / 2 + random.nextLong(baseMs);
    }
}
