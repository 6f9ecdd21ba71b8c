package holdmux.core;

import java.io.IOException;

/** A front's side of one request: it takes the client the one final answer, and decides nothing. */
public interface Client {
    /** In what form this front can pass a value on. */
    Value.Form form();

    /** Final answer: this value, which stays the caller's to close. */
    void serve(Value value) throws IOException;

    /** Final answer: refused, trying again is harmless and best done after so long (0: no advice). */
    void refuse(long waitNs) throws IOException;

    /** Final answer: failed; it may have taken effect. */
    void fail() throws IOException;
}
