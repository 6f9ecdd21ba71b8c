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

    /** Releases the result's resources; never throws. */
    @Override
    void close();
}
