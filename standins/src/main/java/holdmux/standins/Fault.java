package holdmux.standins;

/**
 * What goes wrong with one run of one request, and when: before it runs, after it ran and before any of its answer, or
 * within the answer; {@code at} is the number of batches (Flight), or of answer bytes in sixteenths (PostgreSQL), that
 * still go out in the last case.
 */
public record Fault(Kind kind, Phase phase, int progress) {
    /** What happens. */
    public enum Kind {
        /** Nothing more comes; the connection stays. */
        SILENT,
        /** The connection is reset. */
        RESET,
        /** What comes cannot be read. */
        SPOILT,
        /** The server says that it failed. */
        ERROR,
        /** The server says that it is too busy; never with a run. */
        FULL,
        /** The server says that it is the wrong one: no primary, or too far behind; never with a run. */
        MISS
    }

    /** When it happens. */
    public enum Phase { BEFORE_RUN, AFTER_RUN, MIDWAY }

    public static Fault of(Kind kind, Phase phase) {
        return new Fault(kind, phase, 1);
    }

    /** Whether the request runs all the same. */
    boolean requestRuns() {
        return phase != Phase.BEFORE_RUN;
    }
}
