package holdmux.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Which protocol each server speaks, by the kind that discovery's entry names. */
public final class Upstreams {
    private final ServerRegistry registry;
    private final Upstream defaultUpstream;
    private final Map<String, Upstream> byKind = new HashMap<>();

    /** {@code usual} serves every kind that is not named later. */
    public Upstreams(ServerRegistry registry, Upstream defaultUpstream) {
        this.registry = registry;
        this.defaultUpstream = defaultUpstream;
    }

    /** Servers of these kinds are reached by this upstream; before the first list. */
    public void add(Set<String> kinds, Upstream upstream) {
        kinds.forEach(kind -> byKind.put(kind, upstream));
    }

    public Upstream forServer(long serverId) {
        return byKind.isEmpty() ? defaultUpstream : byKind.getOrDefault(registry.kind(serverId), defaultUpstream);
    }
}
