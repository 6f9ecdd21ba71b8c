package holdmux.core;

import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;

/**
 * How an attempt or a probe ended and what it told: {@code positionNs} is 0 and the report empty where it told
 * none. A served answer itself stays with the front end that asked.
 */
public record Reply(Outcome outcome, Role role, long positionNs, float[] report) {
    public static final float[] NO_REPORT = new float[0];

    public static Reply of(Outcome outcome) {
        return new Reply(outcome, Role.UNKNOWN, 0, NO_REPORT);
    }
}
