package holdmux.core;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The program's log: one line per event on standard error, written by a separate thread, so that a stalled reader blocks no
 * other thread. Lines that do not fit into the queue are dropped and counted. docs/oncall.md lists the lines.
 */
public final class Log {
    /** Capacity of the queue of lines to be written. */
    private static final int MAX_QUEUED_LINES = 1_024;
    private static final long FLUSH_TIMEOUT_MS = 500, FLUSH_POLL_MS = 5;

    private static final BlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    /** Lines accepted but not written yet, and lines dropped so far. */
    private static final AtomicLong UNWRITTEN = new AtomicLong(), DROPPED = new AtomicLong();

    static {
        Thread writer = new Thread(null, Log::writeLoop, "log", 128 * 1024);
        writer.setDaemon(true);
        writer.start();
    }

    private Log() {}

    /** Logs an event of normal operation. */
    public static void info(String message) {
        enqueue("info " + message);
    }

    /** Logs a condition that an operator should know of. */
    public static void warn(String message) {
        enqueue("warn " + message);
    }

    /** Logs an exception with the place where it was thrown. */
    public static void error(String message, Throwable cause) {
        try {
            StackTraceElement[] trace = cause.getStackTrace();
            enqueue("error " + message + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
        } catch (OutOfMemoryError e) {
            DROPPED.incrementAndGet(); // the line is lost, but the caller must continue
        }
    }

    /** Returns the number of lines dropped so far. */
    static long dropped() {
        return DROPPED.get();
    }

    /** Waits for a short time until all lines so far are written; to be called before the process ends. */
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
                DROPPED.incrementAndGet(); // the line is lost; the thread must continue
            }
        }
    }
}
