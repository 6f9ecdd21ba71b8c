package holdmux;

import holdmux.core.Clock;
import holdmux.core.Front;

/**
 * The end of a process that was told to end (SIGTERM). It goes on accepting for a while and serving the connections there
 * are for as long as it may live, since their clients would find no other pooler sooner. Every request has its final
 * answer some time before SIGKILL may come, and the process does not end while a client's connection is open: what it
 * had taken and not answered would be lost with it, where SIGKILL excuses what is older.
 */
final class Drain {
    /** After SIGTERM new connections keep coming for up to 0.4 s; the rest is margin for a busy core. */
    private static final long KEEP_ACCEPTING_MS = 600;
    /** SIGKILL may come this long after SIGTERM and the longest deadline, of which no more than 3 s count. */
    private static final long KILL_AFTER_DEADLINE_MS = 700, MAX_DEADLINE_MS = 3_000;
    /** Final answers are given this long before SIGKILL: they still pass through threads of a small share of a core. */
    private static final long ANSWER_MARGIN_MS = 300;
    /** Before that connections at rest are closed: time enough for an answer of the usual kind. */
    private static final long IDLE_CLOSE_LEAD_MS = 200;
    /** A client that does not take its answer is cut off 5 s after it began; where no SIGKILL comes, that is waited for. */
    private static final long STUCK_CLIENT_MS = 6_000;
    private static final long POLL_INTERVAL_MS = 20;

    /** The time that has passed since SIGTERM. */
    interface Timer {
        long elapsedMs();

        void sleep(long ms) throws InterruptedException;
    }

    private Drain() {}

    /**
     * Returns when no client's connection is open, or where one is stuck long after SIGKILL was due.
     *
     * @param giveUpAll gives each open request its final answer
     * @param handsOver whether another process of this pooler takes the clients
     * @param longestMs the longest deadline of a class
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
        for (long elapsedMs = timer.elapsedMs(); front.openClients() > 0 && elapsedMs < killMs + STUCK_CLIENT_MS; elapsedMs = timer.elapsedMs()) {
            if (elapsedMs >= finalAnswerMs - IDLE_CLOSE_LEAD_MS) {
                front.closeWhenIdle();
            }
            if (elapsedMs >= finalAnswerMs) {
                answerOpenRequests.run(); // time and again: one may have been read just before its connection was to end
            }
            timer.sleep(POLL_INTERVAL_MS);
        }
    }
}
