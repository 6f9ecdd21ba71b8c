package holdmux.core;

/** Tells whether the client of a request may have closed its connection without this process having noticed. */
@FunctionalInterface
public interface ClientWatch {
    /** A watch for a front that notices every close at once. */
    ClientWatch IMMEDIATE = now -> 0;

    /**
     * How long ago, in nanoseconds, a close may have come that has not been noticed: since when input has been waiting to be read,
     * behind which a close cannot be seen. 0 if everything that has come is read.
     *
     * @param now the time of the {@link Clock}
     */
    long unnoticedCloseNs(long now);
}
