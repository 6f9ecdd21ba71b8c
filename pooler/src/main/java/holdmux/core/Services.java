package holdmux.core;

import holdmux.config.Config;
import java.util.function.Supplier;

/** The components of one pooler process that its fronts, upstreams and extensions share. */
public record Services(Config config, Balancer balancer, Admission admission, ServerRegistry registry, Clock clock,
        Deadlines deadlines, Counters counters, Workers workers, OtherProcess otherProcess, ServerSlots slots) {
    /** See {@link PolicyControl#setAdmissionGate}. */
    public void setAdmissionGate(Supplier<String> refusalReason) {
        admission.setAdmissionGate(refusalReason);
    }

    /** See {@link PolicyControl#addStat}. */
    public void addStat(String name, Supplier<String> value) {
        counters.addStat(name, value);
    }
}
