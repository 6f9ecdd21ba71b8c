package holdmux.pg;

import holdmux.statement.StatementException;

/** Input that violates the protocol or is refused; carries the SQLSTATE of the ErrorResponse to send. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Whether the message framing is intact, so that the connection can continue after the ErrorResponse. */
    final boolean framingIntact;
    final String sqlState;

    private ProtocolException(boolean framingIntact, String sqlState, String message) {
        super(message, null, false, false);
        this.framingIntact = framingIntact;
        this.sqlState = sqlState;
    }

    /** An invalid statement; the connection stays open. */
    static ProtocolException rejected(StatementException e) {
        return new ProtocolException(true, e.sqlState, e.getMessage());
    }

    /** A command refused regardless of its content; the connection stays open. */
    static ProtocolException refused(String sqlState, String message) {
        return new ProtocolException(true, sqlState, message);
    }

    /** The framing is lost or the peer uses an unsupported protocol; the connection is closed. */
    static ProtocolException fatal(String sqlState, String message) {
        return new ProtocolException(false, sqlState, message);
    }
}
