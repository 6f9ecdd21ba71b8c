package holdmux.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Which protocol each server speaks, by the kind that discovery's entry names. */
public final class Upstreams {
    private final Fleet fleet;
    private final Upstream usual;
    private final Map<String, Upstream> byKind = new HashMap<>();

    /** {@code usual} serves every kind that is not named later. */
    public Upstreams(Fleet fleet, Upstream usual) {
        this.fleet = fleet;
        this.usual = usual;
    }

    /** Servers of these kinds are reached by this upstream; before the first list. */
    public void add(Set<String> kinds, Upstream upstream) {
        kinds.forEach(kind -> byKind.put(kind, upstream));
    }

    public Upstream of(long store) {
        return byKind.isEmpty() ? usual : byKind.getOrDefault(fleet.kind(store), usual);
    }
}
