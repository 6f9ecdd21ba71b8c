package holdmux.core;

import java.io.IOException;
import java.io.OutputStream;

/** One row of one column, as bytes: the result that every front and every upstream supports. */
public interface ScalarResult extends QueryResult {
    /** The {@link #length} of SQL null. */
    int NULL = -1;

    /** Returns the column's name. */
    String column();

    /** Returns the number of bytes, or {@link #NULL}. */
    int length();

    /**
     * Copies all bytes to a stream as they arrive from the server; can be called once.
     *
     * @throws IOException if not all bytes arrived or could be written; some may have been written
     */
    void writeTo(OutputStream out) throws IOException;
}
