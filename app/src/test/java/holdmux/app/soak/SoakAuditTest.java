package holdmux.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.soak.SoakAudit.Asked;
import holdmux.standins.QuoteGroup.Arrival;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The oracle of the soak must report each kind of violation, and nothing for a run without violations. */
class SoakAuditTest {
    private static final long MS = 1_000_000L;

    private final SoakAudit audit = new SoakAudit();

    private List<String> verdict(Asked request, long arrivedMs, long waitMs, int runs) {
        audit.recordRequest(request);
        return audit.verdict(List.of(new Arrival("s-1", request.id(), arrivedMs * MS, waitMs)), Map.of(request.id(), runs));
    }

    private static Asked asked(long sentMs, long answeredMs, long leftMs) {
        return new Asked("a", "p1", true, sentMs * MS, 1_000 * MS, answeredMs * MS, leftMs * MS, false);
    }

    private static void assertViolation(String rule, List<String> verdict) {
        assertEquals(1, verdict.size(), verdict.toString());
        assertTrue(verdict.get(0).startsWith(rule), verdict.toString());
    }

    @Test
    void compliantRequestIsNotReported() {
        assertEquals(List.of(), verdict(asked(1, 900, 0), 10, 990, 1));
    }

    @Test
    void lostLateAndDuplicateRequestsAreReported() {
        assertViolation("lost", verdict(asked(1, 0, 0), 10, 990, 1));
        assertViolation("late", new SoakAuditTest().verdict(asked(1, 1_600, 0), 10, 990, 1));
        assertViolation("duplicate", new SoakAuditTest().verdict(asked(1, 900, 0), 10, 990, 2));
        assertViolation("deadline", new SoakAuditTest().verdict(asked(1, 900, 0), 700, 990, 1));
        assertViolation("client gone", new SoakAuditTest().verdict(asked(1, 0, 50), 600, 300, 1));
    }

    /** Names the longest delay of the driver while the request was on its way, and reports the violation all the same. */
    @Test
    void delayOfTheDriverIsNamedAndExcusesNothing() {
        audit.driverDelays().add(100 * MS, 340 * MS);
        audit.driverDelays().add(400 * MS, 430 * MS);
        audit.driverDelays().add(710 * MS, 1_210 * MS);
        List<String> verdict = verdict(asked(1, 900, 0), 700, 990, 1);
        assertViolation("deadline", verdict);
        assertTrue(verdict.get(0).endsWith("driver up to 240 ms late"), verdict.toString());
    }

    @Test
    void shortDelaysOfTheDriverAreNotRecorded() {
        DriverDelays delays = new DriverDelays();
        delays.add(100 * MS, 100 * MS + DriverDelays.MIN_DELAY_NS - 1);
        assertEquals(0, delays.longestBetween(0, 1_000 * MS));
        delays.add(200 * MS, 200 * MS + DriverDelays.MIN_DELAY_NS);
        assertEquals(DriverDelays.MIN_DELAY_NS, delays.longestBetween(0, 1_000 * MS));
    }

    /** A drain is enforced from 2 s after its delivery until the server is up again. */
    @Test
    void sendAfterDrainGraceIsReported() {
        long enforcedFromMs = SoakAudit.DRAIN_GRACE_NS / MS + 100;
        long slack = SoakAudit.IN_FLIGHT_NS / MS;
        for (long at : new long[] {enforcedFromMs + slack - 1, enforcedFromMs + slack + 1, 20_001}) {
            SoakAuditTest each = new SoakAuditTest();
            each.audit.addOutOfService("s-1", 100 * MS, 20_000 * MS);
            List<String> verdict = each.verdict(asked(at - 10, at + 10, 0), at, 900, 1);
            assertEquals(at == enforcedFromMs + slack + 1, verdict.size() == 1 && verdict.get(0).startsWith("drain"), verdict.toString());
        }
    }

    @Test
    void changeDuringSilenceIsDeliveredAtItsEnd() {
        DeliveryTimes times = audit.deliveryTimes();
        times.addSilence("p1", 50 * MS, 1_000 * MS);
        times.addSilence("p1", 1_050 * MS, 4_000 * MS);
        assertEquals(4_000 * MS, times.deliveredAt(100 * MS, "p1", 9_000 * MS));
        assertEquals(100 * MS, times.deliveredAt(100 * MS, "p2", 9_000 * MS));
        assertEquals(4_200 * MS, times.deliveredAt(4_200 * MS, "p1", 9_000 * MS));
    }

    /** A change that the agent knew before a silence counts for a process from its start, whether or not the process got it. */
    @Test
    void earlierChangeIsDeliveredToNewProcessAtItsStart() {
        DeliveryTimes times = audit.deliveryTimes();
        times.addSilence("p1", 500 * MS, 9_000 * MS);
        times.addStart("p1", 600 * MS);
        times.addStart("p1", 8_000 * MS);
        assertEquals(600 * MS, times.deliveredAt(100 * MS, "p1", 7_000 * MS));
        assertEquals(8_000 * MS, times.deliveredAt(100 * MS, "p1", 8_500 * MS));
    }

    @Test
    void moveAndSlowNetworkDelayDelivery() {
        DeliveryTimes times = audit.deliveryTimes();
        times.addReload("p1", 1_000 * MS);
        times.addDelay("p2", 0, 2_000 * MS, 300 * MS);
        assertEquals(5_000 * MS, times.deliveredAt(1_500 * MS, "p1", 9_000 * MS));
        assertEquals(500 * MS, times.deliveredAt(500 * MS, "p1", 9_000 * MS), "delivered by the old agent");
        assertEquals(1_400 * MS, times.deliveredAt(500 * MS, "p2", 9_000 * MS));
    }
}
