package holdmux.management;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The orders of this pooler's own operators and those of the whole fleet's policy, put in force together. */
public final class OrdersInForce {
    private final Consumer<Orders> inForce;
    private final LongSupplier unixMs;
    private Orders own = Orders.NONE;
    private Orders fleet = Orders.NONE;

    public OrdersInForce(Consumer<Orders> inForce, LongSupplier unixMs) {
        this.inForce = inForce;
        this.unixMs = unixMs;
    }

    /** What this pooler's operators ordered, whole. */
    public synchronized void own(Orders orders) {
        own = orders;
        put();
    }

    /** What the fleet's policy orders here, whole; a server counts as left out since it was first named. */
    public synchronized void fleet(Set<String> excluded, boolean evacuated) {
        Map<String, Long> since = new TreeMap<>();
        excluded.forEach(server -> since.put(server, fleet.excluded().getOrDefault(server, unixMs.getAsLong())));
        fleet = new Orders(since, evacuated);
        put();
    }

    /** Whether the fleet's policy sends this pooler's clients away. */
    public synchronized boolean fleetEvacuates() {
        return fleet.evacuated();
    }

    private void put() {
        Map<String, Long> all = new TreeMap<>(fleet.excluded());
        all.putAll(own.excluded());
        inForce.accept(new Orders(all, own.evacuated() || fleet.evacuated()));
    }
}
