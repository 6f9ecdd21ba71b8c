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

/** Takes the configuration up anew at each SIGHUP; one that cannot be used leaves the old one in force. */
final class Reloader implements Runnable {
    /**
     * How long a file that cannot be taken up is read again: nobody sends the signal twice, and the old address of discovery
     * may never tell anything again. What the new one has counts 4 s after the signal and binds 2 s later.
     */
    private static final long AGAIN_FOR_NS = 6_000 * Clock.MS;
    /** The pauses before a file is read again that the system failed to read, for want of a descriptor or by a disk's fault. */
    private static final long[] UNREADABLE_AGAIN_MS = {20, 50, 100, 200, 400, 800, 1_600, 3_000};
    /** The pause before a file is read again that is no configuration: it may have been half written. */
    private static final long REFUSED_AGAIN_MS = 500;

    /** Reads the file as it is now. */
    interface Source {
        Config read(Config inForce) throws IOException;
    }

    private final Semaphore hangUps;
    private final Config first;
    private final Steered steered;
    private final Watch watch;
    private final Counters counters;
    private final Source source;
    private Config inForce;

    Reloader(Semaphore hangUps, Config first, Steered steered, Watch watch, Counters counters) {
        this(hangUps, first, steered, watch, counters, now -> now.reload(System.getenv()));
    }

    Reloader(Semaphore hangUps, Config first, Steered steered, Watch watch, Counters counters, Source source) {
        this.hangUps = hangUps;
        this.first = first;
        this.steered = steered;
        this.watch = watch;
        this.counters = counters;
        this.source = source;
        inForce = first;
    }

    @Override
    public void run() {
        while (true) {
            hangUps.acquireUninterruptibly();
            while (!takeUp()) {
                // another signal came while the file could not be taken up
            }
        }
    }

    /** Takes the file up, or gives it up after a while; false where a further signal came meanwhile. */
    private boolean takeUp() {
        long by = System.nanoTime() + AGAIN_FOR_NS;
        boolean refused = false;
        for (int unreadable = 0;;) {
            hangUps.drainPermits();
            long againMs = REFUSED_AGAIN_MS;
            Exception fault;
            try {
                take(source.read(inForce));
                return true;
            } catch (IOException e) {
                fault = e;
                againMs = UNREADABLE_AGAIN_MS[Math.min(unreadable++, UNREADABLE_AGAIN_MS.length - 1)];
            } catch (RuntimeException e) {
                fault = e;
            }
            boolean last = System.nanoTime() - by >= 0;
            if (!refused && (last || !(fault instanceof IOException))) {
                refused = true;
                counters.count(Counter.RELOADS_REFUSED);
                Log.warn("the new configuration cannot be used, the old one stays: " + fault.getMessage());
            }
            if (last) {
                return true;
            }
            if (fault instanceof IOException) {
                Log.warn("the new configuration cannot be read, it is tried again: " + fault);
            }
            if (hangUpWithin(againMs)) {
                return false;
            }
            counters.count(Counter.RELOAD_RETRIES);
        }
    }

    /** Waits for so long, or for the next signal; whether that came. */
    private boolean hangUpWithin(long ms) {
        try {
            return hangUps.tryAcquire(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            return false; // nothing interrupts this thread on purpose; it reads again at once
        }
    }

    private void take(Config next) {
        steered.file(next);
        counters.count(Counter.RELOADS);
        Log.info("configuration taken up anew; discovery is at " + watch.agent() + ", classes "
                + steered.services().balancer().deployment().classes());
        if (first.needsRestartFor(next)) {
            Log.warn("the new configuration has other addresses or limits; those need a restart");
        }
        inForce = next;
    }
}
