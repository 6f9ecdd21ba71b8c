package holdmux.core;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The program's log: one line an event on standard error, written by a thread of its own. Whoever reads that may stall, and
 * then no other thread waits for it: lines beyond those that wait are dropped and counted. docs/oncall.md lists the lines.
 */
public final class Log {
    /** Lines that may wait to be written. */
    private static final int MAX_QUEUED_LINES = 1_024;
    private static final long FLUSH_TIMEOUT_MS = 500, FLUSH_POLL_MS = 5;

    private static final BlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    /** Lines taken from the queue whose writing has not ended, and lines dropped so far. */
    private static final AtomicLong UNWRITTEN = new AtomicLong(), DROPPED = new AtomicLong();

    static {
        Thread writer = new Thread(null, Log::writeLoop, "log", 128 * 1024);
        writer.setDaemon(true);
        writer.start();
    }

    private Log() {}

    public static void info(String message) {
        enqueue("info " + message);
    }

    public static void warn(String message) {
        enqueue("warn " + message);
    }

    /** A fault with where it was thrown. */
    public static void error(String message, Throwable cause) {
        try {
            StackTraceElement[] trace = cause.getStackTrace();
            enqueue("error " + message + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
        } catch (OutOfMemoryError e) {
            DROPPED.incrementAndGet(); // whoever logs a fault goes on; there is no room for its line
        }
    }

    /** Lines that were dropped since nobody read the log. */
    static long dropped() {
        return DROPPED.get();
    }

    /** Waits until all lines so far are written, for a short while: before the process ends. */
    public static void flush() {
        long deadline = System.nanoTime() + FLUSH_TIMEOUT_MS * Clock.MS;
        try {
            while (UNWRITTEN.get() > 0 && System.nanoTime() < deadline) {
                Thread.sleep(FLUSH_POLL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void enqueue(String line) {
        UNWRITTEN.incrementAndGet();
        if (!QUEUE.offer(line)) {
            UNWRITTEN.decrementAndGet();
            DROPPED.incrementAndGet();
        }
    }

    private static void writeLoop() {
        while (true) {
            try {
                System.err.println(QUEUE.take());
                UNWRITTEN.decrementAndGet();
            } catch (InterruptedException | RuntimeException | Error e) {
                DROPPED.incrementAndGet(); // a line is lost, the thread goes on
            }
        }
    }
}
