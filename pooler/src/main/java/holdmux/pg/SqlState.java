package holdmux.pg;

/** The SQLSTATE codes that this program sends or acts on. */
final class SqlState {
    static final String TRANSACTION_RESOLUTION_UNKNOWN = "08007";
    static final String PROTOCOL_VIOLATION = "08P01";
    static final String FEATURE_NOT_SUPPORTED = "0A000";
    static final String CHARACTER_NOT_IN_REPERTOIRE = "22021";
    static final String INVALID_PARAMETER_VALUE = "22023";
    static final String READ_ONLY_SQL_TRANSACTION = "25006";
    static final String INVALID_AUTHORIZATION = "28000";
    static final String SYNTAX_ERROR = "42601";
    static final String TOO_MANY_CONNECTIONS = "53300";
    static final String PROGRAM_LIMIT_EXCEEDED = "54000";
    static final String QUERY_CANCELED = "57014";
    static final String CANNOT_CONNECT_NOW = "57P03";
    static final String SNAPSHOT_TOO_OLD = "72000";

    private SqlState() {}
}
