package holdmux.core;

import holdmux.config.Deployment;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Supplier;

/** What an extension that receives the fleet-wide policy can do with the pooler it runs in. */
public interface PolicyControl {
    /** Returns the pooler's services; their configuration is the one read at start-up. */
    Services services();

    /**
     * Puts a policy in force atomically: each request is decided under the old or the new one, and open requests keep the
     * one they arrived under. From the first call on it replaces the corresponding settings of the pooler's own file.
     *
     * @param discovery the discovery address, or null to use the one in the pooler's file
     * @param excluded  servers excluded in addition to those that this pooler's operators excluded
     * @param evacuated whether this pooler sends its clients away
     */
    void applyPolicy(Deployment deployment, InetSocketAddress discovery, Set<String> excluded, boolean evacuated);

    /**
     * Sets the check made before each new request: {@code refusalReason} returns null, or the reason why this pooler refuses
     * new requests. Many threads call it, for every request: it must not block.
     */
    void setAdmissionGate(Supplier<String> refusalReason);

    /** Adds a row to {@code SHOW STATS} beside the counters; its value is computed on each query. */
    void addStat(String name, Supplier<String> value);
}
