package holdmux.core;

import holdmux.config.Deployment;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.RequestClass;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import java.util.function.Supplier;

/** What must hold of a statement before it becomes a request, whichever front took it. */
public final class Admission {
    /** How long the request is on its way to us, at most in the deployments so far: d counts from its send. */
    private static final long UNDERWAY_MS = 2;

    private final Supplier<Deployment> deployment;
    private final Fleet fleet;
    /** Null where nothing is asked. */
    private volatile Supplier<String> gate;

    public Admission(Supplier<Deployment> deployment, Fleet fleet) {
        this.deployment = deployment;
        this.fleet = fleet;
    }

    /** Names who says whether anything new may be taken; see {@link Steering#gate}. */
    void gate(Supplier<String> closed) {
        gate = closed;
    }

    /** Null, or in words why this pooler takes no request now: another one can. */
    public String closed() {
        Supplier<String> now = gate;
        return now == null ? null : now.get();
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
