package holdmux.core;

import holdmux.statement.Statement;

/** The servers' side of one protocol: carries attempts and probes out, and decides nothing. */
public interface Upstream {
    /**
     * How an attempt ended.
     *
     * @param value what was served, the caller's to close; null unless the outcome is OK, and also null where it is OK
     *     and the value cannot take the form that was wanted: then the request has run and cannot be answered with it
     */
    record Attempted(Reply reply, Value value) {}

    /** Carries out one attempt; blocks until it has ended, or its value has begun to come in the form wanted. */
    Attempted attempt(Attempt attempt, Statement statement, Value.Form wanted);

    /** Asks a server for its load report; blocks until that ends. */
    Reply probe(Attempt attempt);

    /** Closes all idle connections to a server. */
    void closeIdle(long store);
}
