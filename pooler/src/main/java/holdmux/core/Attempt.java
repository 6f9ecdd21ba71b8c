package holdmux.core;

import holdmux.decision.SplitterApi.Outcome;
import java.io.Closeable;
import java.io.IOException;
import java.util.function.BooleanSupplier;

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
    private final BooleanSupplier stands;
    private Closeable connection;
    private Outcome cutAs;
    private boolean written;
    private boolean connected;
    private boolean over;

    /** The {@code number}-th of its request; {@code stands}: whether what it was decided on still holds, see {@link #stands}. */
    public Attempt(long store, int number, long startedAt, long limitNs, BooleanSupplier stands) {
        this.store = store;
        this.number = number;
        this.startedAt = startedAt;
        this.limitNs = limitNs;
        this.stands = stands;
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
        return stands.getAsBoolean();
    }

    /** From the last byte on it may have run. */
    public synchronized void written() {
        written = true;
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
