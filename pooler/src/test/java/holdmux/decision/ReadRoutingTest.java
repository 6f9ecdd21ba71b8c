package holdmux.decision;

import static holdmux.decision.SplitterFixture.MS;
import static holdmux.decision.SplitterFixture.OWN;
import static holdmux.decision.SplitterFixture.UNSAFE;
import static holdmux.decision.SplitterFixture.VIEW;
import static holdmux.decision.SplitterFixture.request;
import static holdmux.decision.SplitterFixture.sentTo;
import static holdmux.decision.SplitterFixture.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.*;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReadRoutingTest {
    /** A session writes at the primary; the commit is 20 ms before the answer. */
    private static long write(SplitterFixture f, long id, long session) {
        assertEquals(1, sentTo(f.advance(5, request(id, UNSAFE, session))));
        long commit = f.now - 15 * MS;
        f.advance(5, f.answered(id, 0, 1, Outcome.OK, Role.PRIMARY, commit));
        return commit;
    }

    @Test
    void sessionReadGoesToPrimaryWhenNoReplicaHasReachedTheToken() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(5, f.probeOk(2, 500, false), f.probeOk(3, 500, false));
        write(f, 1, 77);
        assertEquals(1, f.sentToAfterProbes(5, request(2, OWN, 77)));
    }

    @Test
    void sessionReadGoesToTheReplicaThatReachedTheToken() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        write(f, 1, 77);
        f.advance(5, f.probeOk(2, 500, false), f.probeOk(3, 1, false));
        for (int i = 2; i < 12; i++) {
            assertEquals(3, sentTo(f.advance(5, request(i, OWN, 77))));
            f.advance(5, f.answered(i, 0, 3, Outcome.OK, Role.REPLICA, 0));
        }
    }

    @Test
    void tokenIsDroppedAndFloorRaisedOnceAllReplicasHaveCaughtUp() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        write(f, 1, 77);
        f.advance(5, f.probeOk(2, 1, false), f.probeOk(3, 1, false));
        assertNotEquals(1, sentTo(f.advance(5, request(2, OWN, 77))));
        // a new member behind the floor gets no session read, with or without a token
        f.advance(0, new ListChanged(ListMode.DELTA, 2, java.util.List.of(
                SplitterFixture.line(2, false, 0, Availability.GONE), SplitterFixture.line(3, false, 0, Availability.GONE),
                SplitterFixture.line(4, false, 0, Availability.READY))));
        f.advance(5, f.probeOk(4, 5_000, false));
        assertEquals(1, f.sentToAfterProbes(5, request(3, OWN, 77)));
        assertEquals(1, f.sentToAfterProbes(5, request(4, OWN, 78)));
    }

    @Test
    void sessionStaysOnItsReplica() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 9).withThreeStores();
        f.advance(5, f.probeOk(2, 1, false), f.probeOk(3, 1, false));
        long first = sentTo(f.advance(5, request(1, OWN, 77)));
        f.advance(5, f.answered(1, 0, first, Outcome.OK, Role.REPLICA, 0));
        for (int i = 2; i < 20; i++) {
            assertEquals(first, sentTo(f.advance(5, request(i, OWN, 77))));
            f.advance(5, f.answered(i, 0, first, Outcome.OK, Role.REPLICA, 0));
        }
    }

    @Test
    void boundedReadsAreSpreadOverReplicasWithinTheBound() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 3).withThreeStores();
        Set<Long> used = new HashSet<>();
        for (int i = 1; i < 60; i++) {
            f.advance(5, f.probeOk(2, 20, false), f.probeOk(3, 20, false));
            long store = sentTo(f.advance(1, request(i, VIEW, 0)));
            used.add(store);
            f.advance(5, f.answered(i, 0, store, Outcome.OK, Role.REPLICA, 0));
        }
        assertEquals(Set.of(2L, 3L), used);
    }

    @Test
    void onlyKnownPositionsCountWhenStoresDoNotCheck() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 3).withThreeStores();
        f.advance(5, f.probeOk(2, 150, false), f.probeOk(3, 150, false));
        assertEquals(1, f.sentToAfterProbes(100, request(1, VIEW, 0)));
    }

    @Test
    void missSendsTheReadElsewhereAndKeepsOtherReadsAway() {
        SplitterFixture f = new SplitterFixture(settings(Guards.REFUSE, true), 3).withThreeStores();
        f.advance(5, f.probeOk(1, 100, true));
        long store = sentTo(f.advance(5, request(1, VIEW, 0)));
        assertNotEquals(1, store);
        long next = sentTo(f.advance(5, f.answered(1, 0, store, Outcome.MISS, Role.REPLICA, 0)));
        assertNotEquals(store, next);
        assertNotEquals(0, next);
        for (int i = 2; i < 8; i++) {
            assertNotEquals(store, sentTo(f.advance(1, request(i, VIEW, 0))));
        }
    }

    @Test
    void carriedTokensAreCheckedAgainstKnownPositions() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, false), 3).withThreeStores();
        f.advance(5, f.probeOk(2, 300, false), f.probeOk(3, 10, false));
        Arrived read = new Arrived(1, OWN, false, 1_200 * MS, 100 * MS, 0, 5, 0, 1);
        assertEquals(3, sentTo(f.advance(5, read)));
        Arrived newer = new Arrived(2, OWN, false, 1_200 * MS, MS, 0, 5, 0, 1);
        assertEquals(1, f.sentToAfterProbes(5, newer));
    }
}
