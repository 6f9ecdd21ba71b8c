package holdmux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Front;
import org.junit.jupiter.api.Test;

/** The end of a process, with a front that is played and time passed in. */
class DrainTest {
    private static final long NEVER = Long.MAX_VALUE;

    /** A front with one client, whose request is answered at a time, or once it is given up. */
    private static class OneClient implements Front, Drain.Time {
        final long answeredAt;
        long now, endsAt = NEVER, stoppedAt = NEVER, gaveUpAt = NEVER, closesAt = NEVER;

        OneClient(long answeredAt) {
            this.answeredAt = answeredAt;
        }

        @Override
        public long passedMs() {
            return now;
        }

        @Override
        public void pause(long ms) {
            now += ms;
        }

        void giveUp() {
            gaveUpAt = Math.min(gaveUpAt, now);
        }

        @Override
        public void listen() { }

        @Override
        public boolean isServing() {
            return true;
        }

        @Override
        public void sendAway(boolean yes) { }

        @Override
        public void endAfter(long afterNs) {
            endsAt = now + afterNs / Clock.MS;
        }

        @Override
        public void handOver() { }

        @Override
        public void stopAccepting() {
            stoppedAt = now;
        }

        @Override
        public void closeWhenIdle() {
            closesAt = Math.min(closesAt, now);
        }

        @Override
        public int openClients() {
            boolean answered = now > Math.min(answeredAt, gaveUpAt) && closesAt <= now;
            return answered ? 0 : 1;
        }

        /** When the process ended, in milliseconds since SIGTERM. */
        long endOf(long longestMs) throws InterruptedException {
            Drain.run(this, this::giveUp, false, longestMs, this);
            return now;
        }
    }

    /**
     * Guards against an exit with a request open: "ends with 6 clients" lost six, each waiting on a server that hung. It
     * has its answer well before SIGKILL may come, 0.7 s and the longest deadline after SIGTERM.
     */
    @Test
    void whatHangsIsGivenUpBeforeTheKill() throws InterruptedException {
        for (long longest : new long[] {200, 900, 3_000, 5_000}) {
            long kill = 700 + Math.min(3_000, longest);
            OneClient front = new OneClient(NEVER);
            long end = front.endOf(longest);
            assertTrue(front.gaveUpAt <= Math.max(600, kill - 200), longest + ": given up at " + front.gaveUpAt);
            assertTrue(front.endsAt <= front.gaveUpAt, "what is taken later must be answered by then");
            assertTrue(end > front.gaveUpAt, "it ended before the answer went out");
            assertEquals(600, front.stoppedAt);
        }
    }

    /** A client that takes its answer slowly keeps the process: SIGKILL excuses what an exit of ours would lose. */
    @Test
    void theProcessDoesNotEndWithAClientOpen() throws InterruptedException {
        OneClient front = new OneClient(4_500) {
            @Override
            void giveUp() { }
        };
        assertTrue(front.endOf(3_000) >= 4_500);
    }

    /** An operator's SIGTERM, with no SIGKILL behind it, ends the process all the same. */
    @Test
    void aStuckClientDoesNotKeepItForEver() throws InterruptedException {
        OneClient front = new OneClient(NEVER) {
            @Override
            void giveUp() { }
        };
        assertTrue(front.endOf(3_000) < 15_000);
    }

    @Test
    void itEndsAtOnceWhenNobodyIsLeft() throws InterruptedException {
        OneClient front = new OneClient(0);
        front.closesAt = 0;
        assertEquals(600, front.endOf(3_000));
    }
}
