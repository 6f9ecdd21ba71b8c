package holdmux;

import holdmux.config.Config;
import holdmux.config.ConfigException;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.Extension;
import holdmux.core.Front;
import holdmux.core.Fronts;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.core.StartupRetry;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.RequestClass;
import holdmux.discovery.Watch;
import holdmux.management.EffectiveOrders;
import holdmux.management.ManagementServer;
import holdmux.management.Operations;
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

/** Runs one pooler as a process: wiring, signals and the drain. */
public final class Serve {
    /** The counters are logged once a minute, as poolers commonly do. */
    private static final long REPORT_INTERVAL_MS = 60_000;

    private Serve() {}

    /** Serves until shutdown is requested. Returns the exit status, which is 1 for an invalid configuration. */
    public static int run(List<Extension> extensions) throws IOException {
        try {
            serve(extensions);
            return 0;
        } catch (ConfigException e) {
            System.err.println("holdmux: " + e.getMessage());
            return 1;
        }
    }

    /** Runs the pooler without extensions; the process tests start it this way. */
    public static void main(String[] args) throws IOException {
        System.exit(run(List.of()));
    }

    private static void serve(List<Extension> extensions) throws IOException {
        Semaphore sighups = new Semaphore(0);
        // before anything else: an unhandled SIGHUP terminates the virtual machine
        boolean sighupIgnored = Signal.handle(new Signal("HUP"), signal -> sighups.release()) == SignalHandler.SIG_IGN;
        if (sighupIgnored) {
            Log.warn("started with SIGHUP ignored, as nohup does: the configuration cannot be taken up anew");
        }
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            Log.error("thread " + thread.getName() + " ended", e);
            Log.flush();
        });
        Clock clock = new Clock();
        Config config = load(clock.now());
        Pooler pooler = new Pooler(config, extensions, clock);
        Services services = pooler.services();
        Counters counters = services.counters();
        Balancer balancer = services.balancer();
        Deadlines deadlines = services.deadlines();
        Fronts fronts = pooler.fronts();
        Watch watch = pooler.start();
        ActivePolicy activePolicy = new ActivePolicy(services, watch);
        Workers.restartingThread("reload", counters, new Reloader(sighups, config, activePolicy, watch, counters)).start();
        scheduleReport(deadlines, counters);
        Path directory = System.getenv("TMPDIR") == null ? null : Path.of(System.getenv("TMPDIR"));
        AtomicReference<Upgrade> upgrade = new AtomicReference<>();
        EffectiveOrders orders = new EffectiveOrders(effective -> {
            balancer.setExcluded(effective.excluded());
            fronts.setEvacuating(effective.evacuated());
        }, () -> clock.now() / Clock.MS);
        activePolicy.orders(orders);
        Operations operations = new Operations(new StateFile(directory), services.registry()::contains,
                () -> pooler.isReady() && fronts.isServing() && activePolicy.acceptsRequests(), orders::setPoolerOrders,
                () -> upgrade.get().publishOrdersChange(), () -> clock.now() / Clock.MS);
        upgrade.set(new Upgrade(directory, new Upgrade.LocalState(balancer::writes, balancer::applyWrite, operations::refresh,
                fronts::openClients, services.slots()::held, balancer.ids().ids(), balancer.roles(), balancer::writesUnknown),
                services.otherProcess(), deadlines, counters));
        balancer.setWriteListener(upgrade.get());
        balancer.ids().setPeer(upgrade.get().ids());
        AtomicBoolean terminating = new AtomicBoolean();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            terminating.set(true);
            drain(fronts, balancer, upgrade.get(), counters);
        }, "drain"));
        boolean takesOver = upgrade.get().join();
        if (takesOver) {
            balancer.takeoverStarted();
        }
        if (config.management() != null) {
            Workers.restartingThread("management", counters, new ManagementServer(config.management(), operations, counters)).start();
        }
        start(pooler::warmUp, () -> {
            for (Extension extension : extensions) {
                extension.start(activePolicy);
            }
            if (takesOver) {
                pooler.awaitReady();
                upgrade.get().awaitSynced();
            }
        }, () -> listen(fronts, terminating));
        Log.info("holdmux " + config.name() + " serves at " + config.listen());
        upgrade.get().announceServing();
        pooler.run();
    }

    /** Loads the configuration; a file that the system cannot read for a moment is retried. */
    private static Config load(long now) throws IOException {
        AtomicReference<Config> config = new AtomicReference<>();
        StartupRetry.run("the configuration cannot be read", () -> config.set(Config.load(System.getenv(), now)));
        return config.get();
    }

    /** Starts listening, unless SIGTERM came during the start: clients accepted then would be cut off by the exit. */
    static void listen(Front front, AtomicBoolean terminating) throws IOException, InterruptedException {
        if (terminating.get()) {
            Log.info("told to end before it listened");
            Thread.currentThread().join(); // blocks forever: the drain ends the process
        }
        front.listen();
    }

    /** One step of the start; may block. */
    interface Step {
        void run() throws IOException, InterruptedException;
    }

    /**
     * Listens last: requests accepted while the code is cold would wait past their deadline and then delay others, whereas a
     * refused connection sends its client elsewhere at once. Before that, the state of an older process is synchronised.
     */
    static void start(Runnable warmUp, Step syncWithOlder, Step listen) throws IOException {
        warmUp.run();
        try {
            syncWithOlder.run();
            listen.run();
        } catch (InterruptedException e) {
            throw new InterruptedIOException("interrupted before listening");
        }
    }

    private static void scheduleReport(Deadlines deadlines, Counters counters) {
        deadlines.after(REPORT_INTERVAL_MS * Clock.MS, () -> {
            Log.info("counters; " + counters);
            scheduleReport(deadlines, counters);
        });
    }

    /** Handles SIGTERM; see {@link Drain}. */
    private static void drain(Fronts fronts, Balancer balancer, Upgrade upgrade, Counters counters) {
        try {
            Log.info("draining");
            long startNs = System.nanoTime();
            long maxDeadlineMs = balancer.deployment().settings().classes().stream()
                    .mapToLong(RequestClass::deadlineNs).max().orElse(0) / Clock.MS;
            Drain.run(fronts, balancer::giveUpAll, upgrade.peerServes(), maxDeadlineMs, new Drain.Timer() {
                @Override
                public long elapsedMs() {
                    return (System.nanoTime() - startNs) / Clock.MS;
                }

                @Override
                public void sleep(long ms) throws InterruptedException {
                    Thread.sleep(ms);
                }
            });
            Log.info("ends with " + fronts.openClients() + " clients; " + counters);
        } catch (InterruptedException e) {
            Log.error("the drain was interrupted", e);
        }
        Log.flush();
    }
}
