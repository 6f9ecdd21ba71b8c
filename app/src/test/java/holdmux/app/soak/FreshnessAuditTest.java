package holdmux.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.app.soak.FreshnessAudit.ReadAsked;
import holdmux.standins.ServingLog;
import holdmux.standins.ServingLog.Promotion;
import holdmux.standins.ServingLog.RoleStatement;
import holdmux.standins.ServingLog.ServedRead;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The oracle must report reads of old data that nothing excuses, and no others. */
class FreshnessAuditTest {
    private static final long MS = 1_000_000L, BOUND = 300 * MS, IN_FLIGHT = 50 * MS;
    private static final long CONNECTION = 7, PROBE_CONNECTION = 8;

    private final FreshnessAudit audit = new FreshnessAudit(IN_FLIGHT);
    private final ServingLog log = new ServingLog();

    @BeforeEach
    void serverLedUntilAShortWhileAgo() {
        log.add(new Promotion("s-1", 0));
        audit.recordRead(new ReadAsked("earlier", "p1", 0, BOUND));
        log.add(new RoleStatement("s-1", "earlier", CONNECTION, 500 * MS, true));
    }

    private int violations(long boundNs, long ageMs) {
        audit.recordRead(new ReadAsked("read", "p1", 2_000 * MS, boundNs));
        log.add(new ServedRead("s-1", "read", CONNECTION, 2_010 * MS, ageMs * MS));
        return audit.verdict(log).size();
    }

    private void state(String id, long connection, long atMs) {
        log.add(new RoleStatement("s-1", id, connection, atMs * MS, false));
    }

    @Test
    void aFormerPrimaryThatHasSaidNothingIsExcused() {
        assertEquals(0, violations(BOUND, 1_000));
    }

    @Test
    void oldDataAfterAStatementAreReported() {
        state("earlier", CONNECTION, 1_700);
        assertEquals(1, violations(BOUND, 1_000));
    }

    @Test
    void aReadThatMustSeeAllIsReportedToo() {
        state("earlier", CONNECTION, 1_700);
        assertEquals(1, violations(0, 100));
    }

    @Test
    void aStatementToAProbeOfTheSameProcessCounts() {
        log.add(new RoleStatement("s-1", "earlier", PROBE_CONNECTION, 600 * MS, true));
        state("", PROBE_CONNECTION, 1_700);
        assertEquals(1, violations(BOUND, 1_000));
    }

    @Test
    void aStatementToAnotherPoolerOrAnEarlierProcessDoesNotCount() {
        audit.recordRead(new ReadAsked("other", "p2", 0, BOUND));
        state("other", PROBE_CONNECTION, 1_700);
        state("earlier", CONNECTION, 1_500);
        audit.addStart("p1", 1_600 * MS);
        assertEquals(0, violations(BOUND, 1_000));
    }

    @Test
    void aStatementThatIsNotYetKnownDoesNotCount() {
        state("earlier", CONNECTION, 1_900);
        assertEquals(0, violations(BOUND, 1_000));
    }

    @Test
    void dataWithinTheBoundAreNotReported() {
        state("earlier", CONNECTION, 1_700);
        assertEquals(0, violations(BOUND, 300));
    }

    @Test
    void aServerThatNeverLedHasNoExcuse() {
        audit.recordRead(new ReadAsked("read", "p1", 2_000 * MS, BOUND));
        log.add(new ServedRead("s-2", "read", CONNECTION, 2_010 * MS, 1_000 * MS));
        assertEquals(1, audit.verdict(log).size());
    }
}
