package holdmux.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Selects the upstream of each server by the server kind that discovery reports. */
public final class Upstreams {
    private final ServerRegistry registry;
    private final Upstream defaultUpstream;
    private final Map<String, Upstream> byKind = new HashMap<>();

    /** Creates a selection in which {@code defaultUpstream} serves all kinds that are not added. */
    public Upstreams(ServerRegistry registry, Upstream defaultUpstream) {
        this.registry = registry;
        this.defaultUpstream = defaultUpstream;
    }

    /** Assigns an upstream to these kinds of server; must be called before the first server list. */
    public void add(Set<String> kinds, Upstream upstream) {
        kinds.forEach(kind -> byKind.put(kind, upstream));
    }

    /** Returns the upstream of a server. */
    public Upstream forServer(long serverId) {
        return byKind.isEmpty() ? defaultUpstream : byKind.getOrDefault(registry.kind(serverId), defaultUpstream);
    }
}
