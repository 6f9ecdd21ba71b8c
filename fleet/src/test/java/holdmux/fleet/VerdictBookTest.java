package holdmux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What makes a server bad for the whole fleet. */
class VerdictBookTest {
    private static final long S = 1_000_000_000L;

    private static VerdictBook book() {
        return new VerdictBook(3, 0.5, 0.2, 10 * S);
    }

    /** A pooler whose own link is broken accuses everybody; nobody else does. */
    @Test
    void onePoolersBrokenLinkEjectsNobody() {
        VerdictBook book = book();
        for (int i = 0; i < 50; i++) {
            book.reported("lonely", "s" + i % 10, true, i);
        }
        assertTrue(book.bad(10, 50).isEmpty());
        for (int p = 0; p < 4; p++) {
            book.reported("p" + p, "s1", false, 60);
        }
        book.reported("p5", "s1", true, 60);
        book.reported("p6", "s1", true, 60);
        assertTrue(book.bad(10, 61).isEmpty(), "three of seven accuse it, and most find it well");
    }

    @Test
    void severalMakeAServerBadAndItLapsesByItself() {
        VerdictBook book = book();
        for (int p = 0; p < 3; p++) {
            book.reported("p" + p, "s1", true, p * S);
        }
        assertEquals(Map.of("s1", 2 * S), book.bad(10, 4 * S), "the newest report is two seconds old");
        assertTrue(book.bad(10, 10 * S).isEmpty(), "the first report has lapsed, and two are too few");
    }

    /** Where all is bad, ejecting most would only move the load: those most accused go, up to the cap. */
    @Test
    void noMoreThanAShareIsOutAtOnce() {
        VerdictBook book = book();
        for (int s = 0; s < 10; s++) {
            for (int p = 0; p < 3 + s % 3; p++) {
                book.reported("p" + p, "s" + s, true, S);
            }
        }
        assertEquals(Set.of("s2", "s5"), book.bad(10, 2 * S).keySet());
    }

    /** A flood of names fills no memory, and takes no opinion away that counts. */
    @Test
    void aFloodOfNamesIsBounded() {
        VerdictBook book = new VerdictBook(2, 0.5, 1, 10 * S);
        book.reported("p1", "s1", true, 0);
        book.reported("p2", "s1", true, 0);
        for (int i = 0; i < VerdictBook.MOST_OPINIONS + 10; i++) {
            book.reported("x" + i, "t", true, 1);
        }
        book.reported("p1", "s1", true, 2);
        assertTrue(book.bad(1_000, 3).containsKey("s1"));
    }
}
