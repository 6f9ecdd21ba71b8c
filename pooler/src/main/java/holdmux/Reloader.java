package holdmux;

import holdmux.config.Config;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.discovery.Watch;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** Takes the configuration up anew at each SIGHUP; one that cannot be used leaves the old one in force. */
final class Reloader implements Runnable {
    /**
     * A file that cannot be read, for want of a descriptor or by a disk's fault, is read again after these times: nobody
     * sends the signal twice, and the old address of discovery may never tell anything again.
     */
    private static final long[] AGAIN_MS = {20, 50, 100, 200, 400, 800, 1_600, 3_000};

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
            try {
                take(read());
            } catch (IOException | RuntimeException e) {
                counters.count(Counter.RELOADS_REFUSED);
                Log.warn("the new configuration cannot be used, the old one stays: " + e.getMessage());
            }
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

    /** The file as it stands behind all signals so far; read again for a while where the system fails. */
    private Config read() throws IOException {
        for (long againMs : AGAIN_MS) {
            hangUps.drainPermits();
            try {
                return source.read(inForce);
            } catch (IOException e) {
                counters.count(Counter.RELOAD_RETRIES);
                Log.warn("the new configuration cannot be read, it is tried again: " + e);
                pause(againMs);
            }
        }
        hangUps.drainPermits();
        return source.read(inForce);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            // nothing interrupts this thread on purpose; it reads again at once
        }
    }
}
