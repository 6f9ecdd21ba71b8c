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
    private static final long MAX_NETWORK_DELAY_MS = 2;
    /** When to come again while discovery's list is awaited: its agent is asked twice in this time. */
    private static final long LIST_RETRY_AFTER_NS = 1_000 * Clock.MS;

    /**
     * Why nothing is taken.
     *
     * @param counter what such refusals are counted under
     * @param retryAfterNs when the client should come again, in nanoseconds; 0 for no hint
     */
    public record Refusal(String reason, Counter counter, long retryAfterNs) {}

    private final Supplier<Deployment> deployment;
    private final ServerRegistry registry;
    /** Null where nothing is asked. */
    private volatile Supplier<String> setAdmissionGate;
    /** Whether discovery has still to confirm the list before anything may be taken. */
    private volatile boolean listUnconfirmed;

    public Admission(Supplier<Deployment> deployment, ServerRegistry registry) {
        this.deployment = deployment;
        this.registry = registry;
    }

    /** Names who says whether anything new may be taken; see {@link PolicyControl#setAdmissionGate}. */
    void setAdmissionGate(Supplier<String> refusalReason) {
        setAdmissionGate = refusalReason;
    }

    /** From now on nothing is taken until {@link #listConfirmed}. */
    public void requireListConfirmation() {
        listUnconfirmed = true;
    }

    /** Discovery has confirmed the list of servers. */
    public void listConfirmed() {
        listUnconfirmed = false;
    }

    /** Null, or why this pooler takes no request now: another one can. */
    public Refusal refusal() {
        if (listUnconfirmed) {
            return new Refusal("discovery has not confirmed the list of servers yet", Counter.REFUSED_UNCONFIRMED,
                    retryAfterNs());
        }
        String reason = policyRefusalReason();
        return reason == null ? null : new Refusal(reason, Counter.POLICY_CLOSED, 0);
    }

    /** Null, or in words why the fleet's policy lets this pooler take nothing. */
    public String policyRefusalReason() {
        Supplier<String> now = setAdmissionGate;
        return now == null ? null : now.get();
    }

    private long retryAfterNs() {
        Limits limits = deployment.get().settings().limits();
        return limits.retryAfter() ? Math.min(LIST_RETRY_AFTER_NS, limits.maxRetryAfterNs()) : 0;
    }

    /** The request that a statement stands for, where its client and this process wait no longer than this. */
    public Request.Spec admit(Statement statement, long maxWaitNs) throws StatementException {
        RequestClass requestClass = requestClass(statement.className);
        if (!registry.hasGroup(statement.group)) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "unknown group " + statement.group);
        }
        if (statement.write != (requestClass.consistency() == Consistency.WRITE)) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "the class does not go with the statement");
        }
        boolean session = statement.write || requestClass.consistency() == Consistency.SESSION;
        return new Request.Spec(statement.className, requestClass.consistency(), statement.retry,
                Math.max(1, Math.min(remainingWaitNs(statement), maxWaitNs)), statement.positionMs * Clock.MS,
                session ? statement.session() : 0, statement.group);
    }

    /** The class of this name in the settings in force. */
    public RequestClass requestClass(String className) throws StatementException {
        Deployment current = deployment.get();
        int index = current.classes().indexOf(className);
        if (index < 0) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "unknown class");
        }
        return current.settings().classes().get(index);
    }

    /** How long the client still waits. */
    public static long remainingWaitNs(Statement statement) {
        return Math.max(1, statement.timeoutMs - MAX_NETWORK_DELAY_MS) * Clock.MS;
    }
}
