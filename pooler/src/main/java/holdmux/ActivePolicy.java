package holdmux;

import holdmux.config.Config;
import holdmux.config.Deployment;
import holdmux.core.Log;
import holdmux.core.PolicyControl;
import holdmux.core.Services;
import holdmux.discovery.Watch;
import holdmux.management.EffectiveOrders;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Applies this pooler's policy from one of two sources: its own configuration file until the fleet's policy is first put in
 * force, and the fleet's policy from then on.
 */
final class ActivePolicy implements PolicyControl {
    private final Services services;
    private final Watch watch;
    private volatile EffectiveOrders orders;
    private InetSocketAddress fileDiscovery;
    private boolean fleetPolicyInForce, fleetSetsDiscovery;

    ActivePolicy(Services services, Watch watch) {
        this.services = services;
        this.watch = watch;
        fileDiscovery = services.config().discovery();
    }

    /** Sets where operators' orders are applied; must be called before any extension starts. */
    void orders(EffectiveOrders orders) {
        this.orders = orders;
    }

    /** Applies a reloaded configuration file, as far as the fleet's policy does not override it. */
    synchronized void applyFile(Config next) {
        fileDiscovery = next.discovery();
        if (fleetPolicyInForce) {
            Log.warn("the fleet's policy is in force: of the file only " + (fleetSetsDiscovery ? "nothing" : "discovery")
                    + " was taken up");
        } else {
            services.balancer().reconfigure(next.deployment());
        }
        if (!fleetSetsDiscovery) {
            watch.moveTo(next.discovery());
        }
    }

    @Override
    public Services services() {
        return services;
    }

    @Override
    public synchronized void applyPolicy(Deployment deployment, InetSocketAddress discovery, Set<String> excluded,
            boolean evacuated) {
        fleetPolicyInForce = true;
        fleetSetsDiscovery = discovery != null;
        services.balancer().reconfigure(deployment);
        watch.moveTo(discovery == null ? fileDiscovery : discovery);
        orders.setFleetOrders(excluded, evacuated);
    }

    @Override
    public void setAdmissionGate(Supplier<String> refusalReason) {
        services.setAdmissionGate(refusalReason);
    }

    @Override
    public void addStat(String name, Supplier<String> value) {
        services.addStat(name, value);
    }

    /**
     * Whether new requests are accepted as far as the fleet's policy decides. Takes no lock: the thread that answers for
     * the admission gate may be applying a policy here at the same time.
     */
    boolean acceptsRequests() {
        return services.admission().policyRefusalReason() == null && !orders.fleetEvacuates();
    }
}
