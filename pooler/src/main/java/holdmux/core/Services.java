package holdmux.core;

import holdmux.config.Config;
import java.util.function.Supplier;

/** What one process has of each kind, for the fronts and upstreams that share it. */
public record Services(Config config, Balancer balancer, Admission admission, Fleet fleet, Clock clock,
        Deadlines deadlines, Counters counters, Workers workers, Shared shared, ServerSlots slots) {
    /** See {@link Steering#gate}. */
    public void gate(Supplier<String> closed) {
        admission.gate(closed);
    }

    /** See {@link Steering#show}. */
    public void show(String name, Supplier<String> value) {
        counters.show(name, value);
    }
}
