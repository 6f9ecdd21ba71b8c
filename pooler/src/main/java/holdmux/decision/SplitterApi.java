package holdmux.decision;

import java.util.List;

/**
 * The interface of {@link ReadWriteSplitter}: what it is told and what it asks for. Times are
 * nanoseconds; a store is an opaque address and port packed in a long.
 */
public final class SplitterApi {
    private SplitterApi() {}

    /** How often a request may take effect. */
    public enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** How new the data must be that a class is answered from. */
    public enum Consistency { WRITE, FRESH, SESSION, BOUNDED, ANY }

    /** What a store does with a read that it is too far behind for. */
    public enum Guards { OFF, REFUSE, WAIT }

    /** The stores that drop repeats of a deduplicated request. */
    public enum Scope { ALL, ZONE, CELL }

    /** What the list says of a store. */
    public enum Availability { GONE, READY, DRAINING }

    /** The kind of a list event. */
    public enum ListMode { CACHED, FULL, DELTA, FAILED }

    /** The role an answer's note tells. */
    public enum Role { UNKNOWN, PRIMARY, REPLICA }

    /** How an attempt or a probe ended. */
    public enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true), MISS(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** One class of requests; {@code boundNs} is 0 but for bounded reads. */
    public record RequestClass(Consistency consistency, long boundNs, long onTimeNs, long deadlineNs,
            double worth, double lateWorth, Effect effect, Scope scope, long windowNs) {}

    /** The figures of the rules; {@code askEveryNs} is 0 where it does not apply. */
    public record Rules(long answerSlackNs, long drainGraceNs, double coldShare, long rampNs,
            double overloadFactor, long fallNs, boolean goneIsAdvice, long askEveryNs) {}

    /** What the deployment permits. */
    public record Limits(int maxAttempts, boolean probes, boolean cancel, boolean duplicates,
            boolean retryAfter, long maxRetryAfterNs, boolean peers) {}

    /** What a front is told when it starts; report indices are -1 where a value is not reported. */
    public record Settings(int me, int balancers, int zone, long stepNs, List<RequestClass> classes,
            List<Double> quotas, double overShareWorth, Guards guards, long waitNs, long zeroNs,
            boolean remembered, boolean showsRole, boolean mustSubscribe, Rules rules, Limits limits,
            int positionField, int primaryField, int queueField, int inflightField, int utilField) {}

    /** One line of the list. */
    public record Listing(long store, int group, int zone, int kind, Availability availability,
            boolean writer, long startedAt, double capacityHint) {}

    /** Something that happened to this front. */
    public sealed interface Event permits ListChanged, Arrived, Answered, Checked, Wakeup, ClientLeft,
            Started, PeerMessage, SettingsChanged, LastWrite, AbortRequest {}

    /** The list, or changes to it; empty where a call failed. */
    public record ListChanged(ListMode mode, long generation, List<Listing> lines) implements Event {}

    /** A request came in; {@code tokenAgeNs} is 0 where no write is known. */
    public record Arrived(long id, int classIndex, boolean marksRetry, long remainingNs, long tokenAgeNs,
            long effortNs, long session, int tenant, int group) implements Event {}

    /** An attempt ended; {@code positionNs} is a clock time, 0 where the note tells none. */
    public record Answered(long id, long store, int attempt, boolean isFinal, Outcome outcome,
            long latencyNs, Role role, long positionNs, float[] report) implements Event {}

    /** A probe ended. */
    public record Checked(long store, Outcome outcome, long latencyNs, float[] report) implements Event {}

    /** A timer came due. */
    public record Wakeup(int handle) implements Event {}

    /** Nothing more is owed for this request. */
    public record ClientLeft(long id) implements Event {}

    /** This front ends: the request's final answer is due now, whatever is still out for it. */
    public record AbortRequest(long id) implements Event {}

    /** A streamed answer has begun. */
    public record Started(long id, long store, int attempt) implements Event {}

    /** Other settings; {@code was} tells where each class stood in those before, -1 for a new one. */
    public record SettingsChanged(Settings settings, List<Integer> previousIndices) implements Event {}

    /** A write that another process of this front answered; session 0 stands for the group's floor. */
    public record LastWrite(int group, long session, long positionNs) implements Event {}

    /** A message from another front. */
    public record PeerMessage(int from, byte[] body) implements Event {}

    /** Something this front wants done. */
    public sealed interface Action permits Transmit, Retract, Decline, RespondError, Schedule, Inspect,
            CloseIdle, MemoTo, Remark, Subscribe, ListAll {}

    /** Start an attempt with this time-out. */
    public record Transmit(long id, long store, long limitNs) implements Action {}

    /** Stop waiting for an attempt. */
    public record Retract(long id, int attempt) implements Action {}

    /** Final answer: refused, trying again is harmless. */
    public record Decline(long id, long waitNs, EndReason reason) implements Action {}

    /** Final answer: failed, nothing is promised. */
    public record RespondError(long id, EndReason reason) implements Action {}

    /** Ask for a {@link Wakeup}. */
    public record Schedule(long afterNs, int handle) implements Action {}

    /** Probe a store. */
    public record Inspect(long store) implements Action {}

    /** Close idle connections to a store. */
    public record CloseIdle(long store) implements Action {}

    /** Send a message to one front, or to all with {@code peer} 0xffff. */
    public record MemoTo(int peer, byte[] body) implements Action {}

    /** A line for the operators' log. */
    public record Remark(String words) implements Action {}

    /** Ask the list for changes from now on, or stop that. */
    public record Subscribe(boolean enable) implements Action {}

    /** Ask for the whole list once. */
    public record ListAll() implements Action {}
}
