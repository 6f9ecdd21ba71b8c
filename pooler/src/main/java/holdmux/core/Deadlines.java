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
    public record Deadline(long at, long number) implements Comparable<Deadline> {
        @Override
        public int compareTo(Deadline other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final Clock clock;
    private final TreeMap<Deadline, Runnable> pending = new TreeMap<>();
    private long number;

    public Deadlines(Clock clock) {
        this.clock = clock;
    }

    public synchronized Deadline at(long at, Runnable due) {
        Deadline deadline = new Deadline(at, number++);
        pending.put(deadline, due);
        if (pending.firstKey() == deadline) {
            notifyAll();
        }
        return deadline;
    }

    public Deadline after(long afterNs, Runnable due) {
        return at(clock.now() + afterNs, due);
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
    static void runOne(Runnable due) {
        try {
            due.run();
        } catch (Throwable e) {
            Log.error("a deadline failed", e);
        }
    }

    private synchronized List<Runnable> awaitDue() {
        try {
            long left = 1;
            while (left > 0) {
                left = pending.isEmpty() ? Long.MAX_VALUE : pending.firstKey().at() - clock.now();
                if (left > 0) {
                    // up to the next whole millisecond, the finest that wait() knows
                    wait(left == Long.MAX_VALUE ? 0 : left / Clock.MS + 1);
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
