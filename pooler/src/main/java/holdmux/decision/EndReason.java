package holdmux.decision;

/** Why a request was refused or failed rather than served. */
public enum EndReason {
    /** No server of its group could take the request in time. */
    NO_SERVER,
    /** Its deadline, or the time within which an answer is useful, has passed. */
    TIME_OVER,
    /** An attempt ended, and the request's class or the limit of attempts does not allow another. */
    NOT_REPEATABLE,
    /** Two servers answered the request with an error. */
    SERVERS_FAILED,
    /** An attempt was withheld since its client may have left unnoticed. */
    CLIENT_UNCERTAIN,
    /** This process is shutting down. */
    PROCESS_ENDS,
    /** Its class was removed from the settings while it was being received. */
    CLASS_DROPPED,
    /** An internal error of the pooler. */
    INTERNAL_ERROR
}
