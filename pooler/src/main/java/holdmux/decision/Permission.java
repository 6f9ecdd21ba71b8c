package holdmux.decision;

/** Whether an attempt or a probe may be sent to a server now, and if not, why. */
public enum Permission {
    /** It may be sent. */
    ALLOWED,
    /** The request already has its final answer, or its client has left. */
    REQUEST_OVER,
    /** Its client may have left, unnoticed behind input that has not been read. */
    CLIENT_UNCERTAIN,
    /** It may have run and must not run again, or its deduplication window is over. */
    NOT_REPEATABLE,
    /** The attempt has timed out. */
    TIME_OVER,
    /** Discovery has not confirmed the server list since the start, so draining servers are not known. */
    LIST_UNCONFIRMED,
    /** Discovery or an operator is draining the server: it finishes current work and takes no new requests. */
    SERVER_DRAINING,
    /** Discovery has removed the server or moved it to another group. */
    SERVER_GONE,
    /** The server is not known to have reached the required position, or its role is uncertain. */
    DATA_TOO_OLD,
    /** The server would not recognise a repeat of an attempt that another server may have run. */
    OUT_OF_SCOPE
}
