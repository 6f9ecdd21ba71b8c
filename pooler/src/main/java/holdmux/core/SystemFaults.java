package holdmux.core;

import java.io.IOException;

/** System calls that fail for a moment, for want of a descriptor or of memory, at a start that has no second chance. */
public final class SystemFaults {
    /** The pauses between tries: some seconds in all, within the time that a start may take. */
    private static final long[] AGAIN_MS = {10, 20, 50, 100, 200, 400, 800, 1_000, 1_000};

    /** One step of a start. */
    @FunctionalInterface
    public interface Step {
        void run() throws IOException;
    }

    private SystemFaults() {}

    /** Runs a step until it succeeds; its last exception where it goes on failing. */
    public static void retried(String what, Step step) throws IOException {
        for (long againMs : AGAIN_MS) {
            try {
                step.run();
                return;
            } catch (IOException e) {
                Log.warn(what + ", it is tried again: " + e.getMessage());
                pause(againMs);
            }
        }
        step.run();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
