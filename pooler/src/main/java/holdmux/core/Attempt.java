package holdmux.core;

import holdmux.decision.SplitterApi.Outcome;
import java.io.Closeable;
import java.io.IOException;

/**
 * One send to one server while it runs. The thread that carries it out blocks on the connection it has handed in;
 * any other thread may cut it off, which closes that connection and so abandons the attempt.
 */
public final class Attempt {
    public final long serverId;
    public final long startedAt;
    public final long timeoutNs;
    /** The number of this attempt within its request. */
    final int number;
    private final SendGuard guard;
    /** When it was let go out, on the {@link Clock}; 0 if it was not. Under the balancer's lock. */
    long permittedAt;
    private Closeable connection;
    private Outcome abortOutcome;
    private boolean markWritten;
    private boolean markConnected;
    private boolean finished;
    private boolean failUnprocessed;

    /** The {@code number}-th of its request; {@code permit}: whether what it was decided on still holds, see {@link #mayWrite}. */
    public Attempt(long serverId, int number, long startedAt, long timeoutNs, SendGuard guard) {
        this.serverId = serverId;
        this.number = number;
        this.startedAt = startedAt;
        this.timeoutNs = timeoutNs;
        this.guard = guard;
    }

    /** Puts the attempt on a connection; false, with the connection closed, if it was cut off before. */
    public synchronized boolean attachConnection(Closeable connection) {
        if (abortOutcome != null) {
            close(connection);
            return false;
        }
        this.connection = connection;
        return true;
    }

    /** Its connection has come up: a connect time-out that was on its way no longer counts. */
    public synchronized void markConnected() {
        markConnected = true;
    }

    /**
     * Whether it may still be written, asked right before that: a connection that came up late has let data grow older
     * than a bound allows, a server lose its role or begin to drain. Where not, it was never sent.
     */
    public boolean mayWrite() {
        return guard.mayWrite();
    }

    /** From the last byte on it may have run. */
    public void markWritten() {
        synchronized (this) {
            markWritten = true;
        }
        guard.onWritten();
    }

    /** Notes how it ended. */
    synchronized void recordOutcome(Outcome outcome) {
        failUnprocessed = outcome.neverRan;
    }

    /** Whether it was written and nothing has proven since that it did not run. */
    synchronized boolean mayHaveRun() {
        return markWritten && !failUnprocessed;
    }

    /** Ends the attempt from outside, with the outcome it then has if its connection breaks. */
    public synchronized void abort(Outcome outcome) {
        if (!finished && abortOutcome == null && !(markConnected && outcome == Outcome.CONNECT_FAILED)) {
            abortOutcome = outcome;
            close(connection);
        }
    }

    /** The attempt has its whole answer: its connection is free, and a later cut does not touch it. */
    public synchronized boolean complete() {
        finished = abortOutcome == null;
        return finished;
    }

    /** What a broken connection means, by the protocol's table: nothing ran until the last byte was written. */
    public synchronized Outcome failDisconnected() {
        finished = true;
        if (markWritten) {
            return abortOutcome == null || abortOutcome == Outcome.CONNECT_FAILED ? Outcome.RESET : abortOutcome;
        }
        return abortOutcome == Outcome.CANCELLED ? Outcome.MOOT : Outcome.CONNECT_FAILED;
    }

    /** The connection broke, and its protocol proves that the server never took the request up. */
    public synchronized Outcome failUnprocessed() {
        finished = true;
        return abortOutcome == Outcome.CANCELLED ? Outcome.MOOT : Outcome.CONNECT_FAILED;
    }

    /** What it means that this program itself had no room to go on: the server is not to blame. */
    public synchronized Outcome failLocally() {
        finished = true;
        return markWritten ? Outcome.CANCELLED : Outcome.MOOT;
    }

    private static void close(Closeable connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // closing is all that was wanted; the peer sees the end either way
        }
    }
}
