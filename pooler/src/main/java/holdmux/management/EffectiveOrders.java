package holdmux.management;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The orders of this pooler's own operators and those of the whole fleet's policy, put in force together. */
public final class EffectiveOrders {
    private final Consumer<Orders> applyOrders;
    private final LongSupplier unixMs;
    private Orders setPoolerOrders = Orders.NONE;
    private Orders setFleetOrders = Orders.NONE;

    public EffectiveOrders(Consumer<Orders> applyOrders, LongSupplier unixMs) {
        this.applyOrders = applyOrders;
        this.unixMs = unixMs;
    }

    /** What this pooler's operators ordered, whole. */
    public synchronized void setPoolerOrders(Orders orders) {
        setPoolerOrders = orders;
        apply();
    }

    /** What the fleet's policy orders here, whole; a server counts as left out since it was first named. */
    public synchronized void setFleetOrders(Set<String> excluded, boolean evacuated) {
        Map<String, Long> since = new TreeMap<>();
        excluded.forEach(server -> since.put(server, setFleetOrders.excluded().getOrDefault(server, unixMs.getAsLong())));
        setFleetOrders = new Orders(since, evacuated);
        apply();
    }

    /** Whether the fleet's policy sends this pooler's clients away. */
    public synchronized boolean fleetEvacuates() {
        return setFleetOrders.evacuated();
    }

    private void apply() {
        Map<String, Long> merged = new TreeMap<>(setFleetOrders.excluded());
        merged.putAll(setPoolerOrders.excluded());
        applyOrders.accept(new Orders(merged, setPoolerOrders.evacuated() || setFleetOrders.evacuated()));
    }
}
