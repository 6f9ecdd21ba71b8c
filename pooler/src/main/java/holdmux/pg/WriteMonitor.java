package holdmux.pg;

import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Deadlines;

/**
 * Checks at short intervals whether an attempt that is being written may still be written to its end, for as long as the monitor is
 * open: the writing thread itself is blocked while the server does not read.
 */
final class WriteMonitor implements AutoCloseable {
    private static final long INTERVAL_NS = 10 * Clock.MS;

    private final Attempt attempt;
    private final Deadlines deadlines;
    private Deadlines.Deadline next;
    private boolean closed;

    WriteMonitor(Attempt attempt, Deadlines deadlines) {
        this.attempt = attempt;
        this.deadlines = deadlines;
        scheduleCheck();
    }

    private synchronized void scheduleCheck() {
        if (!closed) {
            next = deadlines.after(INTERVAL_NS, this::check);
        }
    }

    private void check() {
        attempt.recheckWrite();
        scheduleCheck();
    }

    @Override
    public synchronized void close() {
        closed = true;
        deadlines.cancel(next);
    }
}
