package holdmux.core;

import holdmux.config.Deployment;
import holdmux.core.Counters.Counter;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Limits;
import holdmux.decision.SplitterApi.RequestClass;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import java.util.function.Supplier;

/** What must hold of a statement before it becomes a request, whichever front took it. */
public final class Admission {
    /** How long the request is on its way to us, at most in the deployments so far: d counts from its send. */
    private static final long UNDERWAY_MS = 2;
    /** When to come again while discovery's list is awaited: its agent is asked twice in this time. */
    private static final long LIST_RETRY_NS = 1_000 * Clock.MS;

    /**
     * Why nothing is taken.
     *
     * @param counter what such refusals are counted under
     * @param retryAfterNs when the client should come again, in nanoseconds; 0 for no hint
     */
    public record Closed(String reason, Counter counter, long retryAfterNs) {}

    private final Supplier<Deployment> deployment;
    private final Fleet fleet;
    /** Null where nothing is asked. */
    private volatile Supplier<String> gate;
    /** Whether discovery has still to confirm the list before anything may be taken. */
    private volatile boolean listAwaited;

    public Admission(Supplier<Deployment> deployment, Fleet fleet) {
        this.deployment = deployment;
        this.fleet = fleet;
    }

    /** Names who says whether anything new may be taken; see {@link Steering#gate}. */
    void gate(Supplier<String> closed) {
        gate = closed;
    }

    /** From now on nothing is taken until {@link #listConfirmed}. */
    public void awaitList() {
        listAwaited = true;
    }

    /** Discovery has confirmed the list of servers. */
    public void listConfirmed() {
        listAwaited = false;
    }

    /** Null, or why this pooler takes no request now: another one can. */
    public Closed closed() {
        if (listAwaited) {
            return new Closed("discovery has not confirmed the list of servers yet", Counter.REFUSED_UNCONFIRMED,
                    retryAfterNs());
        }
        String reason = closedByPolicy();
        return reason == null ? null : new Closed(reason, Counter.POLICY_CLOSED, 0);
    }

    /** Null, or in words why the fleet's policy lets this pooler take nothing. */
    public String closedByPolicy() {
        Supplier<String> now = gate;
        return now == null ? null : now.get();
    }

    private long retryAfterNs() {
        Limits limits = deployment.get().settings().limits();
        return limits.retryAfter() ? Math.min(LIST_RETRY_NS, limits.maxRetryAfterNs()) : 0;
    }

    /** The request that a statement stands for, where its client and this process wait no longer than this. */
    public Request.Call call(Statement statement, long mostNs) throws StatementException {
        RequestClass type = type(statement.className);
        if (!fleet.hasGroup(statement.group)) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "unknown group " + statement.group);
        }
        if (statement.write != (type.consistency() == Consistency.WRITE)) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "the class does not go with the statement");
        }
        boolean session = statement.write || type.consistency() == Consistency.SESSION;
        return new Request.Call(statement.className, type.consistency(), statement.retry,
                Math.max(1, Math.min(waitNs(statement), mostNs)), statement.afterMs * Clock.MS,
                session ? statement.session() : 0, statement.group);
    }

    /** The class of this name in the settings in force. */
    public RequestClass type(String className) throws StatementException {
        Deployment now = deployment.get();
        int index = now.classes().indexOf(className);
        if (index < 0) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "unknown class");
        }
        return now.settings().classes().get(index);
    }

    /** How long the client still waits. */
    public static long waitNs(Statement statement) {
        return Math.max(1, statement.waitMs - UNDERWAY_MS) * Clock.MS;
    }
}
