package holdmux.decision;

/** Why a request was refused or failed rather than served. */
public enum EndReason {
    /** No server of its group could be given the request in time. */
    NO_SERVER,
    /** Its time, or the time within which an answer is of use, is over. */
    TIME_OVER,
    /** An attempt has ended, and another one is not allowed: by the request's class or by the number of attempts. */
    NOT_REPEATABLE,
    /** Two servers answered it with an error. */
    SERVERS_FAILED,
    /** This process is about to end. */
    PROCESS_ENDS,
    /** Its class was dropped from the settings while it came in. */
    CLASS_DROPPED,
    /** A fault of this program. */
    INTERNAL_ERROR
}
