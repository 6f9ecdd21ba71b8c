package holdmux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Front;
import java.lang.reflect.Proxy;
import org.junit.jupiter.api.Test;

/** The end of a process, with a front of one client that is played and time passed in, in milliseconds since SIGTERM. */
class DrainTest {
    private static final long NEVER = Long.MAX_VALUE;

    private long now, endsAt, stoppedAt, gaveUpAt = NEVER, closesAt = NEVER;

    /** When the process ends whose client has its answer at a time or, if it heeds that, once it is given up. */
    private long end(long longestMs, long answeredAt, boolean heeds) throws InterruptedException {
        return end(longestMs, answeredAt, heeds, NEVER);
    }

    /** {@code closedAt}: when its connection has ended by itself. */
    private long end(long longestMs, long answeredAt, boolean heeds, long closedAt) throws InterruptedException {
        now = 0;
        gaveUpAt = NEVER;
        closesAt = closedAt;
        Front front = (Front) Proxy.newProxyInstance(Front.class.getClassLoader(), new Class<?>[] {Front.class},
                (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "endAfter" -> endsAt = now + (long) args[0] / Clock.MS;
                        case "stopAccepting" -> stoppedAt = now;
                        case "closeWhenIdle" -> closesAt = Math.min(closesAt, now);
                        default -> {
                            boolean answered = now > Math.min(answeredAt, heeds ? gaveUpAt : NEVER);
                            return answered && closesAt <= now ? 0 : 1;
                        }
                    }
                    return null;
                });
        Drain.run(front, () -> gaveUpAt = Math.min(gaveUpAt, now), false, longestMs, new Drain.Time() {
            @Override
            public long passedMs() {
                return now;
            }

            @Override
            public void pause(long ms) {
                now += ms;
            }
        });
        return now;
    }

    /** Guards against an exit with a request open: "ends with 6 clients" lost six, each waiting on a server that hung. */
    @Test
    void whatHangsIsGivenUpBeforeTheKill() throws InterruptedException {
        for (long longest : new long[] {200, 900, 3_000, 5_000}) {
            long end = end(longest, NEVER, true);
            assertTrue(gaveUpAt <= Math.max(600, 500 + Math.min(3_000, longest)), longest + ": given up at " + gaveUpAt);
            assertTrue(endsAt <= gaveUpAt, "what is taken later must be answered by then");
            assertTrue(end > gaveUpAt, "it ended before the answer went out");
            assertEquals(600, stoppedAt);
        }
    }

    /** A client that takes its answer slowly keeps the process, since SIGKILL excuses what an exit would lose, but not for ever. */
    @Test
    void theProcessDoesNotEndWithAClientOpen() throws InterruptedException {
        assertTrue(end(3_000, 4_500, false) >= 4_500);
        assertTrue(end(3_000, NEVER, false) < 15_000);
    }

    @Test
    void itEndsAtOnceWhenNobodyIsLeft() throws InterruptedException {
        assertEquals(600, end(3_000, -1, false, 0));
    }
}
