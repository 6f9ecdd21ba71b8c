package holdmux.decision;

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

/** What two processes of one pooler know of the stores' roles. */
class SharedRolesTest {
    /** Index of a class whose reads must see everything that was written before, behind the fixture's own classes. */
    private static final int FRESH_READ = settings(Guards.OFF, true).classes().size();

    private static SplitterFixture fixture() {
        Settings base = settings(Guards.OFF, true);
        List<RequestClass> classes = new ArrayList<>(base.classes());
        classes.add(SplitterFixture.requestClass(Consistency.FRESH, 0, Effect.IDEMPOTENT, 0.2));
        return new SplitterFixture(new Settings(0, 2, 0, base.stepNs(), classes, base.quotas(), 1, base.guards(), 0, base.zeroNs(),
                true, true, false, base.rules(), base.limits(), 0, 1, 2, -1, -1), 1);
    }

    /** Guards against a new process that reads from the primary of an old list, which the older process knows as a replica. */
    @Test
    void aPrimaryThatOnlyTheListNamesIsProbedBeforeItIsReadFrom() {
        SplitterFixture f = fixture().withThreeStores();
        f.advance(0, new TakeoverStarted());
        List<Action> out = f.advance(5, arrival(1, FRESH_READ, 0));
        assertEquals(List.of(), transmits(out));
        assertTrue(out.contains(new Inspect(1)));
        assertEquals(List.of(), transmits(f.advance(2, f.probeOk(1, 5_000, false))));
        f.advance(5);
        assertEquals(2, lastTarget(f.advance(2, f.probeOk(2, 0, true))));
    }

    @Test
    void aProbeProvesThePrimaryOfTheList() {
        SplitterFixture f = fixture().withThreeStores();
        f.advance(0, new TakeoverStarted());
        f.advance(5, arrival(1, FRESH_READ, 0));
        assertEquals(1, lastTarget(f.advance(2, f.probeOk(1, 0, true))));
    }

    @Test
    void aPrimaryThatTheOtherProcessKnowsNeedsNoProof() {
        SplitterFixture f = fixture().withThreeStores();
        f.advance(0, new TakeoverStarted());
        f.advance(0, new RoleObserved(1, Role.REPLICA, f.now), new RoleObserved(3, Role.PRIMARY, f.now));
        assertEquals(3, lastTarget(f.advance(5, arrival(1, FRESH_READ, 0))));
    }

    /** Guards against forgetting what the other process told before the list came. */
    @Test
    void rolesOfStoresThatAreNotListedYetAreKept() {
        SplitterFixture f = fixture();
        f.advance(0, new RoleObserved(1, Role.REPLICA, f.now), new RoleObserved(2, Role.PRIMARY, f.now));
        f.withThreeStores();
        assertEquals(2, lastTarget(f.advance(5, arrival(1, FRESH_READ, 0))));
    }

    /** What one process learns while both serve reaches the other one, and does not come back as news. */
    @Test
    void whatAnAnswerTellsIsNewsOnce() {
        SplitterFixture first = fixture().withThreeStores();
        SplitterFixture second = fixture().withThreeStores();
        first.advance(5, arrival(1, UNSAFE_WRITE, 7));
        long before = first.splitter.rolesVersion();
        first.advance(5, first.answered(1, 0, 1, Outcome.MISS, Role.REPLICA, 0));
        assertTrue(first.splitter.rolesVersion() > before);
        List<RoleObserved> known = first.splitter.roles();
        assertEquals(List.of(new RoleObserved(1, Role.REPLICA, first.now)), known);
        second.advance(10, known.toArray(Event[]::new));
        assertEquals(known, second.splitter.roles());
        long version = first.splitter.rolesVersion();
        first.advance(5, second.splitter.roles().toArray(Event[]::new));
        assertEquals(version, first.splitter.rolesVersion());
        assertEquals(List.of(), transmits(second.advance(5, arrival(2, FRESH_READ, 0))), "no primary is known");
    }

    /** Guards against reading on from a former primary whose word stood behind a long value and was not passed on. */
    @Test
    void whatIsStatedBehindALongAnswerCounts() {
        SplitterFixture f = fixture().withThreeStores();
        f.advance(5, arrival(1, FRESH_READ, 0));
        f.advance(5, f.answered(1, 0, 1, Outcome.OK, Role.UNKNOWN, 0));
        f.advance(5, new LateStatus(1, 15 * SplitterFixture.MS, 5 * SplitterFixture.MS, Role.REPLICA, 0, new float[0]));
        assertEquals(List.of(), transmits(f.advance(5, arrival(2, FRESH_READ, 0))));
    }

    /** While a slow client keeps that word from being read, the primary has to confirm its role, and a confirmation is not undone. */
    @Test
    void thePrimaryIsDoubtedWhileItsWordIsNotRead() {
        SplitterFixture f = fixture().withThreeStores();
        f.advance(5, arrival(1, FRESH_READ, 0));
        f.advance(5, f.answered(1, 0, 1, Outcome.OK, Role.UNKNOWN, 0));
        f.advance(75, new StatusOverdue(1));
        assertEquals(List.of(), transmits(f.advance(5, arrival(2, FRESH_READ, 0))));
        assertEquals(1, lastTarget(f.advance(5, f.probeOk(1, 0, true))));
        f.advance(5, f.answered(2, 0, 1, Outcome.OK, Role.PRIMARY, 0));
        f.advance(5_000, new LateStatus(1, 5_100 * SplitterFixture.MS, 5_095 * SplitterFixture.MS, Role.REPLICA, 0, new float[0]));
        assertEquals(List.of(Role.PRIMARY), f.splitter.roles().stream().map(RoleObserved::role).toList());
        f.advance(5, arrival(3, FRESH_READ, 0));
        assertEquals(1, lastTarget(f.advance(5, f.probeOk(1, 0, true))), "a role that is 5 s old has to be proved again");
    }

    /** An answer lost in a reset may have stated another role: the other process has to doubt the primary too. */
    @Test
    void doubtsAboutThePrimaryAreShared() {
        SplitterFixture first = fixture().withThreeStores();
        first.advance(5, arrival(1, UNSAFE_WRITE, 7));
        first.advance(5, first.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0));
        assertEquals(List.of(new RoleObserved(1, Role.UNKNOWN, first.now)), first.splitter.roles());
        SplitterFixture second = fixture().withThreeStores();
        second.advance(10, first.splitter.roles().toArray(Event[]::new));
        assertEquals(List.of(), transmits(second.advance(5, arrival(2, FRESH_READ, 0))));
        assertEquals(1, lastTarget(second.advance(2, second.probeOk(1, 0, true))));
    }
}
