package holdmux.decision;

import static holdmux.decision.SplitterFixture.BOUNDED_READ;
import static holdmux.decision.SplitterFixture.MS;
import static holdmux.decision.SplitterFixture.SESSION_READ;
import static holdmux.decision.SplitterFixture.UNSAFE_WRITE;
import static holdmux.decision.SplitterFixture.arrival;
import static holdmux.decision.SplitterFixture.lastTarget;
import static holdmux.decision.SplitterFixture.settings;
import static holdmux.decision.SplitterFixture.transmits;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What permits a read at the primary. Guards against a former primary whose statement that it is none was not heard, whatever
 * became of it: its age alone must end the belief that it leads.
 */
class ReadProofTest {
    /** Index of a class whose reads must see everything that was written before, behind the fixture's own classes. */
    private static final int FRESH_READ = settings(Guards.OFF, true).classes().size();
    private static final long QUIET_MS = 400;

    private final SplitterFixture f = fixture();

    private static SplitterFixture fixture() {
        Settings base = settings(Guards.OFF, true);
        List<RequestClass> classes = new ArrayList<>(base.classes());
        classes.add(SplitterFixture.requestClass(Consistency.FRESH, 0, Effect.IDEMPOTENT, 0.2));
        return new SplitterFixture(new Settings(0, 2, 0, base.stepNs(), classes, base.quotas(), 1, base.guards(), 0, base.zeroNs(),
                true, true, false, base.rules(), base.limits(), 0, 1, 2, -1, -1), 1).withThreeStores();
    }

    /** A probe's answer that states the role as of its writing beside the report. */
    private Checked stated(Role role, long behindMs) {
        Checked report = f.probeOk(1, behindMs, role == Role.PRIMARY);
        return new Checked(1, Outcome.OK, MS, role, f.now - behindMs * MS, report.report());
    }

    /** The primary is proved by a probe whose report is some time old; the replicas lag far behind. */
    private void provePrimary(boolean statesRoles) {
        f.advance(5, arrival(1, FRESH_READ, 0));
        f.advance(2, statesRoles ? stated(Role.PRIMARY, 0) : f.probeOk(1, 20, true), f.probeOk(2, 10_000, false),
                f.probeOk(3, 10_000, false));
    }

    /** What becomes of a request to the primary in whose answer it states that it leads no more. */
    private void loseStatement(String loss) {
        f.advance(5, arrival(2, UNSAFE_WRITE, 0));
        switch (loss) {
            case "held up" -> f.advance(50);
            case "no status" -> f.advance(50, f.answered(2, 0, 1, Outcome.OK, Role.UNKNOWN, 0));
            default -> f.advance(50, f.answered(2, 0, 1, Outcome.valueOf(loss), Role.UNKNOWN, 0));
        }
        f.advance(0, f.answered(1, 0, 1, Outcome.OK, Role.PRIMARY, 0));
    }

    @ParameterizedTest
    @CsvSource({"held up,false", "no status,false", "TIMEOUT,false", "CANCELLED,false", "RESET,false", "ERROR,false",
        "held up,true", "no status,true", "TIMEOUT,true", "CANCELLED,true", "RESET,true", "ERROR,true"})
    void noReadGoesToAPrimaryThatHasNotBeenHeardOfLately(String loss, boolean statesRoles) {
        for (int readClass : new int[] {BOUNDED_READ, FRESH_READ}) {
            ReadProofTest play = new ReadProofTest();
            play.provePrimary(statesRoles);
            play.loseStatement(loss);
            List<Action> out = play.f.advance(QUIET_MS, arrival(3, readClass, 0));
            assertEquals(List.of(), transmits(out), loss);
            assertTrue(out.contains(new Inspect(1)), "a probe is to prove it");
            assertEquals(List.of(), transmits(play.f.advance(2, play.stated(Role.REPLICA, 500))), loss);
        }
    }

    /** The belief that a store leads is not enough where a probe can prove what the read needs. */
    @Test
    void aBoundedReadNeedsThePrimarysPosition() {
        provePrimary(false);
        f.advance(250, arrival(2, BOUNDED_READ, 0));
        assertEquals(2, lastTarget(f.advance(2, f.probeOk(1, 500, false), f.probeOk(2, 0, true))), "its successor's is proved");
    }

    @Test
    void aReadOfAllDataNeedsAProbeSentAfterItArrivedWhereProbesStateRoles() {
        provePrimary(true);
        f.advance(0, f.answered(1, 0, 1, Outcome.OK, Role.PRIMARY, 0));
        assertEquals(List.of(), transmits(f.advance(100, arrival(2, FRESH_READ, 0))));
        assertEquals(1, lastTarget(f.advance(2, stated(Role.PRIMARY, 0))));
    }

    /** No later statement of a store counts as known for some time after the last one that was heard. */
    @Test
    void aPrimaryHeardOfAMomentAgoNeedsNoFurtherProof() {
        provePrimary(true);
        assertEquals(1, lastTarget(f.advance(50, arrival(2, FRESH_READ, 0))));
    }

    /** Guards against a later statement that ends a doubt which began behind it. */
    @Test
    void anAnswerToAnEarlierRequestEndsNoDoubt() {
        provePrimary(false);
        f.advance(5, arrival(2, UNSAFE_WRITE, 0));
        f.advance(5, new StatusOverdue(1));
        f.advance(5, f.answered(2, 0, 1, Outcome.OK, Role.PRIMARY, f.now));
        assertEquals(Role.UNKNOWN, f.splitter.roles().get(0).role());
    }

    /** Guards against a report that is older than the status beside it and makes a store the primary again. */
    @Test
    void aStatedRoleCountsMoreThanTheReportBesideIt() {
        provePrimary(true);
        f.advance(100, new Checked(1, Outcome.OK, MS, Role.REPLICA, f.now - 50 * MS, f.probeOk(1, 0, true).report()));
        assertEquals(Role.REPLICA, f.splitter.roles().get(0).role());
    }

    /** Guards against a primary whose first report behind a long pause makes all reports pass for useless. */
    @Test
    void aReportFromBeforeALongPauseDoesNotMakeTheRoleSuffice() {
        provePrimary(false);
        f.advance(0, f.answered(1, 0, 1, Outcome.OK, Role.PRIMARY, 0));
        for (int i = 0; i < 5; i++) {
            f.advance(200, f.probeOk(1, 60, true));
        }
        f.advance(200, f.probeOk(1, 20_000, true));
        List<Action> out = f.advance(30, arrival(2, BOUNDED_READ, 0));
        assertEquals(List.of(), transmits(out));
        assertTrue(out.contains(new Inspect(1)));
    }

    /** A session's read is served by the store that answered its write, without a probe. */
    @Test
    void theAnswerToAWriteProvesItsPosition() {
        provePrimary(false);
        f.advance(5, arrival(2, UNSAFE_WRITE, 77));
        f.advance(20, f.answered(2, 0, 1, Outcome.OK, Role.PRIMARY, f.now));
        assertEquals(1, lastTarget(f.advance(600, arrival(3, SESSION_READ, 77))));
    }

    /** Without probes a role is all that is to be had. */
    @Test
    void withoutProbesTheRoleSuffices() {
        Settings base = settings(Guards.OFF, true);
        Limits limits = new Limits(6, false, true, false, true, 500 * MS, false);
        SplitterFixture noProbes = new SplitterFixture(new Settings(0, 2, 0, base.stepNs(), base.classes(), base.quotas(), 1,
                base.guards(), 0, base.zeroNs(), true, true, false, base.rules(), limits, 0, 1, 2, -1, -1), 1).withThreeStores();
        assertEquals(1, lastTarget(noProbes.advance(5, arrival(1, BOUNDED_READ, 0))));
    }
}
