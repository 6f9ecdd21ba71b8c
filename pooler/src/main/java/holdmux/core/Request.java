package holdmux.core;

import holdmux.decision.SplitterApi.Action;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Effect;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** One client request, independent of its protocol; {@link Balancer#execute} runs it. */
public final class Request {
    /**
     * The parameters that a front read.
     *
     * @param isRetry whether the client marks the request as a retry
     * @param tokenPositionNs the position of the session's last write that the client carries; 0 if it carries none
     */
    public record Spec(String className, Consistency consistency, boolean isRetry, long remainingNs, long tokenPositionNs, long session,
            int group) {}

    /** The next step for the thread that runs the request. */
    sealed interface Step permits Send, End, ClientGone {}

    /** Run an attempt. */
    record Send(Attempt attempt) implements Step {}

    /** Send the final answer that the decision module chose. */
    record End(Action answer) implements Step {}

    /** Stop: the client has left and gets no answer. */
    record ClientGone() implements Step {}

    final long id;
    final Spec spec;
    private final Deque<Step> steps = new ArrayDeque<>(4);
    /** Attempts by index, and whether the final answer is decided or the client has left; guarded by the balancer's lock. */
    final List<Attempt> attempts = new ArrayList<>(2);
    boolean finished;
    /** When the client left, 0 if it has not; and how often a request of its class may take effect, set on arrival. */
    long clientLeftAt;
    Effect effect = Effect.IDEMPOTENT;

    final ClientWatch client;
    private final IdClaims.Claim claim;

    Request(long id, Spec spec, IdClaims.Claim claim, ClientWatch client) {
        this.id = id;
        this.spec = spec;
        this.claim = claim;
        this.client = client;
    }

    /** Whether an attempt may have run; guarded by the balancer's lock. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Ends the claim on the client's id; to be called once no attempt is in progress. */
    void endClaim(boolean mayHaveRun) {
        if (claim != null) {
            claim.end(mayHaveRun);
        }
    }

    /** Adds a step for the thread that runs the request. */
    synchronized void post(Step step) {
        steps.add(step);
        notifyAll();
    }

    /** Removes and returns the next step; blocks until there is one. */
    synchronized Step next() throws InterruptedException {
        while (steps.isEmpty()) {
            wait();
        }
        return steps.poll();
    }
}
