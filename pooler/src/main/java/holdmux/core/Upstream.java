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
    record AttemptResult(Reply reply, QueryResult queryResult) {}

    /** Carries out one attempt; blocks until it has ended, or its value has begun to come in the form wanted. */
    AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape);

    /** Asks a server for its load report; blocks until that ends. */
    Reply probe(Attempt attempt);

    /** Closes all idle connections to a server. */
    void closeIdle(long serverId);
}
