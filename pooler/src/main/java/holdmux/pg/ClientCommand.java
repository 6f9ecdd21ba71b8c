package holdmux.pg;

import holdmux.core.IdClaims;
import holdmux.statement.ChunkedText;
import holdmux.statement.QueryBuffers;
import holdmux.statement.Statement;

/**
 * A command that was read from a client and waits for its answer.
 *
 * @param kind what the command asks for
 * @param text the text of a request, held in pooled buffers if it is long; null otherwise
 * @param statement the parsed request; null otherwise
 * @param claim the claim on the id of a request; null otherwise
 * @param error the error in the input; null if there is none
 * @param delayNs how long a request may have lain unread, in nanoseconds
 */
record ClientCommand(Kind kind, ChunkedText text, Statement statement, IdClaims.Claim claim, ProtocolException error,
        long delayNs) {
    /** What a command asks for. */
    enum Kind { REQUEST, EMPTY_QUERY, SHOW_STATS, INVALID, TERMINATE }

    /** Creates a command without further data. */
    static ClientCommand of(Kind kind) {
        return new ClientCommand(kind, null, null, null, null, 0);
    }

    /** Creates a command for input that is answered with this error. */
    static ClientCommand invalid(ProtocolException error) {
        return new ClientCommand(Kind.INVALID, null, null, null, error, 0);
    }

    /** The same command, having lain for this time more. */
    ClientCommand delayedBy(long ns) {
        return new ClientCommand(kind, text, statement, claim, error, delayNs + ns);
    }

    /** Length of the text in bytes; 0 without one. */
    int length() {
        return text == null ? 0 : text.length;
    }

    /** Releases the buffers, and the request's id unless the request may have run. */
    void release(QueryBuffers buffers) {
        if (text != null) {
            text.release(buffers);
        }
        if (claim != null) {
            claim.end(false);
        }
    }
}
