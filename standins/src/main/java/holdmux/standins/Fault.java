package holdmux.standins;

/**
 * A fault injected into one attempt of one request, and the phase in which it occurs: before the request runs, after it ran
 * and before any of its answer is sent, or within the answer.
 *
 * @param progress in phase {@link Phase#MIDWAY}, how much of the answer is sent before the fault: the number of batches
 *     (Flight) or sixteenths of the answer's bytes (PostgreSQL)
 */
public record Fault(Kind kind, Phase phase, int progress) {
    /** The effect of the fault. */
    public enum Kind {
        /** The server sends nothing more; the connection stays open. */
        SILENT,
        /** The connection is reset. */
        RESET,
        /** The server sends bytes that are no valid message. */
        SPOILT,
        /** The server reports an internal error. */
        ERROR,
        /** The server reports that it is overloaded; the request must not have run. */
        FULL,
        /** The server reports that it cannot serve the request: not the primary, or too far behind; the request must not have run. */
        MISS,
        /** The server's role and position follow their answer late. PostgreSQL only, as the two below. */
        LATE_STATUS,
        /** The server sends its role and position first, and nothing more; the connection stays open. */
        STATUS_ONLY,
        /** The whole answer is written, and held up on its way. */
        HELD_UP;

        /** Whether the fault concerns a request that has run, and the role that its server states. */
        public boolean affectsStatus() {
            return this == LATE_STATUS || this == STATUS_ONLY || this == HELD_UP;
        }
    }

    /** When the fault occurs. */
    public enum Phase { BEFORE_RUN, AFTER_RUN, MIDWAY }

    /** Returns a fault with progress 1. */
    public static Fault of(Kind kind, Phase phase) {
        return new Fault(kind, phase, 1);
    }

    /** Returns whether the request runs despite the fault. */
    boolean requestRuns() {
        return phase != Phase.BEFORE_RUN;
    }
}
