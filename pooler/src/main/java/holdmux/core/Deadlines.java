package holdmux.core;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The timer queue of the program, served by one thread: timers of the decision module, attempt and connect time-outs,
 * closing of idle connections. Tasks must be short and must not block.
 */
public final class Deadlines {
    /** One scheduled task's time; the sequence number orders tasks of the same time. */
    public record Deadline(long at, long sequence) implements Comparable<Deadline> {
        @Override
        public int compareTo(Deadline other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final Clock clock;
    private final TreeMap<Deadline, Runnable> pending = new TreeMap<>();
    private long nextSequence;

    /** Creates an empty queue; {@link #run} must be run by a thread. */
    public Deadlines(Clock clock) {
        this.clock = clock;
    }

    /** Schedules a task for a time of the {@link Clock}; the result can be cancelled. */
    public synchronized Deadline at(long at, Runnable task) {
        Deadline deadline = new Deadline(at, nextSequence++);
        pending.put(deadline, task);
        if (pending.firstKey() == deadline) {
            notifyAll();
        }
        return deadline;
    }

    /** Schedules a task to run after a delay in nanoseconds; the result can be cancelled. */
    public Deadline after(long delayNs, Runnable task) {
        return at(clock.now() + delayNs, task);
    }

    /** Returns the current time of the clock that deadlines refer to. */
    public long now() {
        return clock.now();
    }

    /** Cancels a task; does nothing if it has run or is about to. */
    public synchronized void cancel(Deadline deadline) {
        pending.remove(deadline);
    }

    /** Runs tasks as they fall due; does not return. */
    public void run() {
        while (true) {
            awaitDue().forEach(Deadlines::runOne);
        }
    }

    /** Runs a task; anything it throws, an Error included, is logged so that the tasks after it still run. */
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
                    // rounded up to a whole millisecond, the resolution of wait()
                    wait(remaining == Long.MAX_VALUE ? 0 : remaining / Clock.MS + 1);
                }
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException("the timer thread was interrupted", e);
        }
        return takeDue(clock.now());
    }

    /** Removes and returns the tasks that are due at this time, in order. */
    synchronized List<Runnable> takeDue(long now) {
        List<Runnable> due = new ArrayList<>();
        while (!pending.isEmpty() && pending.firstKey().at() <= now) {
            due.add(pending.pollFirstEntry().getValue());
        }
        return due;
    }
}
