package holdmux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What makes a server bad for the whole fleet. */
class OutlierDetectorTest {
    private static final long S = 1_000_000_000L;

    private static OutlierDetector book() {
        return new OutlierDetector(3, 0.5, 0.2, 10 * S);
    }

    /** A pooler whose own link is broken accuses everybody; nobody else does. */
    @Test
    void onePoolersBrokenLinkEjectsNobody() {
        OutlierDetector book = book();
        for (int i = 0; i < 50; i++) {
            book.report("lonely", "s" + i % 10, true, i);
        }
        assertTrue(book.ejectedServers(10, 50).isEmpty());
        for (int p = 0; p < 4; p++) {
            book.report("p" + p, "s1", false, 60);
        }
        book.report("p5", "s1", true, 60);
        book.report("p6", "s1", true, 60);
        assertTrue(book.ejectedServers(10, 61).isEmpty(), "three of seven accuse it, and most find it well");
    }

    @Test
    void severalMakeAServerBadAndItLapsesByItself() {
        OutlierDetector book = book();
        for (int p = 0; p < 3; p++) {
            book.report("p" + p, "s1", true, p * S);
        }
        assertEquals(Map.of("s1", 2 * S), book.ejectedServers(10, 4 * S), "the newest report is two seconds old");
        assertTrue(book.ejectedServers(10, 10 * S).isEmpty(), "the first report has lapsed, and two are too few");
    }

    /** Where all is bad, ejecting most would only move the load: those most accused go, up to the cap. */
    @Test
    void noMoreThanAShareIsOutAtOnce() {
        OutlierDetector book = book();
        for (int s = 0; s < 10; s++) {
            for (int p = 0; p < 3 + s % 3; p++) {
                book.report("p" + p, "s" + s, true, S);
            }
        }
        assertEquals(Set.of("s2", "s5"), book.ejectedServers(10, 2 * S).keySet());
    }

    /** A flood of names fills no memory, and takes no opinion away that counts. */
    @Test
    void aFloodOfNamesIsBounded() {
        OutlierDetector book = new OutlierDetector(2, 0.5, 1, 10 * S);
        book.report("p1", "s1", true, 0);
        book.report("p2", "s1", true, 0);
        for (int i = 0; i < OutlierDetector.MAX_REPORTS + 10; i++) {
            book.report("x" + i, "t", true, 1);
        }
        book.report("p1", "s1", true, 2);
        assertTrue(book.ejectedServers(1_000, 3).containsKey("s1"));
    }
}
