package holdmux.core;

import holdmux.config.Deployment;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Supplier;

/** What a part that holds the whole fleet's policy may do with the pooler that it runs in. */
public interface PolicyControl {
    /** The pooler's services; its configuration is that of the start. */
    Services services();

    /**
     * Puts a policy in force, as one swap: a request is decided under the old or the new, and what is open keeps what it
     * came under. From the first call on the pooler's own file no longer tells these.
     *
     * @param discovery where to ask for the server list, null to go on as the file tells
     * @param excluded  servers left out beside those that this pooler's operators left out
     * @param evacuated whether this pooler sends its clients away
     */
    void applyPolicy(Deployment deployment, InetSocketAddress discovery, Set<String> excluded, boolean evacuated);

    /**
     * Asks before each new request whether it may be taken: {@code closed} gives null, or in words why this pooler takes
     * nothing new. Called by many threads, for every request: it must not block.
     */
    void setAdmissionGate(Supplier<String> refusalReason);

    /** Adds a row that {@code SHOW STATS} tells beside the counters, computed whenever it is asked for. */
    void addStat(String name, Supplier<String> value);
}
