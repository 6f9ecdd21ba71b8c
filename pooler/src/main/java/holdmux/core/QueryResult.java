package holdmux.core;

import java.io.Closeable;

/**
 * A server's result for a request, on its way to the client. Its owner must close it, whether it was sent or not; closing
 * releases its buffers and the server connection.
 */
public interface QueryResult extends Closeable {
    /** The shape of result that a front can send. */
    enum Shape {
        /** One row of one column: a {@link ScalarResult}. */
        CELL,
        /** A table in the front's own protocol, or a {@link ScalarResult}. */
        TABLE
    }

    /**
     * What the server states of itself behind a result that is passed on as it comes, once that has been passed on; null before,
     * and if the attempt's own reply has it already.
     */
    default Reply statusBehind() {
        return null;
    }

    /** Whether the server states its status behind this result, which has not been read yet. */
    default boolean isStatusPending() {
        return false;
    }

    /** Releases the result's resources; never throws. */
    @Override
    void close();
}
