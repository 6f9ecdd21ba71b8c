package holdmux.pg;

import holdmux.config.Deployment;
import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Deadlines.Deadline;
import holdmux.core.Fleet;
import holdmux.core.IdleConnections;
import holdmux.core.Reply;
import holdmux.core.ServerSlots;
import holdmux.core.ServerStatus;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.statement.Buffers;
import holdmux.statement.SqlState;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;

/** Talks to servers, one request at a time on a connection; keeps connections while idle. */
final class ServerPool {
    /** Holds a startup packet. */
    private static final int OWN_MESSAGES = 128;

    private final Fleet fleet;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Buffers buffers;
    private final Supplier<Deployment> deployment;
    private final ServerStatus.Form form;
    private final ServerSlots slots;
    private final IdleConnections<ServerConnection> idle;
    /** Connections of answers that have begun and are still to be passed on. */
    private final Map<Answer, Begun> begun = new ConcurrentHashMap<>();

    /** {@code by}: the end of the attempt's time. */
    private record Begun(ServerConnection connection, long by) {}

    ServerPool(Fleet fleet, Clock clock, Deadlines deadlines, Counters counters, Buffers buffers,
            Supplier<Deployment> deployment, ServerSlots slots) {
        this.fleet = fleet;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.buffers = buffers;
        this.deployment = deployment;
        form = ServerStatus.Form.of(deployment.get());
        this.slots = slots;
        idle = new IdleConnections<>(fleet, clock, deadlines, counters, slots, () -> deployment.get().connIdleNs());
    }

    /**
     * One use of a connection to the attempt's server; blocks until it has ended one way or another.
     *
     * @param withheld counts queries that were not written, since what they were decided on no longer held
     */
    Reply talk(Attempt attempt, List<ByteBuffer> query, Counter withheld, Function<Answer, Reply> heard) {
        ServerConnection connection = null;
        boolean clean = false;
        boolean kept = false;
        try {
            connection = idle.take(attempt.store);
            if (connection != null) {
                counters.count(Counter.SERVER_REUSES);
                if (!attempt.carriedBy(connection)) {
                    return Reply.of(attempt.broken());
                }
            } else {
                connection = connection(attempt.store);
                if (connection == null) {
                    return Reply.of(Outcome.MOOT); // never sent, and the server is not to blame
                }
                String refusal = open(connection, attempt);
                if (refusal != null) {
                    boolean full = refusal.equals(SqlState.TOO_MANY_CONNECTIONS);
                    return Reply.of(full ? Outcome.FULL : Outcome.CONNECT_FAILED);
                }
            }
            attempt.connected();
            if (!connection.send(query, attempt::stands)) {
                counters.count(withheld);
                clean = attempt.complete();
                return Reply.of(Outcome.MOOT);
            }
            attempt.written();
            Answer answer = connection.receive(form, deadlines);
            boolean uncut = attempt.complete();
            clean = uncut && answer.whole();
            if (answer.begun() && !uncut) {
                giveBack(answer); // its connection was closed meanwhile
                return Reply.of(attempt.broken());
            }
            kept = answer.begun();
            if (kept) {
                begun.put(answer, new Begun(connection, attempt.startedAt + attempt.limitNs));
            }
            return heard.apply(answer);
        } catch (Buffers.NoneFree e) {
            counters.count(Counter.OVER_CAPACITY);
            return Reply.of(attempt.droppedHere());
        } catch (IOException | ProtocolException e) {
            return Reply.of(attempt.broken());
        } finally {
            if (connection != null && !kept) {
                release(connection, clean);
            }
        }
    }

    /**
     * Passes on the rest of an answer whose long row has begun, with the messages round its value or that alone; the
     * client can tell if it does not come whole.
     */
    void relay(Answer answer, OutputStream out, boolean messages) throws IOException {
        Begun of = begun.remove(answer);
        boolean clean = false;
        try {
            of.connection().relay(answer, out, messages, deadlines, of.by());
            clean = answer.whole();
        } catch (ProtocolException e) {
            throw new IOException("a long answer was spoilt", e);
        } finally {
            release(of.connection(), clean);
        }
    }

    /** Null, or the SQLSTATE with which the server turned the connection away. */
    private String open(ServerConnection connection, Attempt attempt) throws IOException, ProtocolException {
        counters.count(Counter.SERVER_CONNECTS);
        if (!attempt.carriedBy(connection)) {
            throw new IOException("cut off before it was sent");
        }
        long waitNs = Math.min(deployment.get().connectTimeoutNs(), attempt.startedAt + attempt.limitNs - clock.now());
        Deadline timeOut = deadlines.after(deployment.get().connectTimeoutNs(), () -> attempt.cut(Outcome.CONNECT_FAILED));
        try {
            connection.connect(waitNs);
            connection.send(List.of(new Message(new byte[OWN_MESSAGES]).beginUntyped().put(Message.PROTOCOL_3).put("user")
                    .put("holdmux").put("database").put("crm").put('\0').end().bytes()), () -> true);
            Answer greeting = connection.receive(form, deadlines);
            buffers.give(greeting.buffer);
            return greeting.sqlState();
        } finally {
            deadlines.cancel(timeOut);
        }
    }

    /** Gives back what an answer holds that {@link #talk} handed on. */
    void giveBack(Answer answer) {
        Begun unread = begun.remove(answer);
        if (unread != null) {
            idle.discard(unread.connection());
        }
        buffers.give(answer.buffer);
    }

    /** A new connection, not yet opened; null if the server is gone or this pooler holds all it may. */
    private ServerConnection connection(long store) throws IOException {
        InetSocketAddress address = fleet.address(store);
        if (address == null || !idle.reserve()) {
            return null;
        }
        try {
            return new ServerConnection(store, address, buffers);
        } catch (IOException e) {
            slots.unreserve();
            throw e;
        }
    }

    private void release(ServerConnection connection, boolean clean) {
        if (clean) {
            idle.keep(connection);
        } else {
            idle.discard(connection);
        }
    }

    /** Closes all idle connections to a server. */
    void closeAllIdle(long store) {
        idle.closeAll(store);
    }
}
