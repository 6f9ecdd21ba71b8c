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

    private long now, endAfterAt, stoppedAcceptingAt, gaveUpAt = NEVER, connectionClosedAt = NEVER;

    /** When the process ends whose client has its answer at a time or, if it heeds that, once it is given up. */
    private long drainUntil(long maxDeadlineMs, long answeredAt, boolean endsOnGiveUp) throws InterruptedException {
        return drainUntil(maxDeadlineMs, answeredAt, endsOnGiveUp, NEVER);
    }

    /** {@code closedAt}: when its connection has ended by itself. */
    private long drainUntil(long maxDeadlineMs, long answeredAt, boolean endsOnGiveUp, long closedAt) throws InterruptedException {
        now = 0;
        gaveUpAt = NEVER;
        connectionClosedAt = closedAt;
        Front front = (Front) Proxy.newProxyInstance(Front.class.getClassLoader(), new Class<?>[] {Front.class},
                (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "endAfter" -> endAfterAt = now + (long) args[0] / Clock.MS;
                        case "stopAccepting" -> stoppedAcceptingAt = now;
                        case "closeWhenIdle" -> connectionClosedAt = Math.min(connectionClosedAt, now);
                        default -> {
                            boolean answered = now > Math.min(answeredAt, endsOnGiveUp ? gaveUpAt : NEVER);
                            return answered && connectionClosedAt <= now ? 0 : 1;
                        }
                    }
                    return null;
                });
        Drain.run(front, () -> gaveUpAt = Math.min(gaveUpAt, now), false, maxDeadlineMs, new Drain.Timer() {
            @Override
            public long elapsedMs() {
                return now;
            }

            @Override
            public void sleep(long ms) {
                now += ms;
            }
        });
        return now;
    }

    /** Guards against an exit with a request open: "ends with 6 clients" lost six, each waiting on a server that hung. */
    @Test
    void hungRequestsAreAnsweredBeforeSigkill() throws InterruptedException {
        for (long maxDeadlineMs : new long[] {200, 900, 3_000, 5_000}) {
            long end = drainUntil(maxDeadlineMs, NEVER, true);
            assertTrue(gaveUpAt <= Math.max(600, 500 + Math.min(3_000, maxDeadlineMs)), maxDeadlineMs + ": given up at " + gaveUpAt);
            assertTrue(endAfterAt <= gaveUpAt, "what is taken later must be answered by then");
            assertTrue(end > gaveUpAt, "it ended before the answer went out");
            assertEquals(600, stoppedAcceptingAt);
        }
    }

    /** A client that takes its answer slowly keeps the process, since SIGKILL excuses what an exit would lose, but not for ever. */
    @Test
    void drainWaitsForOpenClientsWithinALimit() throws InterruptedException {
        assertTrue(drainUntil(3_000, 4_500, false) >= 4_500);
        assertTrue(drainUntil(3_000, NEVER, false) < 15_000);
    }

    @Test
    void drainEndsAfterAcceptingWhenNoClientIsOpen() throws InterruptedException {
        assertEquals(600, drainUntil(3_000, -1, false, 0));
    }
}
