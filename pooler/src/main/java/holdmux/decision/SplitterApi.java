package holdmux.decision;

import java.util.List;

/**
 * The interface of {@link ReadWriteSplitter}: settings, events that it processes and actions that it requests. Times
 * are in nanoseconds; a store is identified by an opaque address and port packed in a long.
 */
public final class SplitterApi {
    private SplitterApi() {}

    /** How often a request may take effect. */
    public enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** How recent the data that answers a class must be. */
    public enum Consistency { WRITE, FRESH, SESSION, BOUNDED, ANY }

    /** What a store does with a read whose required position it has not reached. */
    public enum Guards { OFF, REFUSE, WAIT }

    /** The stores that recognise and drop repeats of a deduplicated request. */
    public enum Scope { ALL, ZONE, CELL }

    /** State of a store in the server list. */
    public enum Availability { GONE, READY, DRAINING }

    /** How a server list was obtained: from the cache, in full, as changes, or not at all. */
    public enum ListMode { CACHED, FULL, DELTA, FAILED }

    /** The store's role that an answer reports. */
    public enum Role { UNKNOWN, PRIMARY, REPLICA }

    /** How an attempt or a probe ended. */
    public enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true), MISS(true);

        /** Whether this outcome proves that the attempt did not run. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** A request class; {@code boundNs} is 0 except for bounded reads. */
    public record RequestClass(Consistency consistency, long boundNs, long onTimeNs, long deadlineNs,
            double worth, double lateWorth, Effect effect, Scope scope, long windowNs) {}

    /** Limits and times that the pooler must keep; {@code askEveryNs} is 0 where it does not apply. */
    public record Rules(long answerSlackNs, long drainGraceNs, double coldShare, long rampNs,
            double overloadFactor, long fallNs, boolean goneIsAdvice, long askEveryNs) {}

    /** What the deployment permits: attempts, probes, cancels, duplicates, retry hints, messages between poolers. */
    public record Limits(int maxAttempts, boolean probes, boolean cancel, boolean duplicates,
            boolean retryAfter, long maxRetryAfterNs, boolean peers) {}

    /** Settings of one pooler; the indices of report fields are -1 where a value is not reported. */
    public record Settings(int me, int balancers, int zone, long stepNs, List<RequestClass> classes,
            List<Double> quotas, double overShareWorth, Guards guards, long waitNs, long zeroNs,
            boolean remembered, boolean showsRole, boolean mustSubscribe, Rules rules, Limits limits,
            int positionField, int primaryField, int queueField, int inflightField, int utilField) {}

    /** One entry of the server list. */
    public record Listing(long store, int group, int zone, int kind, Availability availability,
            boolean writer, long startedAt, double capacityHint) {}

    /** Something that happened to this pooler. */
    public sealed interface Event permits ListChanged, Arrived, Answered, Checked, Wakeup, ClientLeft,
            Started, PeerMessage, SettingsChanged, LastWrite, AbortRequest, RoleObserved,
            TakeoverStarted, LateStatus, StatusOverdue {}

    /** The server list or changes to it; empty if the call failed. */
    public record ListChanged(ListMode mode, long generation, List<Listing> lines) implements Event {}

    /** A request arrived; {@code tokenAgeNs} is 0 if no earlier write is known. */
    public record Arrived(long id, int classIndex, boolean marksRetry, long remainingNs, long tokenAgeNs,
            long effortNs, long session, int tenant, int group) implements Event {}

    /** An attempt ended; {@code positionNs} is a clock time, 0 if the answer reports none. */
    public record Answered(long id, long store, int attempt, boolean isFinal, Outcome outcome,
            long latencyNs, Role role, long positionNs, float[] report) implements Event {}

    /** A probe ended; role and position are what its answer states of the moment of its writing, besides the report. */
    public record Checked(long store, Outcome outcome, long latencyNs, Role role, long positionNs, float[] report)
            implements Event {
        /** A probe ended whose answer states a report alone. */
        public Checked(long store, Outcome outcome, long latencyNs, float[] report) {
            this(store, outcome, latencyNs, Role.UNKNOWN, 0, report);
        }
    }

    /** A timer expired. */
    public record Wakeup(int handle) implements Event {}

    /** The client has left; its request needs no answer any more. */
    public record ClientLeft(long id) implements Event {}

    /**
     * The request gets its final answer now, even if attempts are in flight. With {@link EndReason#CLIENT_UNCERTAIN}
     * the one in flight was withheld, so that none of it was written.
     */
    public record AbortRequest(long id, EndReason reason) implements Event {}

    /** A streamed answer has started. */
    public record Started(long id, long store, int attempt) implements Event {}

    /** New settings; {@code previousIndices} has each class's index in the previous ones, -1 for a new class. */
    public record SettingsChanged(Settings settings, List<Integer> previousIndices) implements Event {}

    /** Position of a session's last write in another process of this pooler; session 0 stands for the group's floor. */
    public record LastWrite(int group, long session, long positionNs) implements Event {}

    /**
     * What another process of this pooler knows of a store's role, and the time that this is from; {@link Role#UNKNOWN}
     * for a primary that may have stated another role since then.
     */
    public record RoleObserved(long store, Role role, long atNs) implements Event {}

    /**
     * What a store stated of itself behind a long answer, which was passed on as it came.
     *
     * @param sentAgoNs  how long ago its request was sent
     * @param begunAgoNs how long ago the answer began; the statement is no older
     */
    public record LateStatus(long store, long sentAgoNs, long begunAgoNs, Role role, long positionNs, float[] report)
            implements Event {}

    /** What a store states behind a long answer is not read yet though it may have been written, or is lost. */
    public record StatusOverdue(long store) implements Event {}

    /** This process takes over from another one of this pooler, which may have learned more than the list says. */
    public record TakeoverStarted() implements Event {}

    /** A message from another pooler. */
    public record PeerMessage(int from, byte[] body) implements Event {}

    /** Something that the caller must do. */
    public sealed interface Action permits Transmit, Retract, Decline, RespondError, Schedule, Inspect,
            CloseIdle, MemoTo, Remark, Subscribe, ListAll, RoleChanged {}

    /** Send the request to a store, with a time-out of {@code limitNs}. */
    public record Transmit(long id, long store, long limitNs) implements Action {}

    /** Stop waiting for an attempt. */
    public record Retract(long id, int attempt) implements Action {}

    /** Final answer: refused; the client may safely retry after {@code waitNs}. */
    public record Decline(long id, long waitNs, EndReason reason) implements Action {}

    /** Final answer: an error; whether the request took effect is not known. */
    public record RespondError(long id, EndReason reason) implements Action {}

    /** Set a timer that expires with a {@link Wakeup}. */
    public record Schedule(long afterNs, int handle) implements Action {}

    /** Probe a store. */
    public record Inspect(long store) implements Action {}

    /** Close idle connections to a store. */
    public record CloseIdle(long store) implements Action {}

    /** Send a message to one pooler, or to all with {@code peer} 0xffff. */
    public record MemoTo(int peer, byte[] body) implements Action {}

    /** Write a line to the log. */
    public record Remark(String words) implements Action {}

    /**
     * Note that another role of a store is known; a store that is found to be a replica for the first time is not
     * reported.
     *
     * @param asOfNs    the time that the evidence is from
     * @param requestId the request whose answer, or lack of one, is the evidence; 0 if there is none
     */
    public record RoleChanged(long store, RoleState from, RoleState to, long asOfNs, EvidenceSource source,
            long requestId) implements Action {}

    /** Subscribe to changes of the server list, or unsubscribe. */
    public record Subscribe(boolean enable) implements Action {}

    /** Request the whole server list once. */
    public record ListAll() implements Action {}
}
