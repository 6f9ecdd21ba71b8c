package holdmux;

import holdmux.config.Config;
import holdmux.config.Deployment;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.core.PolicyControl;
import holdmux.discovery.Watch;
import holdmux.management.EffectiveOrders;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Supplier;

/** Who tells this pooler its policy: its own file until a part that holds the fleet's does, and from then on that part. */
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

    /** Names who puts orders in force; before any part begins. */
    void orders(EffectiveOrders orders) {
        this.orders = orders;
    }

    /** Takes up a file that was read anew, as far as the fleet's policy leaves it to the file. */
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
    public void setAdmissionGate(Supplier<String> closed) {
        services.setAdmissionGate(closed);
    }

    @Override
    public void addStat(String name, Supplier<String> value) {
        services.addStat(name, value);
    }

    /**
     * Whether new requests are taken, as far as the fleet's policy has a say. Takes no lock: whoever answers for the gate
     * may be putting a policy in force here meanwhile.
     */
    boolean acceptsRequests() {
        return services.admission().policyRefusalReason() == null && !orders.fleetEvacuates();
    }
}
