package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClockTest {
    private long wall = 5_000 * Clock.MS;
    private int reads;

    /**
     * The anchor is kept for the life of the process. A thread that lost its core between the two readings made this clock
     * run behind for good, and a replica just older than a bound looked new enough.
     */
    @Test
    void aStallAtTheStartDoesNotMakeDataLookFresherThanTheyAre() {
        long lead = wall;
        Clock clock = new Clock(() -> {
            long told = wall;
            wall += ++reads < 3 ? 30 * Clock.MS : 1_000; // stalled twice, then a usual reading
            return told;
        }, () -> wall - lead);
        assertTrue(clock.now() >= wall, "behind by " + (wall - clock.now()));
        assertTrue(clock.now() <= wall + Clock.MS, "ahead by " + (clock.now() - wall));
    }
}
