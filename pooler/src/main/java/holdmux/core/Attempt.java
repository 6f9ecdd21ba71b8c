package holdmux.core;

import holdmux.decision.SplitterApi.Outcome;
import java.io.Closeable;
import java.io.IOException;

/**
 * One send to one server while it runs. The thread that carries it out blocks on the connection it has handed in;
 * any other thread may cut it off, which closes that connection and so abandons the attempt.
 */
public final class Attempt {
    public final long store;
    public final long startedAt;
    public final long limitNs;
    /** The number of this attempt within its request. */
    final int number;
    private final Permit permit;
    /** When it was let go out, on the {@link Clock}; 0 if it was not. Under the balancer's lock. */
    long permittedAt;
    private Closeable connection;
    private Outcome cutAs;
    private boolean written;
    private boolean connected;
    private boolean over;
    private boolean provenUnrun;

    /** The {@code number}-th of its request; {@code permit}: whether what it was decided on still holds, see {@link #stands}. */
    public Attempt(long store, int number, long startedAt, long limitNs, Permit permit) {
        this.store = store;
        this.number = number;
        this.startedAt = startedAt;
        this.limitNs = limitNs;
        this.permit = permit;
    }

    /** Puts the attempt on a connection; false, with the connection closed, if it was cut off before. */
    public synchronized boolean carriedBy(Closeable connection) {
        if (cutAs != null) {
            close(connection);
            return false;
        }
        this.connection = connection;
        return true;
    }

    /** Its connection has come up: a connect time-out that was on its way no longer counts. */
    public synchronized void connected() {
        connected = true;
    }

    /**
     * Whether it may still be written, asked right before that: a connection that came up late has let data grow older
     * than a bound allows, a server lose its role or begin to drain. Where not, it was never sent.
     */
    public boolean stands() {
        return permit.mayWrite();
    }

    /** From the last byte on it may have run. */
    public void written() {
        synchronized (this) {
            written = true;
        }
        permit.written();
    }

    /** Notes how it ended. */
    synchronized void ended(Outcome outcome) {
        provenUnrun = outcome.neverRan;
    }

    /** Whether it was written and nothing has proven since that it did not run. */
    synchronized boolean mayHaveRun() {
        return written && !provenUnrun;
    }

    /** Ends the attempt from outside, with the outcome it then has if its connection breaks. */
    public synchronized void cut(Outcome as) {
        if (!over && cutAs == null && !(connected && as == Outcome.CONNECT_FAILED)) {
            cutAs = as;
            close(connection);
        }
    }

    /** The attempt has its whole answer: its connection is free, and a later cut does not touch it. */
    public synchronized boolean complete() {
        over = cutAs == null;
        return over;
    }

    /** What a broken connection means, by the protocol's table: nothing ran until the last byte was written. */
    public synchronized Outcome broken() {
        over = true;
        if (written) {
            return cutAs == null || cutAs == Outcome.CONNECT_FAILED ? Outcome.RESET : cutAs;
        }
        return cutAs == Outcome.CANCELLED ? Outcome.MOOT : Outcome.CONNECT_FAILED;
    }

    /** The connection broke, and its protocol proves that the server never took the request up. */
    public synchronized Outcome provenUnrun() {
        over = true;
        return cutAs == Outcome.CANCELLED ? Outcome.MOOT : Outcome.CONNECT_FAILED;
    }

    /** What it means that this program itself had no room to go on: the server is not to blame. */
    public synchronized Outcome droppedHere() {
        over = true;
        return written ? Outcome.CANCELLED : Outcome.MOOT;
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
