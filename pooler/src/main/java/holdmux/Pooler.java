package holdmux;

import holdmux.config.Config;
import holdmux.core.Admission;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.Extension;
import holdmux.core.Fronts;
import holdmux.core.OtherProcess;
import holdmux.core.ServerRegistry;
import holdmux.core.ServerSlots;
import holdmux.core.Services;
import holdmux.core.Upstreams;
import holdmux.core.Workers;
import holdmux.discovery.AgentAddresses;
import holdmux.discovery.Watch;
import holdmux.pg.PgFront;
import holdmux.pg.PgUpstream;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Wires up one pooler: the PostgreSQL front and upstream, and the extensions, around one balancer. Signals are handled by
 * {@link Serve}.
 */
public final class Pooler {
    private final Services services;
    private final CountDownLatch ready = new CountDownLatch(1);
    private final PgFront front;
    private final Fronts fronts;

    /** Creates the components; deadlines and discovery begin with {@link #start}. */
    public Pooler(Config config, List<Extension> extensions, Clock clock) throws IOException {
        Deadlines deadlines = new Deadlines(clock);
        Counters counters = new Counters();
        Workers workers = new Workers(config.caps().workers());
        ServerRegistry registry = new ServerRegistry(config.deployment().zones(), config.deployment().kinds());
        Balancer balancer = new Balancer(config.deployment(), config.seed(), clock, deadlines, counters, registry, workers);
        OtherProcess otherProcess = new OtherProcess();
        ServerSlots slots = new ServerSlots(config.caps().servers(), otherProcess);
        services = new Services(config, balancer, new Admission(balancer::deployment, registry), registry, clock, deadlines,
                counters, workers, otherProcess, slots);
        Upstreams upstreams = new Upstreams(registry, new PgUpstream(config.caps(), registry, clock, deadlines, counters,
                balancer::deployment, otherProcess, slots, balancer.statusListener()));
        for (Extension extension : extensions) {
            if (!extension.kinds().isEmpty()) {
                upstreams.add(extension.kinds(), extension.upstream(services));
            }
        }
        balancer.setUpstreams(upstreams::forServer);
        front = new PgFront(services, ready);
        fronts = Fronts.of(front, extensions, services);
    }

    /** The components that fronts, upstreams and extensions share. */
    public Services services() {
        return services;
    }

    /** All fronts of this pooler. */
    public Fronts fronts() {
        return fronts;
    }

    /** Starts the deadline thread and the discovery watch. */
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

    /** Exercises the code that the first requests need, so that they do not run into cold code. */
    public void warmUp() {
        front.warmUp();
    }

    /** Whether discovery has confirmed its list, or the wait for it has elapsed. */
    public boolean isReady() {
        return ready.getCount() == 0;
    }

    /** Blocks until {@link #isReady}. */
    public void awaitReady() throws InterruptedException {
        ready.await();
    }

    /** Accepts clients until the fronts stop accepting. */
    public void run() throws IOException {
        front.run();
    }
}
