package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.drill.Audit.Observation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The drill passes if its audit finds nothing, so the audit must detect every kind of violation. */
class AuditTest {
    private static Audit audit(Observation... observations) {
        Audit audit = new Audit(1_000);
        audit.recordActivation(1, 0, 10, 100);
        audit.recordActivation(2, 5_000, 5_010, 100);
        List.of(observations).forEach(audit::recordObservation);
        return audit;
    }

    @Test
    void activeVersionOrStaleVersionWithinTheBoundIsAllowed() {
        assertEquals(List.of(), audit(new Observation("p", 500, 505, 1, false), new Observation("p", 6_110, 6_111, 1, false),
                new Observation("p", 5_001, 5_002, 2, false), new Observation("p", 9_000, 9_001, 1, true)).findViolations());
    }

    @Test
    void staleFutureOrUnknownVersionIsAViolation() {
        assertEquals(3, audit(new Observation("p", 6_111, 6_112, 1, false), new Observation("p", 4_998, 4_999, 2, false),
                new Observation("p", 6_000, 6_001, 3, false)).findViolations().size());
        Audit audit = audit();
        audit.recordViolation("a write ran twice");
        assertEquals(List.of("a write ran twice"), audit.findViolations());
    }

    @Test
    void longestPeriodOfMixedVersionsIsMeasured() {
        Audit audit = audit(new Observation("p", 0, 1, 1, false), new Observation("q", 0, 1, 1, false),
                new Observation("p", 5_000, 5_100, 2, false), new Observation("q", 5_290, 5_300, 1, false),
                new Observation("p", 5_340, 5_350, 2, false), new Observation("q", 5_390, 5_400, 2, false),
                new Observation("r", 5_700, 5_800, 1, true));
        assertEquals(100, audit.longestMixedMs());
        assertTrue(audit.findViolations().isEmpty());
    }
}
