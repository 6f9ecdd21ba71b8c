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

/** Checks statements before they become requests, in the same way for every front, and decides when new requests are refused. */
public final class Admission {
    /** Upper bound of the network delay from client to pooler in current deployments; the client's {@code d} counts from its send. */
    private static final long MAX_NETWORK_DELAY_MS = 2;
    /** Retry hint while the server list is unconfirmed; the discovery agent is called twice in this time. */
    private static final long LIST_RETRY_AFTER_NS = 1_000 * Clock.MS;

    /**
     * Why new requests are refused.
     *
     * @param reason the reason as readable text
     * @param counter the counter for requests refused for this reason
     * @param retryAfterNs when the client should retry, in nanoseconds; 0 for no hint
     */
    public record Refusal(String reason, Counter counter, long retryAfterNs) {}

    private final Supplier<Deployment> deployment;
    private final ServerRegistry registry;
    /** Returns the policy's reason to refuse requests, or null; null itself until one is set. */
    private volatile Supplier<String> admissionGate;
    /** Whether requests are refused until discovery confirms the server list. */
    private volatile boolean listUnconfirmed;

    /** Creates an admission check that reads the deployment anew for each statement. */
    public Admission(Supplier<Deployment> deployment, ServerRegistry registry) {
        this.deployment = deployment;
        this.registry = registry;
    }

    /** Sets the supplier of the policy's refusal reason; see {@link PolicyControl#setAdmissionGate}. */
    void setAdmissionGate(Supplier<String> refusalReason) {
        admissionGate = refusalReason;
    }

    /** Refuses new requests until {@link #listConfirmed} is called. */
    public void requireListConfirmation() {
        listUnconfirmed = true;
    }

    /** Ends the refusal that {@link #requireListConfirmation} began: discovery has confirmed the server list. */
    public void listConfirmed() {
        listUnconfirmed = false;
    }

    /** Returns why this pooler refuses new requests now, or null if it accepts them; another pooler may accept them. */
    public Refusal refusal() {
        if (listUnconfirmed) {
            return new Refusal("discovery has not confirmed the list of servers yet", Counter.REFUSED_UNCONFIRMED,
                    retryAfterNs());
        }
        String reason = policyRefusalReason();
        return reason == null ? null : new Refusal(reason, Counter.POLICY_CLOSED, 0);
    }

    /** Returns the reason why the fleet-wide policy makes this pooler refuse new requests, or null if it does not. */
    public String policyRefusalReason() {
        Supplier<String> gate = admissionGate;
        return gate == null ? null : gate.get();
    }

    private long retryAfterNs() {
        Limits limits = deployment.get().settings().limits();
        return limits.retryAfter() ? Math.min(LIST_RETRY_AFTER_NS, limits.maxRetryAfterNs()) : 0;
    }

    /**
     * Turns a statement into the request it stands for. The request's time is limited by what its client still waits and
     * by {@code maxWaitNs}.
     *
     * @throws StatementException if the class or the group is unknown, or the class does not allow such a statement
     */
    public Request.Spec admit(Statement statement, long maxWaitNs) throws StatementException {
        RequestClass requestClass = requestClass(statement.className);
        if (!registry.hasGroup(statement.group)) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "unknown server group " + statement.group);
        }
        if (statement.write != (requestClass.consistency() == Consistency.WRITE)) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE,
                    "the request class does not match the statement: INSERT requires a write class, SELECT a read class");
        }
        boolean session = statement.write || requestClass.consistency() == Consistency.SESSION;
        return new Request.Spec(statement.className, requestClass.consistency(), statement.retry,
                Math.max(1, Math.min(remainingWaitNs(statement), maxWaitNs)), statement.positionMs * Clock.MS,
                session ? statement.session() : 0, statement.group);
    }

    /** Returns the request class of this name in the current settings. */
    public RequestClass requestClass(String className) throws StatementException {
        Deployment current = deployment.get();
        int index = current.classes().indexOf(className);
        if (index < 0) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "unknown request class");
        }
        return current.settings().classes().get(index);
    }

    /** Returns how long the client still waits, allowing for the time that the statement has spent on the network. */
    public static long remainingWaitNs(Statement statement) {
        return Math.max(1, statement.timeoutMs - MAX_NETWORK_DELAY_MS) * Clock.MS;
    }
}
