package holdmux.statement;

/** SQLSTATE codes that the pooler sends or acts on. */
public final class SqlState {
    public static final String TRANSACTION_RESOLUTION_UNKNOWN = "08007";
    public static final String PROTOCOL_VIOLATION = "08P01";
    public static final String FEATURE_NOT_SUPPORTED = "0A000";
    public static final String CHARACTER_NOT_IN_REPERTOIRE = "22021";
    public static final String INVALID_PARAMETER_VALUE = "22023";
    public static final String READ_ONLY_SQL_TRANSACTION = "25006";
    public static final String INVALID_AUTHORIZATION = "28000";
    public static final String SYNTAX_ERROR = "42601";
    public static final String TOO_MANY_CONNECTIONS = "53300";
    public static final String PROGRAM_LIMIT_EXCEEDED = "54000";
    public static final String QUERY_CANCELED = "57014";
    public static final String CANNOT_CONNECT_NOW = "57P03";
    public static final String SNAPSHOT_TOO_OLD = "72000";

    private SqlState() {}
}
