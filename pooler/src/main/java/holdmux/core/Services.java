package holdmux.core;

import holdmux.config.Config;

/** What one process has of each kind, for the fronts and upstreams that share it. */
public record Services(Config config, Balancer balancer, Admission admission, Fleet fleet, Clock clock,
        Deadlines deadlines, Counters counters, Workers workers, Shared shared, ServerSlots slots) {}
