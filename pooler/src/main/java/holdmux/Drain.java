package holdmux;

import holdmux.core.Clock;
import holdmux.core.Front;

/**
 * The shutdown sequence after SIGTERM. The process keeps accepting clients for a while and serves its open connections for
 * as long as it may run, since their clients would not reach another pooler sooner. Every request gets its final answer
 * some time before SIGKILL may come. The process does not exit while a client connection is open: an exit would lose
 * requests that were accepted but not answered, which is acceptable only under SIGKILL.
 */
final class Drain {
    /** Clients may still be directed to this process for up to 0.4 s after SIGTERM; the rest is margin for a busy core. */
    private static final long KEEP_ACCEPTING_MS = 600;
    /** SIGKILL may come this long after SIGTERM plus the longest request deadline, of which at most 3 s count. */
    private static final long KILL_AFTER_DEADLINE_MS = 700, MAX_DEADLINE_MS = 3_000;
    /** Final answers are issued this long before SIGKILL: they still pass through threads that share a fraction of a core. */
    private static final long ANSWER_MARGIN_MS = 300;
    /** Idle connections are closed from this long before the final answers on: time enough for an ordinary answer. */
    private static final long IDLE_CLOSE_LEAD_MS = 200;
    /** A client that does not read its answer is disconnected 5 s after the answer began; if no SIGKILL comes, the drain waits for that. */
    private static final long STUCK_CLIENT_MS = 6_000;
    /** How often the drain checks whether clients are still connected. */
    private static final long POLL_INTERVAL_MS = 20;

    /** Measures the time since SIGTERM. */
    interface Timer {
        long elapsedMs();

        void sleep(long ms) throws InterruptedException;
    }

    private Drain() {}

    /**
     * Runs the drain. Returns when no client connection is open, or when one is still stuck long after SIGKILL was due.
     *
     * @param answerOpenRequests gives each open request its final answer
     * @param handover           whether another process of this pooler takes over the clients
     * @param maxDeadlineMs      the longest deadline of any request class
     */
    static void run(Front front, Runnable answerOpenRequests, boolean handover, long maxDeadlineMs, Timer timer)
            throws InterruptedException {
        long killMs = KILL_AFTER_DEADLINE_MS + Math.min(MAX_DEADLINE_MS, maxDeadlineMs);
        long finalAnswerMs = killMs - ANSWER_MARGIN_MS;
        front.announceShutdown(finalAnswerMs * Clock.MS);
        if (handover) {
            front.handOver();
        } else {
            timer.sleep(KEEP_ACCEPTING_MS);
        }
        front.stopAccepting();
        for (long elapsedMs = timer.elapsedMs(); front.openClients() > 0 && elapsedMs < killMs + STUCK_CLIENT_MS;
                elapsedMs = timer.elapsedMs()) {
            if (elapsedMs >= finalAnswerMs - IDLE_CLOSE_LEAD_MS) {
                front.closeWhenIdle();
            }
            if (elapsedMs >= finalAnswerMs) {
                answerOpenRequests.run(); // repeated: a request may have been read just before its connection was to be closed
            }
            timer.sleep(POLL_INTERVAL_MS);
        }
    }
}
