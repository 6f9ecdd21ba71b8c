package holdmux.core;

import java.io.IOException;

/** Sends the only final answer of one request to its client, in the protocol of its front. */
public interface Responder {
    /** Returns the shape of result that this front can send. */
    QueryResult.Shape resultShape();

    /** Answers with this result, which the caller closes. */
    void serve(QueryResult result) throws IOException;

    /** Answers that the request was refused: a retry is safe, best after this time (0 for no hint). */
    void refuse(long retryAfterNs) throws IOException;

    /** Answers that the request failed; it may have taken effect. */
    void fail() throws IOException;
}
