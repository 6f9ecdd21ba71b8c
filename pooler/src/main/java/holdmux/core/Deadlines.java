package holdmux.core;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * All deadlines of the program in one sorted structure, swept each turn by one thread: timers of the module,
 * attempt and connect time-outs, idle closes. What is due must be quick and must not block.
 */
public final class Deadlines {
    /** One deadline; the number tells apart those of the same time. */
    public record Deadline(long at, long sequence) implements Comparable<Deadline> {
        @Override
        public int compareTo(Deadline other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final Clock clock;
    private final TreeMap<Deadline, Runnable> pending = new TreeMap<>();
    private long nextSequence;

    public Deadlines(Clock clock) {
        this.clock = clock;
    }

    public synchronized Deadline at(long at, Runnable task) {
        Deadline deadline = new Deadline(at, nextSequence++);
        pending.put(deadline, task);
        if (pending.firstKey() == deadline) {
            notifyAll();
        }
        return deadline;
    }

    public Deadline after(long delayNs, Runnable task) {
        return at(clock.now() + delayNs, task);
    }

    /** The time that deadlines are told in. */
    public long now() {
        return clock.now();
    }

    public synchronized void cancel(Deadline deadline) {
        pending.remove(deadline);
    }

    /** Sweeps for ever; the body of the one thread. */
    public void run() {
        while (true) {
            awaitDue().forEach(Deadlines::runOne);
        }
    }

    /** Whatever one throws, an Error too, those behind it are run. */
    static void runOne(Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            Log.error("a deadline failed", e);
        }
    }

    private synchronized List<Runnable> awaitDue() {
        try {
            long remaining = 1;
            while (remaining > 0) {
                remaining = pending.isEmpty() ? Long.MAX_VALUE : pending.firstKey().at() - clock.now();
                if (remaining > 0) {
                    // up to the next whole millisecond, the finest that wait() knows
                    wait(remaining == Long.MAX_VALUE ? 0 : remaining / Clock.MS + 1);
                }
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException("nothing interrupts this thread", e);
        }
        return takeDue(clock.now());
    }

    /** Removes and returns what is due at this time, in order. */
    synchronized List<Runnable> takeDue(long now) {
        List<Runnable> due = new ArrayList<>();
        while (!pending.isEmpty() && pending.firstKey().at() <= now) {
            due.add(pending.pollFirstEntry().getValue());
        }
        return due;
    }
}
