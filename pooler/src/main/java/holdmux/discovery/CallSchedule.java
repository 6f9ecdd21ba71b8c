package holdmux.discovery;

import java.util.SplittableRandom;

/**
 * When a call to discovery counts as overdue and when the next one is made. Whatever became of earlier calls, a change
 * counts as told 6 s after discovery had it and could be reached. Two calls in a row may be silent, accepted and never
 * answered or cut in half, each with its pause and a slow connect: the third is answered within that, since these figures
 * add up to 5.6 s at most. An overdue call is listened to further, so that an answer which takes longer is not lost.
 */
final class CallSchedule {
    /** How long one call waits at discovery. Short: what a lost call had to tell counts as told 2 s after this. */
    private static final int HOLD_MS = 2_000;
    /** The hold of a call that begins a watch: a new process is not ready before it has been told. */
    private static final int FIRST_HOLD_MS = 500;
    /** Failures in a row from which a call is not held at all: calls that wait may be what fails. */
    private static final int UNHELD_FROM = 2;
    /** Allowed for the connect, beside the rest of a call. */
    static final int CONNECT_MS = 300;

    /** Silence beyond the hold that shows a dead call: the agent is on this machine and answers at once. */
    private static final int SILENCE_MS = 500;
    /** A call that begins a watch. A process's first one may wait its turn at discovery, which is short of room when most
     * poolers start; one behind a call that failed may not, by the 6 s. */
    private static final int TURN_MS = 2_500, AGAIN_TURN_MS = 1_300;
    /** Between failed calls, twice as long each time up to the longest, half of it more or less by chance. What discovery
     * has at its return counts as told at once, and drains are kept 2 s later: the longest is well within that. */
    private static final int AGAIN_MS = 100, AGAIN_LONGEST_MS = 500;
    private static final int MOST_DOUBLINGS = 16;

    private CallSchedule() {}

    /** How long discovery is asked to wait for news before it answers. */
    static int holdMs(boolean begins, int failures) {
        if (failures >= UNHELD_FROM) {
            return 0;
        }
        return begins ? FIRST_HOLD_MS : HOLD_MS;
    }

    /** How long a call may take before another one is made beside it; {@code begins}: one that begins a watch. */
    static int patienceMs(boolean begins, int failures) {
        if (!begins) {
            return HOLD_MS + SILENCE_MS;
        }
        return failures == 0 ? TURN_MS : AGAIN_TURN_MS;
    }

    /** The pause before the call that follows this many failures in a row. */
    static long pauseMs(int failures, SplittableRandom random) {
        long longest = Math.min(AGAIN_LONGEST_MS, (long) AGAIN_MS << Math.min(failures, MOST_DOUBLINGS));
        return longest / 2 + random.nextLong(longest);
    }
}
