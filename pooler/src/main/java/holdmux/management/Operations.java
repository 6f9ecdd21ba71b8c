package holdmux.management;

import holdmux.core.Log;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** The operations available to operators. An order is stored and in force before it is confirmed. */
public final class Operations {
    private final OperatorState state;
    private final Predicate<String> isListed;
    private final BooleanSupplier ready;
    private final Consumer<Orders> applyOrders;
    private final Runnable notifyPeer;
    private final LongSupplier unixMs;

    /**
     * Puts the stored orders in force.
     *
     * @param state the stored orders
     * @param isListed whether discovery lists a server of this name
     * @param ready whether this process is ready to serve
     * @param applyOrders puts orders in force in this process before it returns
     * @param notifyPeer has the other process of this pooler put the stored orders in force before it returns
     * @param unixMs the current Unix time in milliseconds
     */
    public Operations(OperatorState state, Predicate<String> isListed, BooleanSupplier ready, Consumer<Orders> applyOrders,
            Runnable notifyPeer, LongSupplier unixMs) {
        this.state = state;
        this.isListed = isListed;
        this.ready = ready;
        this.applyOrders = applyOrders;
        this.notifyPeer = notifyPeer;
        this.unixMs = unixMs;
        applyOrders.accept(state.orders());
    }

    /** Whether this process accepts requests: it is ready, and its clients are not sent away. */
    boolean ready() {
        return ready.getAsBoolean() && !state.orders().evacuated();
    }

    /** Stops new requests to a server; returns false if the server is unknown. */
    boolean exclude(String server) throws IOException {
        return isKnown(server) && change("server " + server + " is left out", o -> o.exclude(server, unixMs.getAsLong()));
    }

    /** Undoes {@link #exclude}; returns false if the server is unknown. */
    boolean include(String server) throws IOException {
        return isKnown(server) && change("server " + server + " is put back", o -> o.include(server));
    }

    /** Sends clients away, or stops doing so; always returns true. */
    boolean evacuate(boolean evacuated) throws IOException {
        return change(evacuated ? "clients are sent away" : "clients are welcome again", o -> o.evacuate(evacuated));
    }

    /** Puts in force the orders that another process of this pooler has stored. */
    public synchronized void refresh() {
        applyOrders.accept(state.refresh());
    }

    private boolean isKnown(String server) {
        return isListed.test(server) || state.orders().excluded().containsKey(server);
    }

    private boolean change(String description, UnaryOperator<Orders> update) throws IOException {
        synchronized (this) {
            applyOrders.accept(state.change(update));
        }
        notifyPeer.run();
        Log.info("operators: " + description);
        return true;
    }
}
