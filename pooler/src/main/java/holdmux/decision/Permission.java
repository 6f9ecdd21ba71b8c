package holdmux.decision;

/** Whether an attempt or a probe may be written to a server now, and if not, why not. */
public enum Permission {
    ALLOWED,
    /** The request has its final answer, or its client has gone. */
    REQUEST_OVER,
    /** It may have run and may not run again, or not any more: the window for repeats is over. */
    NOT_REPEATABLE,
    /** The attempt's time is over. */
    TIME_OVER,
    /** Discovery has not confirmed the list of servers since the start: which of them drain is not known. */
    LIST_UNCONFIRMED,
    /** Discovery or the operators have the server draining: it finishes what it has and takes nothing new. */
    SERVER_DRAINING,
    /** Discovery has removed the server, or it is in another group by now. */
    SERVER_GONE,
    /** The server is not known to hold data as new as the request needs, or its role is in doubt. */
    DATA_TOO_OLD,
    /** The server would not recognise a repeat that another one may have run. */
    OUT_OF_SCOPE
}
