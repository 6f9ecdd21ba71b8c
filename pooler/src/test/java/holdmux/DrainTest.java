package holdmux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Front;
import java.lang.reflect.Proxy;
import org.junit.jupiter.api.Test;

/** The drain with a simulated front of one client and a simulated clock, in milliseconds since SIGTERM. */
class DrainTest {
    private static final long NEVER = Long.MAX_VALUE;

    private long now, shutdownAt, stoppedAcceptingAt, gaveUpAt = NEVER, connectionClosedAt = NEVER;

    /**
     * Drains, and returns when the drain ended. The client is answered at {@code answeredAt} or, with {@code endsOnGiveUp},
     * once its request is given up.
     */
    private long drainUntil(long maxDeadlineMs, long answeredAt, boolean endsOnGiveUp) throws InterruptedException {
        return drainUntil(maxDeadlineMs, answeredAt, endsOnGiveUp, NEVER);
    }

    /** {@code closedAt}: when the client closes its connection by itself. */
    private long drainUntil(long maxDeadlineMs, long answeredAt, boolean endsOnGiveUp, long closedAt) throws InterruptedException {
        now = 0;
        gaveUpAt = NEVER;
        connectionClosedAt = closedAt;
        Front front = (Front) Proxy.newProxyInstance(Front.class.getClassLoader(), new Class<?>[] {Front.class},
                (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "announceShutdown" -> shutdownAt = now + (long) args[0] / Clock.MS;
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

    /** Guards against an exit with open requests: a process that ended with 6 clients, each waiting on a hung server, lost all six. */
    @Test
    void hungRequestsAreAnsweredBeforeSigkill() throws InterruptedException {
        for (long maxDeadlineMs : new long[] {200, 900, 3_000, 5_000}) {
            long end = drainUntil(maxDeadlineMs, NEVER, true);
            assertTrue(gaveUpAt <= Math.max(600, 500 + Math.min(3_000, maxDeadlineMs)), maxDeadlineMs + ": final answer at " + gaveUpAt);
            assertTrue(shutdownAt <= gaveUpAt, "requests taken later must be answered by then");
            assertTrue(end > gaveUpAt, "the drain ended before the answer was sent");
            assertEquals(600, stoppedAcceptingAt);
        }
    }

    /** A client that reads its answer slowly keeps the process alive, since only SIGKILL may lose the answer, but not forever. */
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
