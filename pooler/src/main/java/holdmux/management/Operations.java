package holdmux.management;

import holdmux.core.Log;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** What the operators may ask for. An order is kept and in force before its yes. */
public final class Operations {
    private final OperatorState state;
    private final Predicate<String> isListed;
    private final BooleanSupplier ready;
    private final Consumer<Orders> applyOrders;
    private final Runnable notifyPeer;
    private final LongSupplier unixMs;

    /**
     * {@code known}: whether there is a server of this name; {@code inForce} puts orders in force here, and
     * {@code tellPeer} in the other process of this pooler, both before they return.
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

    boolean ready() {
        return ready.getAsBoolean() && !state.orders().evacuated();
    }

    /** False for a server that nobody has heard of. */
    boolean exclude(String server) throws IOException {
        return isKnown(server) && change("server " + server + " is left out", o -> o.exclude(server, unixMs.getAsLong()));
    }

    boolean include(String server) throws IOException {
        return isKnown(server) && change("server " + server + " is put back", o -> o.include(server));
    }

    boolean evacuate(boolean evacuated) throws IOException {
        return change(evacuated ? "clients are sent away" : "clients are welcome again", o -> o.evacuate(evacuated));
    }

    /** Takes up what the other process of this pooler was ordered. */
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
