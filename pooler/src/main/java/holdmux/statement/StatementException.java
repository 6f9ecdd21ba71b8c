package holdmux.statement;

/** Thrown for a statement that is refused before it reaches any server; carries the SQLSTATE of the refusal. */
public final class StatementException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The SQLSTATE that the client is answered with. */
    public final String sqlState;

    /** Creates an exception without a stack trace: refusals are ordinary and may be frequent. */
    public StatementException(String sqlState, String message) {
        super(message, null, false, false);
        this.sqlState = sqlState;
    }
}
