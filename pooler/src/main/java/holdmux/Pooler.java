package holdmux;

import holdmux.config.Config;
import holdmux.core.Admission;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.ServerRegistry;
import holdmux.core.Fronts;
import holdmux.core.Extension;
import holdmux.core.ServerSlots;
import holdmux.core.Services;
import holdmux.core.OtherProcess;
import holdmux.core.Upstreams;
import holdmux.core.Workers;
import holdmux.discovery.AgentAddresses;
import holdmux.discovery.Watch;
import holdmux.pg.PgFront;
import holdmux.pg.PgUpstream;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** One pooler, wired: PostgreSQL and further parts round one balancer. Knows no signals; {@link Serve} does. */
public final class Pooler {
    private final Services services;
    private final CountDownLatch ready = new CountDownLatch(1);
    private final PgFront front;
    private final Fronts fronts;

    public Pooler(Config config, List<Extension> parts, Clock clock) throws IOException {
        Deadlines deadlines = new Deadlines(clock);
        Counters counters = new Counters();
        Workers workers = new Workers(config.caps().workers());
        ServerRegistry fleet = new ServerRegistry(config.deployment().zones(), config.deployment().kinds());
        Balancer balancer = new Balancer(config.deployment(), config.seed(), clock, deadlines, counters, fleet, workers);
        OtherProcess shared = new OtherProcess();
        ServerSlots slots = new ServerSlots(config.caps().servers(), shared);
        services = new Services(config, balancer, new Admission(balancer::deployment, fleet), fleet, clock, deadlines,
                counters, workers, shared, slots);
        Upstreams upstreams = new Upstreams(fleet, new PgUpstream(config.caps(), fleet, clock, deadlines, counters,
                balancer::deployment, shared, slots));
        for (Extension part : parts) {
            if (!part.kinds().isEmpty()) {
                upstreams.add(part.kinds(), part.upstream(services));
            }
        }
        balancer.setUpstreams(upstreams::forServer);
        front = new PgFront(services, ready);
        fronts = Fronts.of(front, parts, services);
    }

    public Services services() {
        return services;
    }

    public Fronts fronts() {
        return fronts;
    }

    /** Begins to keep time and to follow discovery. */
    public Watch start() {
        Config config = services.config();
        ServerListApplier lists = new ServerListApplier(services, ready);
        lists.start();
        Workers.restartingThread("deadlines", services.counters(), services.deadlines()::run).start();
        Watch watch = new Watch(new AgentAddresses(config.discovery(), config.alternativeDiscovery()), config.cachedList(),
                () -> services.balancer().deployment().settings().mustSubscribe(), config.seed(), services.counters(), lists);
        Workers.restartingThread("discovery", services.counters(), watch).start();
        return watch;
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
