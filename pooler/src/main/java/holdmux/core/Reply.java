package holdmux.core;

import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;

/**
 * How an attempt or a probe ended, and the status that the server reported with it. The result of a request is not part of
 * it.
 *
 * @param role the server's replication role
 * @param positionNs the server's log position as a {@link Clock} time; 0 if not reported
 * @param report the server's load report; empty if not reported
 */
public record Reply(Outcome outcome, Role role, long positionNs, float[] report) {
    /** The report of a server that did not send one. */
    public static final float[] NO_REPORT = new float[0];

    /** Returns an outcome without any server status. */
    public static Reply of(Outcome outcome) {
        return new Reply(outcome, Role.UNKNOWN, 0, NO_REPORT);
    }
}
