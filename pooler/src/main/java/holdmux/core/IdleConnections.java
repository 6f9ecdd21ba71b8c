package holdmux.core;

import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines.Deadline;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Pool of idle server connections, reused most recent first; each connection holds a slot until it is discarded. */
public final class IdleConnections<C extends IdleConnections.Connection> {
    /** Divides the servers' idle time-out: connections are closed after half of it, which avoids a race with the server's close. */
    private static final int IDLE_TIMEOUT_DIVISOR = 2;
    /** An exchange that has not ended this long after its answer never will: the end follows within a round trip. */
    private static final long MAX_NOT_YET_NS = 250 * Clock.MS;

    /** Whether a connection can take another request. */
    public enum Readiness {
        /** It is open, and nothing of an earlier exchange is still to come. */
        READY,
        /** It is open, but the end of an earlier exchange has not been received. */
        NOT_YET,
        /** It is closed, or its last exchange does not end. */
        BROKEN,
        /** Something was received that belongs to no exchange. */
        SURPLUS
    }

    /** A connection to one server. */
    public interface Connection {
        /** Returns the server's number in {@link ServerRegistry}. */
        long serverId();

        /** Returns the address that the connection was opened to. */
        InetSocketAddress address();

        /** Checks without blocking whether the connection can take another request. */
        Readiness readiness();

        /** Closes the connection; never throws. */
        void close();
    }

    /** An idle connection, with the time since when it is idle and the deadline at which it is closed. */
    private record Idle<C>(C connection, long since, Deadline closeDeadline) {}

    private final ServerRegistry registry;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final ServerSlots slots;
    private final LongSupplier serverIdleTimeoutNs;
    /** Idle connections by server, without empty queues, and all by close time, so that finding the oldest needs no scan. */
    private final Map<Long, Deque<Idle<C>>> idleByServer = new HashMap<>();
    private final TreeMap<Deadline, C> byDeadline = new TreeMap<>();

    /** Creates an empty pool; {@code serverIdleTimeoutNs} is the time after which the servers close idle connections. */
    public IdleConnections(ServerRegistry registry, Clock clock, Deadlines deadlines, Counters counters, ServerSlots slots,
            LongSupplier serverIdleTimeoutNs) {
        this.registry = registry;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.slots = slots;
        this.serverIdleTimeoutNs = serverIdleTimeoutNs;
    }

    /**
     * Removes and returns an idle connection to a server: the last used that is ready, or else the one that will be ready
     * first, which its user has to wait for. Returns null if there is none.
     */
    public C take(long serverId) {
        Deque<Idle<C>> notYet = new ArrayDeque<>(0);
        try {
            for (Idle<C> found = removeLatest(serverId); found != null; found = removeLatest(serverId)) {
                switch (readiness(found)) {
                    case READY -> {
                        return found.connection();
                    }
                    case NOT_YET -> notYet.addFirst(found);
                    case BROKEN -> discardUnusable(found.connection(), Counter.SERVER_STALE_CLOSES);
                    case SURPLUS -> discardUnusable(found.connection(), Counter.SERVER_SURPLUS_CLOSES);
                }
            }
            return notYet.isEmpty() ? null : notYet.removeFirst().connection();
        } finally {
            notYet.forEach(idle -> add(idle.connection(), idle.since(), idle.closeDeadline().at()));
        }
    }

    private Readiness readiness(Idle<C> idle) {
        C connection = idle.connection();
        if (!connection.address().equals(registry.address(connection.serverId()))) {
            return Readiness.BROKEN;
        }
        Readiness readiness = connection.readiness();
        boolean overdue = readiness == Readiness.NOT_YET && clock.now() - idle.since() > MAX_NOT_YET_NS;
        return overdue ? Readiness.BROKEN : readiness;
    }

    /** Removes and returns the connection to a server that became idle last, or returns null if there is none. */
    private synchronized Idle<C> removeLatest(long serverId) {
        Deque<Idle<C>> queue = idleByServer.get(serverId);
        if (queue == null) {
            return null;
        }
        Idle<C> latest = queue.peekLast();
        remove(latest);
        return latest;
    }

    /** Puts a connection that is no longer in use into the pool. */
    public void keep(C connection) {
        long now = clock.now();
        add(connection, now, now + serverIdleTimeoutNs.getAsLong() / IDLE_TIMEOUT_DIVISOR);
    }

    private synchronized void add(C connection, long since, long closeAt) {
        Deque<Idle<C>> queue = idleByServer.computeIfAbsent(connection.serverId(), s -> new ArrayDeque<>());
        Idle<C> added = new Idle<>(connection, since, deadlines.at(closeAt, () -> closeIdle(connection)));
        queue.addLast(added);
        byDeadline.put(added.closeDeadline(), connection);
    }

    /** Removes an entry from the pool; must be called with this object's monitor held. */
    private void remove(Idle<C> entry) {
        long serverId = entry.connection().serverId();
        Deque<Idle<C>> queue = idleByServer.get(serverId);
        queue.remove(entry);
        if (queue.isEmpty()) {
            idleByServer.remove(serverId);
        }
        byDeadline.remove(entry.closeDeadline());
        deadlines.cancel(entry.closeDeadline());
    }

    /** Closes a connection that was found not ready when it was to be used, and counts the reason. */
    public void discardUnusable(C connection, Counter reason) {
        counters.count(reason);
        discard(connection);
    }

    /** Closes a connection that is not in the pool and releases its slot. */
    public void discard(C connection) {
        connection.close();
        slots.release();
    }

    private void closeIdle(C connection) {
        synchronized (this) {
            Deque<Idle<C>> queue = idleByServer.get(connection.serverId());
            Idle<C> found = queue == null ? null
                    : queue.stream().filter(i -> i.connection() == connection).findFirst().orElse(null);
            if (found == null) {
                return; // in use again
            }
            remove(found);
        }
        counters.count(Counter.SERVER_IDLE_CLOSES);
        discard(connection);
    }

    /** Reserves a slot for a new connection, if need be by closing the one idle for longest; false if all are in use. */
    public boolean reserve() {
        boolean reserved = slots.reserve();
        while (!reserved && closeOldest()) { // another thread may have taken the slot or the connection
            reserved = slots.reserve();
        }
        if (!reserved) {
            counters.count(Counter.OVER_CAPACITY);
        }
        return reserved;
    }

    private boolean closeOldest() {
        C oldest;
        synchronized (this) {
            oldest = byDeadline.isEmpty() ? null : byDeadline.firstEntry().getValue();
        }
        if (oldest != null) {
            closeIdle(oldest);
        }
        return oldest != null;
    }

    /** Closes all idle connections to a server. */
    public void closeAll(long serverId) {
        List<Idle<C>> all;
        synchronized (this) {
            all = List.copyOf(idleByServer.getOrDefault(serverId, new ArrayDeque<>()));
            all.forEach(this::remove);
        }
        all.forEach(i -> discard(i.connection()));
    }
}
