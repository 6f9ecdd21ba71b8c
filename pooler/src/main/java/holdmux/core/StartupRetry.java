package holdmux.core;

import java.io.IOException;

/** System calls that fail for a moment, for want of a descriptor or of memory, at a start that has no second chance. */
public final class StartupRetry {
    /** The pauses between tries: some seconds in all, within the time that a start may take. */
    private static final long[] RETRY_DELAYS_MS = {10, 20, 50, 100, 200, 400, 800, 1_000, 1_000};

    /** One step of a start. */
    @FunctionalInterface
    public interface IoAction {
        void run() throws IOException;
    }

    private StartupRetry() {}

    /** Runs a step until it succeeds; its last exception where it goes on failing. */
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
