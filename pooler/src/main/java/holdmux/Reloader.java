package holdmux;

import holdmux.config.Config;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.discovery.Watch;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Reloads the configuration at each SIGHUP; an unusable one leaves the old one in force. */
final class Reloader implements Runnable {
    /**
     * How long a file that cannot be loaded is retried: the signal is not sent twice, and the old discovery address may never
     * answer again. A change known to the new agent counts as announced 4 s after the signal and is binding 2 s later.
     */
    private static final long RETRY_PERIOD_NS = 6_000 * Clock.MS;
    /** Delays before a retry after the system failed to read the file, for lack of a descriptor or because of a disk fault. */
    private static final long[] READ_RETRY_DELAYS_MS = {20, 50, 100, 200, 400, 800, 1_600, 3_000};
    /** Delay before a retry of a file that is not a valid configuration: it may have been only half written. */
    private static final long INVALID_RETRY_DELAY_MS = 500;

    /** Reads the configuration file in its present state. */
    interface ConfigSource {
        Config read(Config current) throws IOException;
    }

    private final Semaphore sighups;
    private final Config startupConfig;
    private final ActivePolicy activePolicy;
    private final Watch watch;
    private final Counters counters;
    private final ConfigSource source;
    private Config current;

    Reloader(Semaphore sighups, Config startupConfig, ActivePolicy activePolicy, Watch watch, Counters counters) {
        this(sighups, startupConfig, activePolicy, watch, counters, config -> config.reload(System.getenv()));
    }

    Reloader(Semaphore sighups, Config startupConfig, ActivePolicy activePolicy, Watch watch, Counters counters, ConfigSource source) {
        this.sighups = sighups;
        this.startupConfig = startupConfig;
        this.activePolicy = activePolicy;
        this.watch = watch;
        this.counters = counters;
        this.source = source;
        current = startupConfig;
    }

    @Override
    public void run() {
        while (true) {
            sighups.acquireUninterruptibly();
            while (!reload()) {
                // another signal arrived while the file could not be loaded: start over
            }
        }
    }

    /** Loads the file, with retries for a limited time. Returns false if another signal arrived meanwhile. */
    private boolean reload() {
        long deadlineNs = System.nanoTime() + RETRY_PERIOD_NS;
        boolean refused = false;
        for (int readFailures = 0;;) {
            sighups.drainPermits();
            long retryDelayMs = INVALID_RETRY_DELAY_MS;
            Exception failure;
            try {
                apply(source.read(current));
                return true;
            } catch (IOException e) {
                failure = e;
                retryDelayMs = READ_RETRY_DELAYS_MS[Math.min(readFailures++, READ_RETRY_DELAYS_MS.length - 1)];
            } catch (RuntimeException e) {
                failure = e;
            }
            boolean timedOut = System.nanoTime() - deadlineNs >= 0;
            if (!refused && (timedOut || !(failure instanceof IOException))) {
                refused = true;
                counters.count(Counter.RELOADS_REFUSED);
                Log.warn("the new configuration cannot be used, the old one stays: " + failure.getMessage());
            }
            if (timedOut) {
                return true;
            }
            if (failure instanceof IOException) {
                Log.warn("the new configuration cannot be read, it is tried again: " + failure);
            }
            if (sighupWithin(retryDelayMs)) {
                return false;
            }
            counters.count(Counter.RELOAD_RETRIES);
        }
    }

    /** Waits for the given time or until the next SIGHUP. Returns whether a SIGHUP arrived. */
    private boolean sighupWithin(long ms) {
        try {
            return sighups.tryAcquire(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            return false; // this thread is never interrupted on purpose; retry at once
        }
    }

    private void apply(Config next) {
        activePolicy.applyFile(next);
        counters.count(Counter.RELOADS);
        Log.info("configuration taken up anew; discovery is at " + watch.agent() + ", classes "
                + activePolicy.services().balancer().deployment().classes());
        if (startupConfig.needsRestartFor(next)) {
            Log.warn("the new configuration has other addresses or limits; those need a restart");
        }
        current = next;
    }
}
