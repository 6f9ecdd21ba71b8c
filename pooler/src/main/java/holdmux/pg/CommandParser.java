package holdmux.pg;

import holdmux.core.Admission;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.IdClaims;
import holdmux.decision.SplitterApi.Effect;
import holdmux.pg.ClientCommand.Kind;
import holdmux.statement.ChunkedText;
import holdmux.statement.QueryBuffers;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import java.util.Locale;

/**
 * Turns the queries of clients into commands. The id of a request is claimed as soon as it is read, so that a copy that comes
 * while the request waits for its turn on its connection does not take its place.
 */
final class CommandParser {
    /** 32 bytes hold SHOW STATS and some white space; longer queries are statements. */
    private static final int MAX_SHOW_STATS_BYTES = 32;
    private static final ProtocolException NO_BUFFER =
            ProtocolException.refused(SqlState.TOO_MANY_CONNECTIONS, "no memory for a query of this length at present");

    private final Admission admission;
    private final IdClaims ids;
    private final QueryBuffers buffers;
    private final Counters counters;

    CommandParser(Admission admission, IdClaims ids, QueryBuffers buffers, Counters counters) {
        this.admission = admission;
        this.ids = ids;
        this.buffers = buffers;
        this.counters = counters;
    }

    /** Parses a query; the buffers of its text go to the command or are released. */
    ClientCommand parse(QueryReader.Query query) {
        ChunkedText text = query.text();
        if (text == null) {
            counters.count(Counter.QUERIES_WITHOUT_BUFFER);
            return ClientCommand.invalid(NO_BUFFER);
        }
        ClientCommand command = null;
        try {
            command = parse(text, query.delayNs());
            return command;
        } catch (ProtocolException e) {
            return ClientCommand.invalid(e);
        } catch (StatementException e) {
            return ClientCommand.invalid(ProtocolException.rejected(e));
        } finally {
            if (command == null || command.text() == null) {
                text.release(buffers);
            }
        }
    }

    private ClientCommand parse(ChunkedText text, long delayNs) throws ProtocolException, StatementException {
        int end = text.length - 1;
        if (end < 0 || text.byteAt(end) != 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "query is not zero-terminated");
        } else if (isBlank(text, end)) {
            return ClientCommand.of(Kind.EMPTY_QUERY);
        } else if (isShowStats(text, end)) {
            return ClientCommand.of(Kind.SHOW_STATS);
        }
        Statement statement = Statement.parse(text.withoutLastByte());
        IdClaims.Claim claim = ids.claim(statement, effect(statement));
        return new ClientCommand(Kind.REQUEST, text, statement, claim, null, delayNs);
    }

    /**
     * Returns how often a request may take effect. A statement that is not admitted must not use up an id, so it is checked
     * here; while all requests are refused, which is said first, the classes and groups may be unknown.
     */
    private Effect effect(Statement statement) throws StatementException {
        if (admission.refusal() != null) {
            return Effect.AT_MOST_ONCE;
        }
        admission.admit(statement, Long.MAX_VALUE);
        return admission.requestClass(statement.className).effect();
    }

    private static boolean isBlank(ChunkedText query, int end) {
        for (int i = 0; i < end; i++) {
            if (" ;\n\t\r".indexOf(query.byteAt(i)) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isShowStats(ChunkedText query, int end) {
        return end < MAX_SHOW_STATS_BYTES && query.substring(0, end).strip().toUpperCase(Locale.ROOT)
                .matches("SHOW STATS\\s*;?");
    }
}
