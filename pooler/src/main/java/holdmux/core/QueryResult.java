package holdmux.core;

import java.io.Closeable;

/**
 * What a server gave for a request, on its way to the client. Whoever holds it closes it, passed on or not; that gives
 * back its buffers and its server's connection.
 */
public interface QueryResult extends Closeable {
    /** In what form a front can pass a value on. */
    enum Shape {
        /** One row of one column: a {@link ScalarResult}. */
        CELL,
        /** Any table that its front knows, or a {@link ScalarResult}. */
        TABLE
    }

    /** Gives back what it holds; never throws. */
    @Override
    void close();
}
