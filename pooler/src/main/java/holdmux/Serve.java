package holdmux;

import holdmux.config.Config;
import holdmux.config.ConfigException;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.Front;
import holdmux.core.Fronts;
import holdmux.core.Log;
import holdmux.core.Part;
import holdmux.core.Services;
import holdmux.core.SystemFaults;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.RequestClass;
import holdmux.discovery.Watch;
import holdmux.management.ManagementServer;
import holdmux.management.Operations;
import holdmux.management.OrdersInForce;
import holdmux.management.StateFile;
import holdmux.upgrade.Upgrade;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** One pooler as a process: wiring, signals and the drain. */
public final class Serve {
    /** The counters go to the log once a minute, as is usual for poolers. */
    private static final long REPORT_MS = 60_000;

    private Serve() {}

    /** Serves until the process is told to end; the exit code where it could not begin. */
    public static int run(List<Part> parts) throws IOException {
        try {
            serve(parts);
            return 0;
        } catch (ConfigException e) {
            System.err.println("holdmux: " + e.getMessage());
            return 1;
        }
    }

    /** {@code holdmux.Serve}: the pooler alone, as the tests of its process start it. */
    public static void main(String[] args) throws IOException {
        System.exit(run(List.of()));
    }

    private static void serve(List<Part> parts) throws IOException {
        Semaphore hangUps = new Semaphore(0);
        // before anything else: unhandled, this signal ends a virtual machine
        boolean deaf = Signal.handle(new Signal("HUP"), signal -> hangUps.release()) == SignalHandler.SIG_IGN;
        if (deaf) {
            Log.warn("started with SIGHUP ignored, as nohup does: the configuration cannot be taken up anew");
        }
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            Log.error("thread " + thread.getName() + " ended", e);
            Log.flush();
        });
        Clock clock = new Clock();
        Config config = load(clock.now());
        Pooler pooler = new Pooler(config, parts, clock);
        Services services = pooler.services();
        Counters counters = services.counters();
        Balancer balancer = services.balancer();
        Deadlines deadlines = services.deadlines();
        Fronts fronts = pooler.fronts();
        Watch watch = pooler.begin();
        Steered steered = new Steered(services, watch);
        Workers.lasting("reload", counters, new Reloader(hangUps, config, steered, watch, counters)).start();
        reportLater(deadlines, counters);
        Path folder = System.getenv("TMPDIR") == null ? null : Path.of(System.getenv("TMPDIR"));
        AtomicReference<Upgrade> upgrade = new AtomicReference<>();
        OrdersInForce orders = new OrdersInForce(all -> {
            balancer.leaveOut(all.excluded());
            fronts.sendAway(all.evacuated());
        }, () -> clock.now() / Clock.MS);
        steered.orders(orders);
        Operations operations = new Operations(new StateFile(folder), services.fleet()::lists,
                () -> pooler.isReady() && fronts.isServing() && steered.takes(), orders::own,
                () -> upgrade.get().ordersChanged(), () -> clock.now() / Clock.MS);
        upgrade.set(new Upgrade(folder, new Upgrade.Local(balancer::writes, balancer::written, operations::refresh,
                fronts::openClients, services.slots()::held), services.shared(), deadlines, counters));
        balancer.tellWritesTo(upgrade.get());
        AtomicBoolean ending = new AtomicBoolean();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            ending.set(true);
            drain(fronts, balancer, upgrade.get(), counters);
        }, "drain"));
        boolean takesOver = upgrade.get().join();
        if (config.management() != null) {
            Workers.lasting("management", counters, new ManagementServer(config.management(), operations, counters)).start();
        }
        start(pooler::warmUp, () -> {
            for (Part part : parts) {
                part.begin(steered);
            }
            if (takesOver) {
                pooler.awaitReady();
                upgrade.get().awaitTold();
            }
        }, () -> listen(fronts, ending));
        Log.info("holdmux " + config.name() + " serves at " + config.listen());
        upgrade.get().serves();
        pooler.run();
    }

    /** The configuration; a file that the system cannot read for a moment is read again. */
    private static Config load(long now) throws IOException {
        AtomicReference<Config> config = new AtomicReference<>();
        SystemFaults.retried("the configuration cannot be read", () -> config.set(Config.load(System.getenv(), now)));
        return config.get();
    }

    /** A process that was told to end during its start takes nobody in: whoever came would be cut off by its exit. */
    static void listen(Front front, AtomicBoolean ending) throws IOException, InterruptedException {
        if (ending.get()) {
            Log.info("told to end before it listened");
            Thread.currentThread().join(); // for ever: the drain ends the process
        }
        front.listen();
    }

    /** One part of a start; may block. */
    interface Step {
        void run() throws IOException, InterruptedException;
    }

    /**
     * Listens last: what came in while the code is cold would wait beyond its time and then keep others waiting, where a
     * refused connection sends its client elsewhere at once. An older process that serves meanwhile is heard out before.
     */
    static void start(Runnable warmUp, Step hearOlder, Step listen) throws IOException {
        warmUp.run();
        try {
            hearOlder.run();
            listen.run();
        } catch (InterruptedException e) {
            throw new InterruptedIOException("interrupted before it listened");
        }
    }

    private static void reportLater(Deadlines deadlines, Counters counters) {
        deadlines.after(REPORT_MS * Clock.MS, () -> {
            Log.info("counters; " + counters);
            reportLater(deadlines, counters);
        });
    }

    /** SIGTERM: see {@link Drain}. */
    private static void drain(Fronts fronts, Balancer balancer, Upgrade upgrade, Counters counters) {
        try {
            Log.info("draining");
            long start = System.nanoTime();
            long longest = balancer.deployment().settings().classes().stream()
                    .mapToLong(RequestClass::deadlineNs).max().orElse(0) / Clock.MS;
            Drain.run(fronts, balancer::giveUpAll, upgrade.otherServes(), longest, new Drain.Time() {
                @Override
                public long passedMs() {
                    return (System.nanoTime() - start) / Clock.MS;
                }

                @Override
                public void pause(long ms) throws InterruptedException {
                    Thread.sleep(ms);
                }
            });
            Log.info("ends with " + fronts.openClients() + " clients; " + counters);
        } catch (InterruptedException e) {
            Log.error("the drain was cut short", e);
        }
        Log.flush();
    }
}
