package holdmux.core;

import holdmux.decision.ReadProof;
import holdmux.decision.SplitterApi.Outcome;
import java.io.Closeable;
import java.io.IOException;

/**
 * One attempt to run a request, or a probe, on one server. The thread that runs it blocks on the attached connection; any
 * other thread may abort it, which closes that connection.
 */
public final class Attempt {
    /** The server's number in {@link ServerRegistry}. */
    public final long serverId;
    /** When the attempt was started, on the {@link Clock}. */
    public final long startedAt;
    /** How long the attempt may take, in nanoseconds from {@link #startedAt}. */
    public final long timeoutNs;
    /** The index of this attempt within its request. */
    final int number;
    private final SendGuard guard;
    /** When the send was permitted, on the {@link Clock}; 0 if it was not. Guarded by the balancer's lock. */
    long permittedAt;
    /** Why its server's data are new enough, as of {@link #permittedAt}; null before. Guarded by the balancer's lock. */
    ReadProof proof;
    private Closeable connection;
    private Outcome abortOutcome;
    /** Whether the last byte has been written. */
    private boolean written;
    private boolean connected;
    private boolean finished;
    /** Whether it was given up because the rest of its message may no longer be written. */
    private boolean writeAbandoned;
    /** Whether the outcome proves that the request never ran. */
    private boolean neverRan;

    /** Creates the {@code number}-th attempt of its request; {@code guard} is consulted by {@link #mayWrite}. */
    public Attempt(long serverId, int number, long startedAt, long timeoutNs, SendGuard guard) {
        this.serverId = serverId;
        this.number = number;
        this.startedAt = startedAt;
        this.timeoutNs = timeoutNs;
        this.guard = guard;
    }

    /** Attaches the connection that the attempt uses; if it was aborted before, closes the connection and returns false. */
    public synchronized boolean attachConnection(Closeable connection) {
        if (abortOutcome != null) {
            close(connection);
            return false;
        }
        this.connection = connection;
        return true;
    }

    /** Notes that the connection is established: a connect time-out that fires from now on is ignored. */
    public synchronized void markConnected() {
        connected = true;
    }

    /**
     * Returns whether the request may still be written; to be called right before the write. While a connection was being
     * established, a replica's data may have become older than a bound allows, and a server may have lost its role or
     * begun to drain. If false, the request was never sent.
     */
    public boolean mayWrite() {
        return guard.mayWrite();
    }

    /** How much of the attempt's time is left, in whole milliseconds and at least one: what a server is told. */
    public long remainingMs(long now) {
        return Math.max(1, (startedAt + timeoutNs - now) / Clock.MS);
    }

    /**
     * Gives the attempt up unless the rest of its message may still be written; does nothing once the last byte was. Any thread may
     * call it: the thread that writes may block for as long as the server does not read.
     */
    public void recheckWrite() {
        if (!guard.mayContinue()) {
            abandonWrite();
        }
    }

    /** Closes the connection in the middle of a message, which the server then never runs. */
    public synchronized void abandonWrite() {
        if (!written && !finished && abortOutcome == null) {
            writeAbandoned = true;
            close(connection);
        }
    }

    /** Notes that the last byte has been written: from now on the request may have run. */
    public void markWritten() {
        synchronized (this) {
            written = true;
        }
        guard.onWritten();
    }

    /** Whether the last byte has been written, so that the server may have processed the request. */
    public synchronized boolean isWritten() {
        return written;
    }

    /** Records how the attempt ended. */
    synchronized void recordOutcome(Outcome outcome) {
        neverRan = outcome.neverRan;
    }

    /** Whether the request was written and its outcome does not prove that it never ran. */
    synchronized boolean mayHaveRun() {
        return written && !neverRan;
    }

    /**
     * Aborts the attempt from another thread by closing its connection. The first call sets the outcome that the attempt has
     * if it was written; calls after its end are ignored.
     */
    public synchronized void abort(Outcome outcome) {
        if (!finished && abortOutcome == null && !(connected && outcome == Outcome.CONNECT_FAILED)) {
            abortOutcome = outcome;
            close(connection);
        }
    }

    /** Ends the attempt with its complete answer; false if it was aborted before. A later abort leaves its connection open. */
    public synchronized boolean complete() {
        finished = abortOutcome == null && !writeAbandoned;
        return finished;
    }

    /** Ends the attempt on a broken connection and returns its outcome: nothing ran unless the last byte was written. */
    public synchronized Outcome failDisconnected() {
        finished = true;
        if (written) {
            return abortOutcome == null || abortOutcome == Outcome.CONNECT_FAILED ? Outcome.RESET : abortOutcome;
        }
        return writeAbandoned || abortOutcome == Outcome.CANCELLED ? Outcome.MOOT : Outcome.CONNECT_FAILED;
    }

    /** Ends the attempt on a broken connection whose protocol proves that the server never processed the request. */
    public synchronized Outcome failUnprocessed() {
        finished = true;
        return abortOutcome == Outcome.CANCELLED ? Outcome.MOOT : Outcome.CONNECT_FAILED;
    }

    /** Ends the attempt for lack of resources in this process; the outcome does not count against the server. */
    public synchronized Outcome failLocally() {
        finished = true;
        return written ? Outcome.CANCELLED : Outcome.MOOT;
    }

    private static void close(Closeable connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // the connection is unusable either way, and the peer sees it end
        }
    }
}
