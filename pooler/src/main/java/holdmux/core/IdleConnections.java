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

/** Connections to servers kept while idle and used again, the latest first; each holds a slot until it is discarded. */
public final class IdleConnections<C extends IdleConnections.Connection> {
    /** Part of the servers' idle time after which we close first: half leaves no race with the server's close. */
    private static final int IDLE_TIMEOUT_DIVISOR = 2;

    /** One connection to one server. */
    public interface Connection {
        long serverId();

        InetSocketAddress address();

        /** Whether it still stands with nothing to be read: neither an end nor a late word. */
        boolean isReusable();

        /** Ends it; never throws. */
        void close();
    }

    private record Idle<C>(C connection, Deadline closeDeadline) {}

    private final ServerRegistry registry;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final ServerSlots slots;
    private final LongSupplier serverIdleTimeoutNs;
    /** By server, none empty, and all by when they are closed, so that the oldest is found however many servers there are. */
    private final Map<Long, Deque<Idle<C>>> idleByServer = new HashMap<>();
    private final TreeMap<Deadline, C> byDeadline = new TreeMap<>();

    /** {@code idleNs}: after how long the servers close what is idle. */
    public IdleConnections(ServerRegistry registry, Clock clock, Deadlines deadlines, Counters counters, ServerSlots slots,
            LongSupplier serverIdleTimeoutNs) {
        this.registry = registry;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.slots = slots;
        this.serverIdleTimeoutNs = serverIdleTimeoutNs;
    }

    /** An idle connection that still stands, or null. */
    public C take(long serverId) {
        while (true) {
            Idle<C> found;
            synchronized (this) {
                Deque<Idle<C>> queue = idleByServer.get(serverId);
                found = queue == null ? null : queue.peekLast();
                if (found == null) {
                    return null;
                }
                remove(found);
            }
            C connection = found.connection();
            if (connection.address().equals(registry.address(serverId)) && connection.isReusable()) {
                return connection;
            }
            counters.count(Counter.SERVER_STALE_CLOSES);
            discard(connection);
        }
    }

    /** Keeps a connection for the next use. */
    public void keep(C connection) {
        synchronized (this) {
            Deque<Idle<C>> queue = idleByServer.computeIfAbsent(connection.serverId(), s -> new ArrayDeque<>());
            long closeAt = clock.now() + serverIdleTimeoutNs.getAsLong() / IDLE_TIMEOUT_DIVISOR;
            Idle<C> kept = new Idle<>(connection, deadlines.at(closeAt, () -> closeIdle(connection)));
            queue.addLast(kept);
            byDeadline.put(kept.closeDeadline(), connection);
        }
    }

    /** No longer idle; only under this object's monitor. */
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

    /** Closes a connection that is in use and gives back its slot. */
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
                return; // taken meanwhile
            }
            remove(found);
        }
        counters.count(Counter.SERVER_IDLE_CLOSES);
        discard(connection);
    }

    /** A slot for a new connection: at the cap that of the one that has been idle longest; false if none is to be had. */
    public boolean reserve() {
        boolean reserved = slots.reserve();
        while (!reserved && closeOldest()) { // another thread may have been quicker to the slot, or to the connection
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
