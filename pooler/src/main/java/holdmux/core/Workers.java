package holdmux.core;

import holdmux.core.Counters.Counter;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Thread pool for requests and probes: grows with the work up to a maximum, and never queues. */
public final class Workers implements Executor {
    /** Enough for the deepest stacks, statement parsing and the decision module, of a few dozen frames. */
    private static final long STACK_BYTES = 256 * 1024;
    /** Keeps idle threads through short pauses within a burst of requests. */
    private static final long KEEP_ALIVE_S = 10;

    /** Delay before a failed thread's work is restarted; prevents a busy loop while the cause persists. */
    private static final long RESTART_DELAY_MS = 100;

    private final ThreadPoolExecutor pool;

    /** Creates a pool without threads. */
    public Workers(int maxThreads) {
        pool = new ThreadPoolExecutor(0, maxThreads, KEEP_ALIVE_S, TimeUnit.SECONDS, new SynchronousQueue<>(),
                work -> newThread("worker", work));
    }

    /** Creates a daemon thread with a small stack. */
    public static Thread newThread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Creates a thread like {@link #newThread} for work that lasts as long as the program. If the work throws, an Error
     * included, this is logged and counted, and the work is restarted after a short delay.
     */
    public static Thread restartingThread(String name, Counters counters, Runnable work) {
        return newThread(name, () -> {
            while (!runOnce(name, counters, work)) {
                pause();
            }
        });
    }

    /** Runs the work; true if it returned normally, false if it threw. */
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
            // these threads are not interrupted on purpose; the work is restarted all the same
        }
    }

    /** Starts the work at once; throws {@link RejectedExecutionException} if all threads are busy or none can be created. */
    @Override
    public void execute(Runnable work) {
        try {
            pool.execute(work);
        } catch (OutOfMemoryError e) {
            throw new RejectedExecutionException("cannot create a thread", e);
        }
    }
}
