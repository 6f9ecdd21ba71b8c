package holdmux.core;

import java.io.IOException;

/** A front's side of one request: it takes the client the one final answer, and decides nothing. */
public interface Responder {
    /** In what form this front can pass a value on. */
    QueryResult.Shape resultShape();

    /** Final answer: this value, which stays the caller's to close. */
    void serve(QueryResult result) throws IOException;

    /** Final answer: refused, trying again is harmless and best done after so long (0: no advice). */
    void refuse(long retryAfterNs) throws IOException;

    /** Final answer: failed; it may have taken effect. */
    void fail() throws IOException;
}
