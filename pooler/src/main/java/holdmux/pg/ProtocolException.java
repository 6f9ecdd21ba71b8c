package holdmux.pg;

import holdmux.statement.StatementException;

/** Input that breaks the protocol; carries the SQLSTATE of the ErrorResponse that it deserves. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Whether the framing still holds, so that the connection can go on after the ErrorResponse. */
    final boolean framingIntact;
    final String sqlState;

    private ProtocolException(boolean framingIntact, String sqlState, String message) {
        super(message, null, false, false);
        this.framingIntact = framingIntact;
        this.sqlState = sqlState;
    }

    /** A statement that is refused; the connection goes on. */
    static ProtocolException rejected(StatementException e) {
        return new ProtocolException(true, e.sqlState, e.getMessage());
    }

    /** A command that is refused whatever it says; the connection goes on. */
    static ProtocolException refused(String sqlState, String message) {
        return new ProtocolException(true, sqlState, message);
    }

    /** The framing is lost or the peer is no client of ours; the connection ends. */
    static ProtocolException fatal(String sqlState, String message) {
        return new ProtocolException(false, sqlState, message);
    }
}
