package holdmux.core;

import holdmux.core.Counters.Counter;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Threads that carry requests and probes through: as many as there is work, up to a cap, and never a queue. */
public final class Workers implements Executor {
    /** The deepest stack is a statement's parse or the module's turn: a few dozen frames. */
    private static final long STACK_BYTES = 256 * 1024;
    /** An idle thread is kept through the lulls of a wave of requests. */
    private static final long KEEP_ALIVE_S = 10;

    /** Between a lasting thread's fault and its next begin: no spin where the cause stays. */
    private static final long RESTART_DELAY_MS = 100;

    private final ThreadPoolExecutor pool;

    public Workers(int maxThreads) {
        pool = new ThreadPoolExecutor(0, maxThreads, KEEP_ALIVE_S, TimeUnit.SECONDS, new SynchronousQueue<>(),
                work -> newThread("worker", work));
    }

    /** A platform thread with a small stack that does not keep the program alive. */
    public static Thread newThread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * A thread like {@link #newThread} for work that goes on as long as the program: if it throws, an Error too, it is begun
     * again after a short pause, with a line in the log and a counter.
     */
    public static Thread restartingThread(String name, Counters counters, Runnable work) {
        return newThread(name, () -> {
            while (!runOnce(name, counters, work)) {
                pause();
            }
        });
    }

    /** Whether the work came to an end of its own. */
    private static boolean runOnce(String name, Counters counters, Runnable work) {
        try {
            work.run();
            return true;
        } catch (Throwable e) {
            counters.count(Counter.THREAD_RESTARTS);
            Log.error("thread " + name + " failed and begins again", e);
            return false;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RESTART_DELAY_MS);
        } catch (InterruptedException e) {
            // nothing interrupts these threads on purpose; the work begins again all the same
        }
    }

    /** Starts the work at once, or throws {@link RejectedExecutionException} at the cap. */
    @Override
    public void execute(Runnable work) {
        try {
            pool.execute(work);
        } catch (OutOfMemoryError e) {
            throw new RejectedExecutionException("no thread to be had", e);
        }
    }
}
