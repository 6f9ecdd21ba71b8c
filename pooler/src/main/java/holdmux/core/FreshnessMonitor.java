package holdmux.core;

import holdmux.core.Counters.Counter;
import holdmux.decision.ReadProof;
import holdmux.decision.RoleState;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.RoleChanged;

/**
 * Records why reads were considered fresh enough where they were sent: counts the proofs, logs each change of a server's role
 * with the evidence for it, and reports a read whose answer states data older than the proof promised.
 *
 * <p>Not thread-safe: it is used under the balancer's lock. It has no clock; times are passed in.
 */
final class FreshnessMonitor {
    /** Shortest time between two log lines on answers from old data; the counter has them all. */
    private static final long LOG_INTERVAL_NS = 1_000 * Clock.MS;

    private final Counters counters;
    private final ServerRegistry registry;
    /** When the next answer from old data may be logged. */
    private long nextLogAt;

    FreshnessMonitor(Counters counters, ServerRegistry registry) {
        this.counters = counters;
        this.registry = registry;
    }

    /** Notes the proof by which an attempt may be written now. */
    void permitted(Attempt attempt, ReadProof proof) {
        attempt.proof = proof;
        switch (proof.kind()) {
            case POSITION -> counters.count(Counter.READS_BY_POSITION);
            case CURRENT -> counters.count(Counter.READS_BY_CURRENT);
            case LEASE -> counters.count(Counter.READS_BY_LEASE);
            case ROLE -> counters.count(Counter.READS_BY_ROLE);
            default -> { }
        }
    }

    /** Compares what an answer states with what its attempt's proof promised. */
    void answered(Request request, Attempt attempt, Reply reply, long now) {
        ReadProof proof = attempt.proof;
        boolean comparable = proof != null && reply.outcome() == Outcome.OK && reply.role() == Role.REPLICA && reply.positionNs() > 0;
        // positions are stated in milliseconds, rounded down
        if (!comparable || reply.positionNs() + Clock.MS > proof.requiredNs()) {
            return;
        }
        counters.count(Counter.READS_TOO_OLD);
        if (now >= nextLogAt) {
            nextLogAt = now + LOG_INTERVAL_NS;
            Log.warn("a read was answered from data older than required: " + describe(request, attempt, reply, now));
        }
    }

    private String describe(Request request, Attempt attempt, Reply reply, long now) {
        ReadProof proof = attempt.proof;
        return "request " + request.id + " of class " + request.spec.className() + ", attempt " + attempt.number + " at "
                + registry.name(attempt.serverId) + ", permitted " + ago(attempt.permittedAt, now) + " by " + proof.kind() + " as of "
                + ago(proof.asOfNs(), now) + ", data required as of " + ago(proof.requiredNs(), now) + ", stated as of "
                + ago(reply.positionNs(), now);
    }

    /** Logs that another role of a server is known. */
    void roleChanged(RoleChanged change, long now) {
        counters.count(Counter.ROLE_CHANGES);
        boolean hasTime = change.to() != RoleState.UNKNOWN && change.to() != RoleState.LISTED_PRIMARY;
        Log.info("role of " + registry.name(change.store()) + ": " + change.to() + ", was " + change.from() + ", by "
                + change.source() + (change.requestId() > 0 ? " " + change.requestId() : "")
                + (hasTime ? ", as of " + ago(change.asOfNs(), now) : ""));
    }

    private static String ago(long at, long now) {
        return (now - at) / Clock.MS + " ms ago";
    }
}
