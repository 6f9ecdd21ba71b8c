package holdmux.core;

import holdmux.statement.Statement;

/** The server side of one protocol: runs attempts and probes; all decisions are made elsewhere. */
public interface Upstream {
    /**
     * How an attempt ended.
     *
     * @param queryResult the result, to be closed by the caller; null unless the outcome is OK. It is also null if the
     *     outcome is OK but the result does not fit the requested shape: the request has run, but cannot be answered
     */
    record AttemptResult(Reply reply, QueryResult queryResult) {}

    /** Runs one attempt; blocks until it has ended, or its result has begun to arrive in the requested shape. */
    AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape);

    /** Asks a server for its load report; blocks until the probe has ended. */
    Reply probe(Attempt attempt);

    /** Closes all idle connections to a server. */
    void closeIdle(long serverId);
}
