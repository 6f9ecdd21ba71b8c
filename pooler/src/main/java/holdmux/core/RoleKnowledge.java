package holdmux.core;

import holdmux.decision.SplitterApi.RoleObserved;
import java.util.List;

/** What this process knows of the servers' roles, to be shared with another process of the same pooler. */
public interface RoleKnowledge {
    /** A number that changes whenever {@link #known} has news; cheap to ask for. */
    long version();

    /** Returns all that is known here. Servers have the numbers of {@link ServerRegistry}, which follow from their names. */
    List<RoleObserved> known();

    /** Takes in what another process knows. */
    void learn(RoleObserved role);
}
