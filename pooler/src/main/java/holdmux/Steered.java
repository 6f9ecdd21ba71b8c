package holdmux;

import holdmux.config.Config;
import holdmux.config.Deployment;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.core.Steering;
import holdmux.discovery.Watch;
import holdmux.management.OrdersInForce;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Supplier;

/** Who tells this pooler its policy: its own file until a part that holds the fleet's does, and from then on that part. */
final class Steered implements Steering {
    private final Services services;
    private final Watch watch;
    private volatile OrdersInForce orders;
    private InetSocketAddress fileDiscovery;
    private boolean byFleet, discoveryByFleet;

    Steered(Services services, Watch watch) {
        this.services = services;
        this.watch = watch;
        fileDiscovery = services.config().discovery();
    }

    /** Names who puts orders in force; before any part begins. */
    void orders(OrdersInForce orders) {
        this.orders = orders;
    }

    /** Takes up a file that was read anew, as far as the fleet's policy leaves it to the file. */
    synchronized void file(Config next) {
        fileDiscovery = next.discovery();
        if (byFleet) {
            Log.warn("the fleet's policy is in force: of the file only " + (discoveryByFleet ? "nothing" : "discovery")
                    + " was taken up");
        } else {
            services.balancer().retune(next.deployment());
        }
        if (!discoveryByFleet) {
            watch.moveTo(next.discovery());
        }
    }

    @Override
    public Services services() {
        return services;
    }

    @Override
    public synchronized void putInForce(Deployment deployment, InetSocketAddress discovery, Set<String> excluded,
            boolean evacuated) {
        byFleet = true;
        discoveryByFleet = discovery != null;
        services.balancer().retune(deployment);
        watch.moveTo(discovery == null ? fileDiscovery : discovery);
        orders.fleet(excluded, evacuated);
    }

    @Override
    public void gate(Supplier<String> closed) {
        services.gate(closed);
    }

    @Override
    public void show(String name, Supplier<String> value) {
        services.show(name, value);
    }

    /**
     * Whether new requests are taken, as far as the fleet's policy has a say. Takes no lock: whoever answers for the gate
     * may be putting a policy in force here meanwhile.
     */
    boolean takes() {
        return services.admission().closedByPolicy() == null && !orders.fleetEvacuates();
    }
}
