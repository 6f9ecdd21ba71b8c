package holdmux.pg;

import holdmux.config.Deployment;
import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Deadlines.Deadline;
import holdmux.core.Fleet;
import holdmux.core.Reply;
import holdmux.core.ServerStatus;
import holdmux.core.Shared;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.statement.Buffers;
import holdmux.statement.SqlState;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;

/** Connections to servers, kept while idle and used again, the latest first. */
final class ServerPool {
    /** Part of the servers' idle time after which we close first: half leaves no race with the server's close. */
    private static final int IDLE_PART = 2;
    /** Holds a startup packet. */
    private static final int OWN_MESSAGES = 128;

    private record Idle(ServerConnection connection, Deadline close) {}

    private final Fleet fleet;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Buffers buffers;
    private final Supplier<Deployment> deployment;
    private final ServerStatus.Form form;
    private final int most;
    private final Shared shared;
    private final Map<Long, Deque<Idle>> idle = new HashMap<>();
    /** Connections of answers that have begun and are still to be passed on. */
    private final Map<Answer, ServerConnection> begun = new ConcurrentHashMap<>();
    private int held;

    /** {@code most}: connections at once. */
    ServerPool(Fleet fleet, Clock clock, Deadlines deadlines, Counters counters, Buffers buffers,
            Supplier<Deployment> deployment, int most, Shared shared) {
        this.fleet = fleet;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.buffers = buffers;
        this.deployment = deployment;
        form = ServerStatus.Form.of(deployment.get());
        this.most = most;
        this.shared = shared;
    }

    /** One use of a connection to the attempt's server; blocks until it has ended one way or another. */
    Reply talk(Attempt attempt, List<ByteBuffer> query, Function<Answer, Reply> heard) {
        ServerConnection connection = null;
        boolean clean = false;
        boolean kept = false;
        try {
            connection = take(attempt.store);
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
            connection.send(query);
            attempt.written();
            Answer answer = connection.receive(form);
            boolean uncut = attempt.complete();
            clean = uncut && answer.whole();
            if (answer.begun() && !uncut) {
                giveBack(answer); // its connection was closed meanwhile
                return Reply.of(attempt.broken());
            }
            kept = answer.begun();
            if (kept) {
                begun.put(answer, connection);
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
        ServerConnection connection = begun.remove(answer);
        boolean clean = false;
        try {
            connection.relay(answer, out, messages, deadlines);
            clean = answer.whole();
        } catch (ProtocolException e) {
            throw new IOException("a long answer was spoilt", e);
        } finally {
            release(connection, clean);
        }
    }

    /** Null, or the SQLSTATE with which the server turned the connection away. */
    private String open(ServerConnection connection, Attempt attempt) throws IOException, ProtocolException {
        counters.count(Counter.SERVER_CONNECTS);
        if (!attempt.carriedBy(connection)) {
            throw new IOException("cut off before it was sent");
        }
        Deadline timeOut = deadlines.after(deployment.get().connectTimeoutNs(), () -> attempt.cut(Outcome.CONNECT_FAILED));
        try {
            connection.connect();
            connection.send(List.of(new Message(new byte[OWN_MESSAGES]).beginUntyped().put(Message.PROTOCOL_3).put("user")
                    .put("holdmux").put("database").put("crm").put('\0').end().bytes()));
            Answer greeting = connection.receive(form);
            buffers.give(greeting.buffer);
            return greeting.sqlState();
        } finally {
            deadlines.cancel(timeOut);
        }
    }

    /** Gives back what an answer holds that {@link #talk} handed on. */
    void giveBack(Answer answer) {
        ServerConnection unread = begun.remove(answer);
        if (unread != null) {
            discard(unread);
        }
        buffers.give(answer.buffer);
    }

    /** An idle connection that still stands, or null. */
    private ServerConnection take(long store) {
        while (true) {
            Idle found;
            synchronized (this) {
                Deque<Idle> of = idle.get(store);
                found = of == null ? null : of.pollLast();
            }
            if (found == null) {
                return null;
            }
            deadlines.cancel(found.close());
            ServerConnection connection = found.connection();
            if (connection.address.equals(fleet.address(store)) && connection.clean()) {
                return connection;
            }
            counters.count(Counter.SERVER_STALE_CLOSES);
            discard(connection);
        }
    }

    /** A new connection, not yet opened; null if the server is gone or this pooler holds all it may. */
    private ServerConnection connection(long store) throws IOException {
        InetSocketAddress address = fleet.address(store);
        if (address == null || !reserve()) {
            return null;
        }
        try {
            return new ServerConnection(store, address, buffers);
        } catch (IOException e) {
            unreserve();
            throw e;
        }
    }

    private boolean reserve() {
        synchronized (this) {
            if (held < most - shared.servers()) {
                held++;
                return true;
            }
        }
        counters.count(Counter.OVER_CAPACITY);
        return false;
    }

    /** Connections held now, in use or idle. */
    synchronized int held() {
        return held;
    }

    private synchronized void unreserve() {
        held--;
    }

    private void discard(ServerConnection connection) {
        connection.close();
        unreserve();
    }

    private void release(ServerConnection connection, boolean clean) {
        if (!clean) {
            discard(connection);
            return;
        }
        synchronized (this) {
            Deque<Idle> of = idle.computeIfAbsent(connection.store, s -> new ArrayDeque<>());
            long closeAt = clock.now() + deployment.get().connIdleNs() / IDLE_PART;
            of.addLast(new Idle(connection, deadlines.at(closeAt, () -> closeIdle(connection))));
        }
    }

    private void closeIdle(ServerConnection connection) {
        boolean was;
        synchronized (this) {
            Deque<Idle> of = idle.get(connection.store);
            was = of.removeIf(i -> i.connection() == connection);
        }
        if (was) {
            counters.count(Counter.SERVER_IDLE_CLOSES);
            discard(connection);
        }
    }

    /** Closes all idle connections to a server. */
    void closeAllIdle(long store) {
        Deque<Idle> of;
        synchronized (this) {
            of = idle.remove(store);
        }
        if (of != null) {
            of.forEach(i -> {
                deadlines.cancel(i.close());
                discard(i.connection());
            });
        }
    }
}
