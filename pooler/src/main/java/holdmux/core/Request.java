package holdmux.core;

import holdmux.decision.SplitterApi.Action;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Effect;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** One client request as the core sees it; {@link Balancer#execute} is its life. */
public final class Request {
    /** What the front end read of it; {@code tokenPositionNs} is 0 where the client carries none. */
    public record Spec(String className, Consistency consistency, boolean isRetry, long remainingNs, long tokenPositionNs, long session,
            int group) {}

    /** What the life of the request must do next. */
    sealed interface Step permits Send, End, ClientGone {}

    record Send(Attempt attempt) implements Step {}

    /** The module's final answer. */
    record End(Action answer) implements Step {}

    /** The client has gone away: nothing is owed. */
    record ClientGone() implements Step {}

    final long id;
    final Spec spec;
    private final Deque<Step> steps = new ArrayDeque<>(4);
    /** Attempts by number, and whether nothing more is owed; both under the balancer's lock. */
    final List<Attempt> attempts = new ArrayList<>(2);
    boolean finished;
    /** When its client left, 0 if it did not; how often its class may take effect, once that is known. */
    long clientLeftAt;
    Effect effect = Effect.IDEMPOTENT;

    Request(long id, Spec spec) {
        this.id = id;
        this.spec = spec;
    }

    synchronized void post(Step step) {
        steps.add(step);
        notifyAll();
    }

    synchronized Step next() throws InterruptedException {
        while (steps.isEmpty()) {
            wait();
        }
        return steps.poll();
    }
}
