package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClockTest {
    private long wall = 5_000 * Clock.MS;
    private int reads;

    /**
     * The anchor lasts as long as the process. Guards against a stall between the two clock readings making the clock run
     * behind permanently, so that a replica just older than a bound looks fresh enough.
     */
    @Test
    void stallWhileAnchoringNeverMakesTheClockRunBehind() {
        long start = wall;
        Clock clock = new Clock(() -> {
            long reading = wall;
            wall += ++reads < 3 ? 30 * Clock.MS : 1_000; // two stalled readings, then normal ones
            return reading;
        }, () -> wall - start);
        assertTrue(clock.now() >= wall, "behind by " + (wall - clock.now()));
        assertTrue(clock.now() <= wall + Clock.MS, "ahead by " + (clock.now() - wall));
    }
}
