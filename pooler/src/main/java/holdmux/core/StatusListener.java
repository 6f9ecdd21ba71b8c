package holdmux.core;

/**
 * Receives what servers state of themselves outside of the reply to an attempt or a probe, and is told of exchanges in which such
 * a statement may have been lost. Methods may be called by any thread.
 */
public interface StatusListener {
    /**
     * A server has stated its role or position.
     *
     * @param askedAt when the exchange began in which it did, on the {@link Clock}
     * @param status what it stated; the outcome has no meaning
     */
    void stated(long serverId, long askedAt, Reply status);

    /** An exchange with a server ended before what the server may have stated in it was read. */
    void missed(long serverId);
}
