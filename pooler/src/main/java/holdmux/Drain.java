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
    private static final long ACCEPT_MS = 600;
    /** SIGKILL may come this long after SIGTERM and the longest deadline, of which no more than 3 s count. */
    private static final long KILL_MS = 700, LONGEST_MS = 3_000;
    /** Final answers are given this long before SIGKILL: they still pass through threads of a small share of a core. */
    private static final long ANSWER_MS = 300;
    /** Before that connections at rest are closed: time enough for an answer of the usual kind. */
    private static final long CLOSE_MS = 200;
    /** A client that does not take its answer is cut off 5 s after it began; where no SIGKILL comes, that is waited for. */
    private static final long STUCK_MS = 6_000;
    private static final long LOOK_MS = 20;

    /** The time that has passed since SIGTERM. */
    interface Time {
        long passedMs();

        void pause(long ms) throws InterruptedException;
    }

    private Drain() {}

    /**
     * Returns when no client's connection is open, or where one is stuck long after SIGKILL was due.
     *
     * @param giveUpAll gives each open request its final answer
     * @param handsOver whether another process of this pooler takes the clients
     * @param longestMs the longest deadline of a class
     */
    static void run(Front fronts, Runnable giveUpAll, boolean handsOver, long longestMs, Time time)
            throws InterruptedException {
        long kill = KILL_MS + Math.min(LONGEST_MS, longestMs);
        long answered = kill - ANSWER_MS;
        fronts.endAfter(answered * Clock.MS);
        if (handsOver) {
            fronts.handOver();
        } else {
            time.pause(ACCEPT_MS);
        }
        fronts.stopAccepting();
        for (long past = time.passedMs(); fronts.openClients() > 0 && past < kill + STUCK_MS; past = time.passedMs()) {
            if (past >= answered - CLOSE_MS) {
                fronts.closeWhenIdle();
            }
            if (past >= answered) {
                giveUpAll.run(); // time and again: one may have been read just before its connection was to end
            }
            time.pause(LOOK_MS);
        }
    }
}
