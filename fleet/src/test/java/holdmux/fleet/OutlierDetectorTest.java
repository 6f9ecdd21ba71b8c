package holdmux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When a server is ejected for the whole fleet. */
class OutlierDetectorTest {
    private static final long S = 1_000_000_000L;

    private static OutlierDetector detector() {
        return new OutlierDetector(3, 0.5, 0.2, 10 * S);
    }

    /** Guards against ejections caused by one pooler whose own link is broken and that reports every server. */
    @Test
    void oneReporterCannotEjectServers() {
        OutlierDetector detector = detector();
        for (int i = 0; i < 50; i++) {
            detector.report("lonely", "s" + i % 10, true, i);
        }
        assertTrue(detector.ejectedServers(10, 50).isEmpty());
        for (int p = 0; p < 4; p++) {
            detector.report("p" + p, "s1", false, 60);
        }
        detector.report("p5", "s1", true, 60);
        detector.report("p6", "s1", true, 60);
        assertTrue(detector.ejectedServers(10, 61).isEmpty(), "three of seven poolers report it unhealthy, less than half");
    }

    @Test
    void severalReportsEjectAServerUntilTheyExpire() {
        OutlierDetector detector = detector();
        for (int p = 0; p < 3; p++) {
            detector.report("p" + p, "s1", true, p * S);
        }
        assertEquals(Map.of("s1", 2 * S), detector.ejectedServers(10, 4 * S), "the newest report is two seconds old");
        assertTrue(detector.ejectedServers(10, 10 * S).isEmpty(), "the first report has expired, and two are too few");
    }

    /** If all servers look unhealthy, ejecting most would only shift the load: the most reported go, up to the cap. */
    @Test
    void ejectedShareIsCapped() {
        OutlierDetector detector = detector();
        for (int s = 0; s < 10; s++) {
            for (int p = 0; p < 3 + s % 3; p++) {
                detector.report("p" + p, "s" + s, true, S);
            }
        }
        assertEquals(Set.of("s2", "s5"), detector.ejectedServers(10, 2 * S).keySet());
    }

    /** A flood of pooler names must neither grow memory without bound nor displace current reports. */
    @Test
    void storedReportsAreBounded() {
        OutlierDetector detector = new OutlierDetector(2, 0.5, 1, 10 * S);
        detector.report("p1", "s1", true, 0);
        detector.report("p2", "s1", true, 0);
        for (int i = 0; i < OutlierDetector.MAX_REPORTS + 10; i++) {
            detector.report("x" + i, "t", true, 1);
        }
        detector.report("p1", "s1", true, 2);
        assertTrue(detector.ejectedServers(1_000, 3).containsKey("s1"));
    }
}
