package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Counters.Counter;
import holdmux.decision.Permission;
import holdmux.decision.SplitterApi.Availability;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Effect;
import holdmux.decision.SplitterApi.ListChanged;
import holdmux.decision.SplitterApi.ListMode;
import holdmux.decision.SplitterApi.Listing;
import holdmux.decision.SplitterApi.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

class SendGateTest {
    private static final long MS = Clock.MS, GRACE = 2_000 * MS, SERVER_ID = 7;

    private final Counters counters = new Counters();
    private final SendGate gate = new SendGate(counters, new ServerRegistry(List.of("north"), List.of("std")));
    private final Request request = new Request(1,
            new Request.Spec("save-quote", Consistency.WRITE, false, 1_000 * MS, 0, 5, 2), null, ClientWatch.IMMEDIATE);

    private static ListChanged list(ListMode mode, Availability health) {
        return new ListChanged(mode, 1, List.of(new Listing(SERVER_ID, 2, 0, 0, health, true, 0, 1)));
    }

    private Attempt attempt() {
        Attempt attempt = new Attempt(SERVER_ID, request.attempts.size(), 1, 1_000 * MS, () -> true);
        request.attempts.add(attempt);
        return attempt;
    }

    private boolean permits(Attempt attempt, Permission modulePermission, long now) {
        return gate.permits(request, attempt, modulePermission, false, now);
    }

    /** Whatever the decision module answers, nothing is sent to a server that drains, was removed or is missing from a whole list. */
    @Test
    void nothingIsSentToUnavailableServers() {
        gate.updateAvailability(list(ListMode.FULL, Availability.READY), 1);
        assertTrue(permits(attempt(), Permission.ALLOWED, 2));
        gate.updateAvailability(list(ListMode.DELTA, Availability.DRAINING), 3);
        assertFalse(permits(attempt(), Permission.ALLOWED, 4));
        assertFalse(gate.permitsProbe(attempt(), false, 4), "nor a probe");
        assertEquals(1, counters.get(Counter.GATE_DISAGREEMENTS));
        assertEquals(2, counters.get(Counter.WITHHELD_SERVER_DRAINING));
        gate.updateAvailability(list(ListMode.DELTA, Availability.READY), 5);
        assertTrue(permits(attempt(), Permission.ALLOWED, 6));
        gate.updateAvailability(new ListChanged(ListMode.FULL, 2, List.of()), 7);
        assertFalse(permits(attempt(), Permission.ALLOWED, 8));
        assertTrue(gate.permits(request, attempt(), Permission.ALLOWED, true, 8), "removals are advisory");
    }

    /** Guards against a new process sending by the list of its configuration, in which a draining server may still be up. */
    @Test
    void nothingIsSentBeforeTheListIsConfirmed() {
        gate.requireListConfirmation(true);
        gate.updateAvailability(list(ListMode.CACHED, Availability.READY), 1);
        assertFalse(permits(attempt(), Permission.ALLOWED, 2));
        assertFalse(gate.permitsProbe(attempt(), false, 2), "nor a probe");
        gate.requireListConfirmation(false);
        assertTrue(permits(attempt(), Permission.ALLOWED, 3));
        assertEquals(2, counters.get(Counter.WITHHELD_LIST_UNCONFIRMED));
    }

    private boolean permitsRest(Attempt attempt, Permission modulePermission, long now) {
        return gate.permitsRest(request, attempt, modulePermission, GRACE, now);
    }

    /** Guards against a message that blocks until its permission has ended: drains leave it the grace, all else ends it at once. */
    @Test
    void theRestOfAMessageNeedsPermissionToo() {
        gate.updateAvailability(list(ListMode.FULL, Availability.READY), 1);
        assertTrue(permitsRest(attempt(), Permission.ALLOWED, 2));
        assertFalse(permitsRest(attempt(), Permission.NOT_REPEATABLE, 2), "the window is over");
        assertFalse(permitsRest(attempt(), Permission.DATA_TOO_OLD, 2), "a bound counts from the last byte");
        gate.updateAvailability(list(ListMode.DELTA, Availability.DRAINING), 3);
        assertTrue(permitsRest(attempt(), Permission.SERVER_DRAINING, 2 + GRACE), "within the grace");
        assertFalse(permitsRest(attempt(), Permission.SERVER_DRAINING, 3 + GRACE));
        request.finished = true;
        assertFalse(permitsRest(attempt(), Permission.ALLOWED, 4), "the client has left");
        assertEquals(4, counters.get(Counter.WRITES_GIVEN_UP));
    }

    @Test
    void nothingIsSentForFinishedOrTimedOutRequests() {
        gate.updateAvailability(list(ListMode.FULL, Availability.READY), 1);
        assertFalse(permits(attempt(), Permission.DATA_TOO_OLD, 2), "the decision module denies it");
        assertFalse(permits(attempt(), Permission.ALLOWED, 1 + 1_000 * MS), "timed out");
        request.finished = true;
        assertFalse(permits(attempt(), Permission.ALLOWED, 2));
        assertEquals(1, counters.get(Counter.WITHHELD_REQUEST_OVER));
        assertEquals(1, counters.get(Counter.WITHHELD_TIME_OVER));
    }

    /** A send that breaks a rule because of an error elsewhere is detected at run time. */
    @Test
    void violationsAreCounted() {
        gate.updateAvailability(list(ListMode.FULL, Availability.READY), 1);
        gate.checkWritten(request, attempt(), false, GRACE, 2);
        assertEquals(1, counters.get(Counter.VIOLATIONS_UNPERMITTED), "sent without permission");

        Attempt late = attempt();
        assertTrue(permits(late, Permission.ALLOWED, 3));
        gate.updateAvailability(list(ListMode.DELTA, Availability.DRAINING), 4);
        gate.checkWritten(request, late, false, GRACE, 5);
        assertEquals(0, counters.get(Counter.VIOLATIONS_DRAIN), "within the grace");
        late.permittedAt = 5 + GRACE;
        request.clientLeftAt = 5;
        gate.checkWritten(request, late, false, GRACE, 6 + GRACE);
        assertEquals(1, counters.get(Counter.VIOLATIONS_DRAIN));
        assertEquals(1, counters.get(Counter.VIOLATIONS_CLIENT_GONE));

        request.effect = Effect.AT_MOST_ONCE;
        late.markWritten();
        Attempt second = attempt();
        second.permittedAt = 1;
        gate.checkWritten(request, second, false, GRACE, 2);
        assertEquals(1, counters.get(Counter.VIOLATIONS_REPEAT));
        late.recordOutcome(Outcome.FULL);
        gate.checkWritten(request, second, false, GRACE, 2);
        assertEquals(1, counters.get(Counter.VIOLATIONS_REPEAT), "the first was proven not to have run");
    }
}
