package holdmux.statement;

/** A statement that is refused before it reaches any server; carries the SQLSTATE that says why. */
public final class StatementException extends Exception {
    private static final long serialVersionUID = 1L;

    public final String sqlState;

    public StatementException(String sqlState, String message) {
        super(message, null, false, false);
        this.sqlState = sqlState;
    }
}
