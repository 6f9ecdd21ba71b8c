package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.drill.Audit.Look;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The judge of the drill must see each breach, or its yes is worth nothing. */
class AuditTest {
    private static Audit audit(Look... looks) {
        Audit audit = new Audit(1_000);
        audit.changed(1, 0, 10, 100);
        audit.changed(2, 5_000, 5_010, 100);
        List.of(looks).forEach(audit::looked);
        return audit;
    }

    @Test
    void whatIsInForceOrWithinTheBoundIsAllowed() {
        assertEquals(List.of(), audit(new Look("p", 500, 505, 1, false), new Look("p", 6_110, 6_111, 1, false),
                new Look("p", 5_001, 5_002, 2, false), new Look("p", 9_000, 9_001, 1, true)).verdict());
    }

    @Test
    void anOldOrAFutureOrAnUnknownVersionIsABreach() {
        assertEquals(3, audit(new Look("p", 6_111, 6_112, 1, false), new Look("p", 4_998, 4_999, 2, false),
                new Look("p", 6_000, 6_001, 3, false)).verdict().size());
        Audit audit = audit();
        audit.broken("a write ran twice");
        assertEquals(List.of("a write ran twice"), audit.verdict());
    }

    @Test
    void theLongestSpellOfTwoVersionsIsMeasured() {
        Audit audit = audit(new Look("p", 0, 1, 1, false), new Look("q", 0, 1, 1, false), new Look("p", 5_000, 5_100, 2, false),
                new Look("q", 5_290, 5_300, 1, false), new Look("p", 5_340, 5_350, 2, false),
                new Look("q", 5_390, 5_400, 2, false), new Look("r", 5_700, 5_800, 1, true));
        assertEquals(100, audit.longestMixed());
        assertTrue(audit.verdict().isEmpty());
    }
}
