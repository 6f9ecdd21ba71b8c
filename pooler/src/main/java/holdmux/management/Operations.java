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
    private final Predicate<String> known;
    private final BooleanSupplier ready;
    private final Consumer<Orders> inForce;
    private final Runnable tellPeer;
    private final LongSupplier unixMs;

    /**
     * {@code known}: whether there is a server of this name; {@code inForce} puts orders in force here, and
     * {@code tellPeer} in the other process of this pooler, both before they return.
     */
    public Operations(OperatorState state, Predicate<String> known, BooleanSupplier ready, Consumer<Orders> inForce,
            Runnable tellPeer, LongSupplier unixMs) {
        this.state = state;
        this.known = known;
        this.ready = ready;
        this.inForce = inForce;
        this.tellPeer = tellPeer;
        this.unixMs = unixMs;
        inForce.accept(state.orders());
    }

    boolean ready() {
        return ready.getAsBoolean() && !state.orders().evacuated();
    }

    /** False for a server that nobody has heard of. */
    boolean exclude(String server) throws IOException {
        return of(server) && order("server " + server + " is left out", o -> o.exclude(server, unixMs.getAsLong()));
    }

    boolean include(String server) throws IOException {
        return of(server) && order("server " + server + " is put back", o -> o.include(server));
    }

    boolean evacuate(boolean yes) throws IOException {
        return order(yes ? "clients are sent away" : "clients are welcome again", o -> o.evacuate(yes));
    }

    /** Takes up what the other process of this pooler was ordered. */
    public synchronized void refresh() {
        inForce.accept(state.refresh());
    }

    private boolean of(String server) {
        return known.test(server) || state.orders().excluded().containsKey(server);
    }

    private boolean order(String words, UnaryOperator<Orders> change) throws IOException {
        synchronized (this) {
            inForce.accept(state.change(change));
        }
        tellPeer.run();
        Log.info("operators: " + words);
        return true;
    }
}
