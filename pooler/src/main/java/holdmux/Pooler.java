package holdmux;

import holdmux.config.Config;
import holdmux.core.Admission;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.Fleet;
import holdmux.core.Fronts;
import holdmux.core.Log;
import holdmux.core.Part;
import holdmux.core.ServerSlots;
import holdmux.core.Services;
import holdmux.core.Shared;
import holdmux.core.Upstreams;
import holdmux.core.Workers;
import holdmux.discovery.Watch;
import holdmux.pg.PgFront;
import holdmux.pg.PgUpstream;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** One pooler, wired: PostgreSQL and further parts round one balancer. Knows no signals; {@link Serve} does. */
public final class Pooler {
    /** Readiness does not wait longer for discovery: the cached list serves when the agent is down. */
    private static final long DISCOVERY_MS = 1_000;

    private final Services services;
    private final CountDownLatch ready = new CountDownLatch(1);
    private final PgFront front;
    private final Fronts fronts;

    public Pooler(Config config, List<Part> parts, Clock clock) throws IOException {
        Deadlines deadlines = new Deadlines(clock);
        Counters counters = new Counters();
        Workers workers = new Workers(config.caps().workers());
        Fleet fleet = new Fleet(config.deployment().zones(), config.deployment().kinds());
        Balancer balancer = new Balancer(config.deployment(), config.seed(), clock, deadlines, counters, fleet, workers);
        Shared shared = new Shared();
        ServerSlots slots = new ServerSlots(config.caps().servers(), shared);
        services = new Services(config, balancer, new Admission(balancer::deployment, fleet), fleet, clock, deadlines,
                counters, workers, shared, slots);
        Upstreams upstreams = new Upstreams(fleet, new PgUpstream(config.caps(), fleet, clock, deadlines, counters,
                balancer::deployment, shared, slots));
        for (Part part : parts) {
            if (!part.kinds().isEmpty()) {
                upstreams.add(part.kinds(), part.upstream(services));
            }
        }
        balancer.connect(upstreams::of);
        front = new PgFront(services, ready);
        fronts = Fronts.of(front, parts, services);
    }

    public Services services() {
        return services;
    }

    public Fronts fronts() {
        return fronts;
    }

    /** Takes in the list as last known, and begins to keep time and to follow discovery. */
    public Watch begin() {
        Config config = services.config();
        services.balancer().listChanged(config.known(), true);
        services.deadlines().after(DISCOVERY_MS * Clock.MS, this::waitedForDiscovery);
        Workers.lasting("deadlines", services.counters(), services.deadlines()::run).start();
        Watch watch = new Watch(config.discovery(), config.known(), config.seed(), services.counters(), list -> {
            services.balancer().listChanged(list, false);
            ready.countDown();
        });
        Workers.lasting("discovery", services.counters(), watch).start();
        return watch;
    }

    private void waitedForDiscovery() {
        if (!isReady()) {
            Log.warn("discovery has not told its list within " + DISCOVERY_MS + " ms; version "
                    + services.config().known().seq() + " of the configuration is served from");
        }
        ready.countDown();
    }

    /** Makes the code warm that the first requests need. */
    public void warmUp() {
        front.warmUp();
    }

    /** Whether discovery has told its list, or was waited for long enough. */
    public boolean isReady() {
        return ready.getCount() == 0;
    }

    public void awaitReady() throws InterruptedException {
        ready.await();
    }

    /** Takes clients in until the fronts stop accepting. */
    public void run() throws IOException {
        front.run();
    }
}
