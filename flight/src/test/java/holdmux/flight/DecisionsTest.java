package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.Outcome;
import holdmux.statement.StatementException;
import io.grpc.Status;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The classes that decide, without sockets and clocks. */
class DecisionsTest {
    private static final byte[] KEY = new byte[32], STATEMENT = "SELECT 1".getBytes(StandardCharsets.UTF_8);

    @Test
    void aTicketIsRedeemedOnceAndInTime() throws Exception {
        Tickets tickets = new Tickets(KEY, 2, 100);
        byte[] ticket = tickets.issue(STATEMENT, 0);
        assertArrayEquals(STATEMENT, tickets.redeem(ticket, 99));
        assertEquals(Tickets.Fault.USED, refused(tickets, ticket, 99));
        byte[] late = tickets.issue(STATEMENT, 0);
        assertEquals(Tickets.Fault.ENDED, refused(tickets, late, 100));
        assertEquals(Tickets.Fault.FORGED, refused(new Tickets(new byte[] {1}, 2, 100), tickets.issue(STATEMENT, 50), 60));
    }

    /** At the cap the next is refused at once; what has ended makes room again. */
    @Test
    void ticketsAreBoundedAndShrinkAgain() {
        Tickets tickets = new Tickets(KEY, 2, 100);
        assertNotNull(tickets.issue(STATEMENT, 0));
        assertNotNull(tickets.issue(STATEMENT, 50));
        assertNull(tickets.issue(STATEMENT, 99));
        assertNotNull(tickets.issue(STATEMENT, 100));
        assertEquals(0, tickets.out(1_000));
    }

    @Property(tries = 300, seed = "5")
    void noOtherBytesAreATicket(@ForAll @Size(max = 80) byte[] bytes, @ForAll int place, @ForAll byte other) {
        Tickets tickets = new Tickets(KEY, 2, 100);
        assertEquals(Tickets.Fault.FORGED, refused(tickets, bytes, 1));
        byte[] spoilt = tickets.issue(STATEMENT, 0);
        int at = Math.floorMod(place, spoilt.length);
        if (spoilt[at] != other) {
            spoilt[at] = other;
            assertEquals(Tickets.Fault.FORGED, refused(tickets, spoilt, 1));
        }
        assertEquals(Tickets.Fault.FORGED, refused(tickets, Arrays.copyOf(spoilt, at), 1));
    }

    private static Tickets.Fault refused(Tickets tickets, byte[] ticket, long now) {
        return assertThrows(Tickets.RefusedException.class, () -> tickets.redeem(ticket, now)).fault;
    }

    /** A connection's statements go with it, and one connection's are not another's. */
    @Test
    void preparedStatementsBelongToTheirConnection() throws Exception {
        Prepared prepared = new Prepared(3, 2);
        Placeholders text = new Placeholders("SELECT 1");
        var first = prepared.add("a", text);
        prepared.add("a", text);
        assertNull(prepared.add("a", text), "the cap of one connection");
        assertNotNull(prepared.add("b", text));
        assertNull(prepared.add("c", text), "the cap of all");
        assertNull(prepared.get("b", first));
        prepared.close("b", first);
        assertNotNull(prepared.get("a", first));
        prepared.gone("a");
        assertEquals(1, prepared.size());
        assertNotNull(prepared.add("a", text));
    }

    /** A bound value must never end its literal, and a mark within quotes or comments is no place for one. */
    @Test
    void parametersBecomeLiterals() throws Exception {
        Placeholders text = new Placeholders("SELECT '?' /* ? */ WHERE a = ? AND b = $1 -- ?");
        assertEquals(1, text.count());
        assertEquals("SELECT '?' /* ? */ WHERE a = 'it''s' AND b = 'it''s' -- ?",
                text.with(List.of(Placeholders.literal("it's"))));
        assertEquals("'\\x00ff'", Placeholders.literal(new byte[] {0, -1}));
        assertEquals("7", Placeholders.literal(7));
        assertThrows(StatementException.class, () -> text.with(List.of()));
        assertThrows(StatementException.class, () -> Placeholders.literal("a\0b"));
    }

    /** Only frames that prove it may say that nothing ran; a server's own words prove nothing about the transport. */
    @Test
    void onlyProofsSayThatNothingRan() {
        Status refused = Status.UNAVAILABLE.withDescription("RST_STREAM closed stream. HTTP/2 error code: REFUSED_STREAM");
        assertTrue(Proof.neverProcessed(refused, false));
        assertTrue(!Proof.neverProcessed(refused, true));
        assertTrue(!Proof.neverProcessed(Status.UNAVAILABLE.withDescription("io exception"), false));
        assertNull(Proof.outcome(Status.UNAVAILABLE, false));
        for (Status.Code code : Status.Code.values()) {
            boolean never = Proof.outcome(code.toStatus(), true).neverRan;
            assertEquals(code == Status.Code.RESOURCE_EXHAUSTED || code == Status.Code.FAILED_PRECONDITION, never, code + "");
        }
        assertEquals(Outcome.ERROR, Proof.outcome(Status.UNAVAILABLE, true));
    }

    @Test
    void theBudgetRefusesWhatItHasNoRoomForAndLetsOneThrough() throws Exception {
        Budget budget = new Budget(10);
        assertTrue(budget.tryTake(50), "whatever is asked fits an empty budget");
        assertTrue(!budget.tryTake(1));
        assertTrue(!budget.take(1, 1));
        budget.adjust(-45);
        assertTrue(budget.take(5, 1));
        budget.give(10);
        assertEquals(0, budget.held());
    }
}
