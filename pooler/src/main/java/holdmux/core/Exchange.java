package holdmux.core;

import java.io.IOException;

/** A front end's side of one request: it speaks to servers and to the client, and decides nothing. */
public interface Exchange {
    /** Carries out one attempt, blocking until it ends; keeps what was served for {@link #serve}. */
    Reply attempt(Attempt attempt);

    /** Final answer: the value of the attempt that was served last. */
    void serve() throws IOException;

    /** Final answer: refused, trying again is harmless and best done after so long (0: no advice). */
    void refuse(long waitNs) throws IOException;

    /** Final answer: failed; it may have taken effect. */
    void fail() throws IOException;
}
