package holdmux.pg;

import holdmux.config.Deployment;
import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Deadlines.Deadline;
import holdmux.core.IdleConnections;
import holdmux.core.IdleConnections.Readiness;
import holdmux.core.Reply;
import holdmux.core.ServerRegistry;
import holdmux.core.ServerSlots;
import holdmux.core.ServerStatus;
import holdmux.core.StatusListener;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import holdmux.statement.BufferPool;
import holdmux.statement.SqlState;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;

/** Exchanges messages with servers, one request at a time on a connection; keeps idle connections for reuse. */
final class ServerPool {
    /** Capacity for a startup packet. */
    private static final int STARTUP_BYTES = 128;

    private final ServerRegistry registry;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final BufferPool buffers;
    private final Supplier<Deployment> deployment;
    private final ServerStatus.ReportFormat reportFormat;
    private final ServerSlots slots;
    private final StatusListener statusListener;
    private final IdleConnections<ServerConnection> idle;
    /** Connections of long answers that are still to be streamed. */
    private final Map<Answer, ServerConnection> openStreams = new ConcurrentHashMap<>();

    ServerPool(ServerRegistry registry, Clock clock, Deadlines deadlines, Counters counters, BufferPool buffers,
            Supplier<Deployment> deployment, ServerSlots slots, StatusListener statusListener) {
        this.registry = registry;
        this.statusListener = statusListener;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.buffers = buffers;
        this.deployment = deployment;
        reportFormat = ServerStatus.ReportFormat.of(deployment.get());
        this.slots = slots;
        idle = new IdleConnections<>(registry, clock, deadlines, counters, slots, () -> deployment.get().connIdleNs());
    }

    /**
     * Sends a query on an idle or a new connection to the attempt's server and reads the answer; blocks until the attempt has
     * ended, or its long answer has begun.
     *
     * @param query composes the query once the connection is open
     * @param withheldCounter counts queries that were not written because the decision to send them was no longer valid
     * @param toReply takes over the answer and maps it to a reply
     */
    Reply exchange(Attempt attempt, Supplier<QueryMessage> query, Counter withheldCounter, Function<Answer, Reply> toReply) {
        ServerConnection connection = null;
        boolean reusable = false;
        boolean streaming = false;
        StatementTracker tracker = new StatementTracker(statusListener, attempt.serverId, attempt.startedAt);
        try {
            connection = takeIdle(attempt);
            if (connection != null) {
                counters.count(Counter.SERVER_REUSES);
                if (!attempt.attachConnection(connection)) {
                    return Reply.of(attempt.failDisconnected());
                }
            } else {
                connection = newConnection(attempt.serverId);
                if (connection == null) {
                    return Reply.of(Outcome.MOOT); // never sent, and not the server's fault
                }
                String refusal = open(connection, attempt);
                if (refusal != null) {
                    boolean full = refusal.equals(SqlState.TOO_MANY_CONNECTIONS);
                    return Reply.of(full ? Outcome.FULL : Outcome.CONNECT_FAILED);
                }
            }
            attempt.markConnected();
            if (!connection.send(query.get(), attempt, deadlines)) {
                counters.count(withheldCounter);
                reusable = attempt.complete();
                return Reply.of(Outcome.MOOT);
            }
            attempt.markWritten();
            tracker.queryWritten();
            Answer answer = connection.receive(reportFormat, deadlines, tracker::partlyRead);
            boolean inTime = attempt.complete();
            reusable = inTime && answer.endedCleanly();
            if (answer.isStreaming() && !inTime) {
                releaseAnswer(answer); // the attempt was aborted and its connection closed
                return Reply.of(attempt.failDisconnected());
            }
            streaming = answer.isStreaming();
            if (streaming) {
                openStreams.put(answer, connection);
            }
            if (streaming || answer.endedWithReadyForQuery() || answer.status().role() != Role.UNKNOWN) {
                tracker.answerTaken();
            }
            return toReply.apply(answer);
        } catch (BufferPool.ExhaustedException e) {
            counters.count(Counter.OVER_CAPACITY);
            return Reply.of(attempt.failLocally());
        } catch (IOException | ProtocolException e) {
            return Reply.of(attempt.failDisconnected());
        } finally {
            tracker.end();
            if (connection != null && !streaming) {
                releaseConnection(connection, reusable);
            }
        }
    }

    /**
     * Streams the rest of an answer whose long row has begun, with its messages or the value alone.
     *
     * @throws IOException if it could not be forwarded completely; the client then has to see that it is incomplete
     */
    void relay(Answer answer, OutputStream out, boolean withMessages) throws IOException {
        ServerConnection connection = openStreams.remove(answer);
        boolean reusable = false;
        try {
            connection.relay(answer, out, withMessages, deadlines);
            reusable = answer.endedCleanly();
        } catch (ProtocolException e) {
            throw new IOException("a long answer violated the protocol", e);
        } finally {
            releaseConnection(connection, reusable);
        }
    }

    /** Returns an idle connection whose last exchange has ended, or null; waits for that end as long as for a connect. */
    private ServerConnection takeIdle(Attempt attempt) {
        ServerConnection connection = idle.take(attempt.serverId);
        while (connection != null && !connection.isSynchronized()) {
            Readiness readiness = attempt.attachConnection(connection) ? awaitSynchronized(connection, attempt) : Readiness.BROKEN;
            if (readiness == Readiness.READY) {
                return connection;
            }
            boolean surplus = readiness == Readiness.SURPLUS;
            idle.discardUnusable(connection, surplus ? Counter.SERVER_SURPLUS_CLOSES : Counter.SERVER_STALE_CLOSES);
            connection = idle.take(attempt.serverId);
        }
        return connection;
    }

    private Readiness awaitSynchronized(ServerConnection connection, Attempt attempt) {
        Deadline timeout = deadlines.after(deployment.get().connectTimeoutNs(), () -> attempt.abort(Outcome.CONNECT_FAILED));
        try {
            return connection.awaitSynchronized();
        } finally {
            deadlines.cancel(timeout);
        }
    }

    /** Opens a connection; returns null, or the SQLSTATE with which the server refused it. */
    private String open(ServerConnection connection, Attempt attempt) throws IOException, ProtocolException {
        counters.count(Counter.SERVER_CONNECTS);
        if (!attempt.attachConnection(connection)) {
            throw new IOException("attempt aborted before connecting");
        }
        long waitNs = Math.min(deployment.get().connectTimeoutNs(), attempt.startedAt + attempt.timeoutNs - clock.now());
        Deadline timeout = deadlines.after(deployment.get().connectTimeoutNs(), () -> attempt.abort(Outcome.CONNECT_FAILED));
        try {
            connection.connect(waitNs);
            connection.sendStartup(new MessageBuilder(new byte[STARTUP_BYTES]).beginUntyped().put(MessageBuilder.PROTOCOL_3).put("user")
                    .put("holdmux").put("database").put("crm").put('\0').end().bytes());
            Answer response = connection.receive(reportFormat, deadlines, status -> { });
            buffers.release(response.buffer);
            reportStatus(attempt.serverId, response.status());
            if (response.sqlState() == null && !response.endedWithReadyForQuery()) {
                throw new IOException("the server sent more than its greeting");
            }
            return response.sqlState();
        } finally {
            deadlines.cancel(timeout);
        }
    }

    /** Releases the buffer of an answer from {@link #exchange}, and closes its connection if it was not streamed to its end. */
    void releaseAnswer(Answer answer) {
        ServerConnection connection = openStreams.remove(answer);
        if (connection != null) {
            idle.discard(connection);
        }
        buffers.release(answer.buffer);
    }

    /** Creates a connection that is not opened yet; null if the server is unknown or no connection slot is free. */
    private ServerConnection newConnection(long serverId) throws IOException {
        InetSocketAddress address = registry.address(serverId);
        if (address == null || !idle.reserve()) {
            return null;
        }
        try {
            return new ServerConnection(serverId, address, buffers, status -> reportStatus(serverId, status));
        } catch (IOException e) {
            slots.release();
            throw e;
        }
    }

    /** Reports what a greeting or the response to a {@link SyncQuery} states, if it denies that the server is the primary. */
    private void reportStatus(long serverId, Reply status) {
        if (status.role() == Role.REPLICA) {
            statusListener.stated(serverId, clock.now(), status);
        }
    }

    /** Keeps a connection for reuse or closes it. */
    private void releaseConnection(ServerConnection connection, boolean reusable) {
        if (reusable && registry.acceptsWork(connection.serverId()) && connection.synchronize()) {
            idle.keep(connection);
        } else {
            idle.discard(connection);
        }
    }

    /** Closes all idle connections to one server. */
    void closeAllIdle(long serverId) {
        idle.closeAll(serverId);
    }
}
