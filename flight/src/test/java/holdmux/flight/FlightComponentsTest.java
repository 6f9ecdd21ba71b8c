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

/** Unit tests of tickets, prepared statements, SQL templates, status classification and the memory budget; no sockets, no clock. */
class FlightComponentsTest {
    private static final byte[] KEY = new byte[32], STATEMENT = "SELECT 1".getBytes(StandardCharsets.UTF_8);

    @Test
    void ticketIsRedeemedOnceBeforeItExpires() throws Exception {
        Tickets tickets = new Tickets(KEY, 2, 100);
        byte[] ticket = tickets.issue(STATEMENT, 0);
        assertArrayEquals(STATEMENT, tickets.redeem(ticket, 99));
        assertEquals(Tickets.RejectReason.USED, rejectReason(tickets, ticket, 99));
        byte[] expired = tickets.issue(STATEMENT, 0);
        assertEquals(Tickets.RejectReason.ENDED, rejectReason(tickets, expired, 100));
        assertEquals(Tickets.RejectReason.FORGED, rejectReason(new Tickets(new byte[] {1}, 2, 100), tickets.issue(STATEMENT, 50), 60));
    }

    /** At the limit no ticket is issued until one expires. */
    @Test
    void outstandingTicketsAreLimitedAndExpire() {
        Tickets tickets = new Tickets(KEY, 2, 100);
        assertNotNull(tickets.issue(STATEMENT, 0));
        assertNotNull(tickets.issue(STATEMENT, 50));
        assertNull(tickets.issue(STATEMENT, 99));
        assertNotNull(tickets.issue(STATEMENT, 100));
        assertEquals(0, tickets.outstanding(1_000));
    }

    @Property(tries = 300, seed = "5")
    void corruptedTicketsAreRejected(@ForAll @Size(max = 80) byte[] bytes, @ForAll int position, @ForAll byte replacement) {
        Tickets tickets = new Tickets(KEY, 2, 100);
        assertEquals(Tickets.RejectReason.FORGED, rejectReason(tickets, bytes, 1));
        byte[] corrupted = tickets.issue(STATEMENT, 0);
        int index = Math.floorMod(position, corrupted.length);
        if (corrupted[index] != replacement) {
            corrupted[index] = replacement;
            assertEquals(Tickets.RejectReason.FORGED, rejectReason(tickets, corrupted, 1));
        }
        assertEquals(Tickets.RejectReason.FORGED, rejectReason(tickets, Arrays.copyOf(corrupted, index), 1));
    }

    private static Tickets.RejectReason rejectReason(Tickets tickets, byte[] ticket, long now) {
        return assertThrows(Tickets.InvalidTicketException.class, () -> tickets.redeem(ticket, now)).reason;
    }

    /** A connection can neither use nor close another's statements, and its own are closed when it ends. */
    @Test
    void preparedStatementsBelongToTheirConnection() throws Exception {
        PreparedStatements prepared = new PreparedStatements(3, 2);
        SqlTemplate template = new SqlTemplate("SELECT 1");
        var first = prepared.add("a", template);
        prepared.add("a", template);
        assertNull(prepared.add("a", template), "limit per connection");
        assertNotNull(prepared.add("b", template));
        assertNull(prepared.add("c", template), "limit in total");
        assertNull(prepared.get("b", first));
        prepared.close("b", first);
        assertNotNull(prepared.get("a", first));
        prepared.removeAll("a");
        assertEquals(1, prepared.size());
        assertNotNull(prepared.add("a", template));
    }

    /** A bound value must not be able to end its literal, and placeholders within quotes or comments are not replaced. */
    @Test
    void parametersBecomeLiterals() throws Exception {
        SqlTemplate template = new SqlTemplate("SELECT '?' /* ? */ WHERE a = ? AND b = $1 -- ?");
        assertEquals(1, template.parameterCount());
        assertEquals("SELECT '?' /* ? */ WHERE a = 'it''s' AND b = 'it''s' -- ?",
                template.substitute(List.of(SqlTemplate.toLiteral("it's"))));
        assertEquals("'\\x00ff'", SqlTemplate.toLiteral(new byte[] {0, -1}));
        assertEquals("7", SqlTemplate.toLiteral(7));
        assertThrows(StatementException.class, () -> template.substitute(List.of()));
        assertThrows(StatementException.class, () -> SqlTemplate.toLiteral("a\0b"));
    }

    /** Only what the transport proves counts as never processed; the description of a status sent by the server proves nothing. */
    @Test
    void onlyTransportEvidenceProvesThatNothingRan() {
        Status refused = Status.UNAVAILABLE.withDescription("RST_STREAM closed stream. HTTP/2 error code: REFUSED_STREAM");
        assertTrue(StatusClassifier.neverProcessed(refused, false));
        assertTrue(!StatusClassifier.neverProcessed(refused, true));
        assertTrue(!StatusClassifier.neverProcessed(Status.UNAVAILABLE.withDescription("io exception"), false));
        assertNull(StatusClassifier.outcome(Status.UNAVAILABLE, false));
        for (Status.Code code : Status.Code.values()) {
            boolean neverRan = StatusClassifier.outcome(code.toStatus(), true).neverRan;
            assertEquals(code == Status.Code.RESOURCE_EXHAUSTED || code == Status.Code.FAILED_PRECONDITION, neverRan, code + "");
        }
        assertEquals(Outcome.ERROR, StatusClassifier.outcome(Status.UNAVAILABLE, true));
    }

    @Test
    void budgetRefusesWhatDoesNotFitUnlessItIsEmpty() throws Exception {
        MemoryBudget budget = new MemoryBudget(10);
        assertTrue(budget.tryReserve(50), "an empty budget grants any size");
        assertTrue(!budget.tryReserve(1));
        assertTrue(!budget.reserve(1, 1));
        budget.adjust(-45);
        assertTrue(budget.reserve(5, 1));
        budget.release(10);
        assertEquals(0, budget.reservedBytes());
    }
}
