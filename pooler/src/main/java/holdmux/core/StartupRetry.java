package holdmux.core;

import java.io.IOException;

/** Retries start-up steps whose system calls fail temporarily, for lack of descriptors or memory; a failed start is final. */
public final class StartupRetry {
    /** Delays between the attempts; a few seconds in total, within the time that a start may take. */
    private static final long[] RETRY_DELAYS_MS = {10, 20, 50, 100, 200, 400, 800, 1_000, 1_000};

    /** A start-up step. */
    @FunctionalInterface
    public interface IoAction {
        /** Performs the step; may be called again after a failure. */
        void run() throws IOException;
    }

    private StartupRetry() {}

    /**
     * Runs a step until it succeeds; {@code failure} describes a failure for the log.
     *
     * @throws IOException if the last attempt fails too
     */
    public static void run(String failure, IoAction action) throws IOException {
        for (long delayMs : RETRY_DELAYS_MS) {
            try {
                action.run();
                return;
            } catch (IOException e) {
                Log.warn(failure + ", it is tried again: " + e.getMessage());
                pause(delayMs);
            }
        }
        action.run();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
