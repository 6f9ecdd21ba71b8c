package holdmux.decision;

import static holdmux.decision.SplitterFixture.BOUNDED_READ;
import static holdmux.decision.SplitterFixture.MS;
import static holdmux.decision.SplitterFixture.SESSION_READ;
import static holdmux.decision.SplitterFixture.UNSAFE_WRITE;
import static holdmux.decision.SplitterFixture.arrival;
import static holdmux.decision.SplitterFixture.lastTarget;
import static holdmux.decision.SplitterFixture.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.*;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which store serves a read: tokens, verdicts, the floor, bounds and stores that check positions themselves. */
class ReadRoutingTest {
    /** A session writes at the primary; returns the position of the commit, 20 ms before the answer. */
    private static long write(SplitterFixture f, long id, long session) {
        assertEquals(1, lastTarget(f.advance(5, arrival(id, UNSAFE_WRITE, session))));
        long commit = f.now - 15 * MS;
        f.advance(5, f.answered(id, 0, 1, Outcome.OK, Role.PRIMARY, commit));
        return commit;
    }

    @Test
    void sessionReadGoesToPrimaryWhenNoReplicaHasReachedTheToken() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(5, f.probeOk(2, 500, false), f.probeOk(3, 500, false));
        write(f, 1, 77);
        assertEquals(1, f.sentToAfterProbes(5, arrival(2, SESSION_READ, 77)));
    }

    @Test
    void sessionReadGoesToTheReplicaThatReachedTheToken() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        write(f, 1, 77);
        f.advance(5, f.probeOk(2, 500, false), f.probeOk(3, 1, false));
        for (int i = 2; i < 12; i++) {
            assertEquals(3, lastTarget(f.advance(5, arrival(i, SESSION_READ, 77))));
            f.advance(5, f.answered(i, 0, 3, Outcome.OK, Role.REPLICA, 0));
        }
    }

    @Test
    void tokenIsDroppedAndFloorRaisedOnceAllReplicasHaveCaughtUp() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        write(f, 1, 77);
        f.advance(5, f.probeOk(2, 1, false), f.probeOk(3, 1, false));
        assertNotEquals(1, lastTarget(f.advance(5, arrival(2, SESSION_READ, 77))));
        // a new replica behind the floor gets no session reads, with or without a token
        f.advance(0, new ListChanged(ListMode.DELTA, 2, java.util.List.of(
                SplitterFixture.listing(2, false, 0, Availability.GONE), SplitterFixture.listing(3, false, 0, Availability.GONE),
                SplitterFixture.listing(4, false, 0, Availability.READY))));
        f.advance(5, f.probeOk(4, 5_000, false));
        assertEquals(1, f.sentToAfterProbes(5, arrival(3, SESSION_READ, 77)));
        assertEquals(1, f.sentToAfterProbes(5, arrival(4, SESSION_READ, 78)));
    }

    @Test
    void sessionStaysOnItsReplica() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 9).withThreeStores();
        f.advance(5, f.probeOk(2, 1, false), f.probeOk(3, 1, false));
        long first = lastTarget(f.advance(5, arrival(1, SESSION_READ, 77)));
        f.advance(5, f.answered(1, 0, first, Outcome.OK, Role.REPLICA, 0));
        for (int i = 2; i < 20; i++) {
            assertEquals(first, lastTarget(f.advance(5, arrival(i, SESSION_READ, 77))));
            f.advance(5, f.answered(i, 0, first, Outcome.OK, Role.REPLICA, 0));
        }
    }

    @Test
    void boundedReadsAreSpreadOverReplicasWithinTheBound() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 3).withThreeStores();
        Set<Long> used = new HashSet<>();
        for (int i = 1; i < 60; i++) {
            f.advance(5, f.probeOk(2, 20, false), f.probeOk(3, 20, false));
            long store = lastTarget(f.advance(1, arrival(i, BOUNDED_READ, 0)));
            used.add(store);
            f.advance(5, f.answered(i, 0, store, Outcome.OK, Role.REPLICA, 0));
        }
        assertEquals(Set.of(2L, 3L), used);
    }

    @Test
    void onlyKnownPositionsCountWhenStoresDoNotCheck() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 3).withThreeStores();
        f.advance(5, f.probeOk(2, 150, false), f.probeOk(3, 150, false));
        assertEquals(1, f.sentToAfterProbes(100, arrival(1, BOUNDED_READ, 0)));
    }

    /** Guards against a clock that was stepped back before the start: replicas look fresher by it than they are. */
    @Test
    void positionsAheadOfTheClockMakeReplicasLookOlder() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 3).withThreeStores();
        f.advance(5, f.probeOk(3, 100, false));
        assertEquals(3, lastTarget(f.advance(5, arrival(1, BOUNDED_READ, 0))));
        f.advance(5, f.answered(1, 0, 3, Outcome.OK, Role.REPLICA, 0), f.probeOk(1, -300, true));
        assertEquals(3, lastTarget(f.advance(5, arrival(2, BOUNDED_READ, 0))), "one store alone proves nothing");
        f.advance(5, f.answered(2, 0, 3, Outcome.OK, Role.REPLICA, 0), f.probeOk(2, -280, false));
        assertNotEquals(3, lastTarget(f.advance(5, arrival(3, BOUNDED_READ, 0))), "its data are 0.4 s old");
    }

    @Test
    void missSendsTheReadElsewhereAndKeepsOtherReadsAway() {
        SplitterFixture f = new SplitterFixture(settings(Guards.REFUSE, true), 3).withThreeStores();
        f.advance(5, f.probeOk(1, 100, true));
        long store = lastTarget(f.advance(5, arrival(1, BOUNDED_READ, 0)));
        assertNotEquals(1, store);
        long next = lastTarget(f.advance(5, f.answered(1, 0, store, Outcome.MISS, Role.REPLICA, 0)));
        assertNotEquals(store, next);
        assertNotEquals(0, next);
        for (int i = 2; i < 8; i++) {
            assertNotEquals(store, lastTarget(f.advance(1, arrival(i, BOUNDED_READ, 0))));
        }
    }

    @Test
    void carriedTokensAreCheckedAgainstKnownPositions() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, false), 3).withThreeStores();
        f.advance(5, f.probeOk(2, 300, false), f.probeOk(3, 10, false));
        Arrived read = new Arrived(1, SESSION_READ, false, 1_200 * MS, 100 * MS, 0, 5, 0, 1);
        assertEquals(3, lastTarget(f.advance(5, read)));
        Arrived newer = new Arrived(2, SESSION_READ, false, 1_200 * MS, MS, 0, 5, 0, 1);
        assertEquals(1, f.sentToAfterProbes(5, newer));
    }
}
