package holdmux.management;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Combines the orders of this pooler's operators with those of the fleet's policy, and puts the result in force. */
public final class EffectiveOrders {
    private final Consumer<Orders> applyOrders;
    private final LongSupplier unixMs;
    private Orders poolerOrders = Orders.NONE;
    private Orders fleetOrders = Orders.NONE;

    /** {@code applyOrders}: puts the combined orders in force; {@code unixMs}: the current Unix time in milliseconds. */
    public EffectiveOrders(Consumer<Orders> applyOrders, LongSupplier unixMs) {
        this.applyOrders = applyOrders;
        this.unixMs = unixMs;
    }

    /** Replaces the orders of this pooler's operators. */
    public synchronized void setPoolerOrders(Orders orders) {
        poolerOrders = orders;
        apply();
    }

    /** Replaces the orders of the fleet's policy; a server counts as excluded since the policy first named it. */
    public synchronized void setFleetOrders(Set<String> excluded, boolean evacuated) {
        Map<String, Long> since = new TreeMap<>();
        excluded.forEach(server -> since.put(server, fleetOrders.excluded().getOrDefault(server, unixMs.getAsLong())));
        fleetOrders = new Orders(since, evacuated);
        apply();
    }

    /** Whether the fleet's policy sends the clients of this pooler away. */
    public synchronized boolean fleetEvacuates() {
        return fleetOrders.evacuated();
    }

    private void apply() {
        Map<String, Long> merged = new TreeMap<>(fleetOrders.excluded());
        merged.putAll(poolerOrders.excluded());
        applyOrders.accept(new Orders(merged, poolerOrders.evacuated() || fleetOrders.evacuated()));
    }
}
