package holdmux.core;

import java.io.IOException;
import java.io.OutputStream;

/** The value that every front and every upstream knows: one row of one column, as bytes. */
public interface ScalarResult extends QueryResult {
    /** For {@link #length}: the column is null. */
    int NULL = -1;

    /** The column's name. */
    String column();

    /** How many bytes there are, or {@link #NULL}. */
    int length();

    /**
     * Passes all bytes on, once, as they come from the server.
     *
     * @throws IOException if not all of them came or could be written; some may have been
     */
    void writeTo(OutputStream out) throws IOException;
}
