package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.core.Counters.Counter;
import holdmux.decision.ReadProof;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Reads that were answered from data older than the proof by which they were sent. */
class FreshnessMonitorTest {
    private static final long REQUIRED = 5_000 * Clock.MS;

    private final Counters counters = new Counters();
    private final FreshnessMonitor monitor = new FreshnessMonitor(counters, new ServerRegistry(List.of(), List.of()));
    private final Request request = new Request(7, new Request.Spec("rate-lookup", Consistency.BOUNDED, false, 0, 0, 0, 1), null,
            now -> 0);

    private void answer(Role role, long positionNs) {
        Attempt attempt = new Attempt(1, 0, 0, 0, () -> true);
        monitor.permitted(attempt, new ReadProof(ReadProof.Kind.ROLE, REQUIRED, 1));
        monitor.answered(request, attempt, new Reply(Outcome.OK, role, positionNs, Reply.NO_REPORT), 6_000 * Clock.MS);
    }

    @Test
    void answersFromOlderDataThanRequiredAreCounted() {
        answer(Role.REPLICA, REQUIRED - Clock.MS);
        assertEquals(1, counters.get(Counter.READS_TOO_OLD));
        answer(Role.REPLICA, REQUIRED - Clock.MS / 2);
        answer(Role.REPLICA, REQUIRED);
        answer(Role.REPLICA, 0);
        answer(Role.PRIMARY, REQUIRED - Clock.MS);
        assertEquals(1, counters.get(Counter.READS_TOO_OLD), "recent enough, or nothing stated");
        assertEquals(5, counters.get(Counter.READS_BY_ROLE));
    }
}
