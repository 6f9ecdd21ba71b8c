package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.Deadlines;
import holdmux.core.OtherProcess;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The open client connections, limited by a cap. Clients keep connections open indefinitely, some after a single request,
 * and each client may open only a limited number; so above a quarter of the cap the connections that have been idle longest
 * are closed by a periodic sweep. Sessions call these methods without holding their own lock.
 */
final class ClientRegistry {
    /** An idle connection may be closed after 2 s; the extra 50 ms allow for the client's clock. */
    private static final long MIN_IDLE_NS = 2_050 * Clock.MS;
    /** Idle times above {@link #CROWDED_PERCENT} of the cap. A connection with one request so far is closed after
     * several round trips; one that was used again is kept longer, since a reconnect costs more than closing it frees. */
    private static final long CROWDED_MIN_IDLE_NS = 100 * Clock.MS, CROWDED_RETURNING_MIN_IDLE_NS = 500 * Clock.MS;
    /** Interval between sweeps for idle connections. */
    private static final long SWEEP_INTERVAL_NS = 50 * Clock.MS;
    /** Up to this fraction of the cap, idle connections stay open, so that clients with occasional requests need not reconnect. */
    private static final int IDLE_DIVISOR = 4;
    /** Percentages of the cap above which idle times are shortened, and above which reused connections lose their longer idle
     * time; requests in progress occupy at most 66 percent. */
    private static final int CROWDED_PERCENT = 50, NEARLY_FULL_PERCENT = 60;
    /** Delay between the order to evacuate and the first closed connection. The load balancer in front checks readiness ten times
     * a second and stops sending clients 0.2 s after a failure; clients closed earlier would reconnect here. */
    private static final long EVACUATION_DELAY_NS = 400 * Clock.MS;

    private final int maxClients;
    private final OtherProcess otherProcess;
    /** When the process shuts down; {@code Long.MAX_VALUE} until that is announced. */
    private volatile long shutdownAt = Long.MAX_VALUE;
    /** Start of the evacuation; {@code Long.MAX_VALUE} while there is none. */
    private volatile long evacuatingSince = Long.MAX_VALUE;
    /** Whether another process takes over the clients whose connections are closed here. */
    private volatile boolean handingOver;
    private final Clock clock;
    /** All open sessions, at most {@link #capacity()}. */
    private final Set<ClientSession> open = new HashSet<>();
    /** Sessions without a well-formed request so far, with the time of connecting; idle sessions after their first answer, and
     * idle sessions that were used again, with the time of becoming idle. Each oldest first. */
    private final Map<ClientSession, Long> withoutRequest = new LinkedHashMap<>(), idleNew = new LinkedHashMap<>(),
            idleReturning = new LinkedHashMap<>();
    /** All sessions that had another request after being idle. */
    private final Set<ClientSession> returning = new HashSet<>();
    /** Sessions closed while idle that wait for the client to close its side. */
    private final Set<ClientSession> lingering = new HashSet<>();
    /** Sessions by the key that a CancelRequest must contain: process ID and secret, together one random number. */
    private final Map<Long, ClientSession> sessionsByKey = new HashMap<>();
    private final Map<ClientSession, Long> cancelKeys = new HashMap<>();
    private final SecureRandom random = new SecureRandom();

    ClientRegistry(int maxClients, OtherProcess otherProcess, Clock clock, Deadlines deadlines) {
        this.maxClients = maxClients;
        this.otherProcess = otherProcess;
        this.clock = clock;
        scheduleSweep(deadlines);
    }

    /** The cap minus the clients that the other process of this pooler holds during an upgrade. */
    private int capacity() {
        return Math.max(0, maxClients - otherProcess.clients());
    }

    private void scheduleSweep(Deadlines deadlines) {
        deadlines.after(SWEEP_INTERVAL_NS, () -> {
            sweep();
            scheduleSweep(deadlines);
        });
    }

    /** Closes idle connections as needed. Does nothing during shutdown, when a closed client may find no other pooler. */
    private synchronized void sweep() {
        if (shutdownAt != Long.MAX_VALUE) {
            return;
        }
        if (isEvacuating() && closesIdleSessions()) {
            List.copyOf(idleReturning.keySet()).forEach(ClientSession::closeIfIdle);
            List.copyOf(idleNew.keySet()).forEach(ClientSession::closeIfIdle);
            closeOldest(withoutRequest, clock.now() - EVACUATION_DELAY_NS, open.size());
            return;
        }
        long now = clock.now();
        int excess = notLingering() - capacity() / IDLE_DIVISOR;
        excess -= closeOldest(idleNew, now - MIN_IDLE_NS, excess);
        excess -= closeOldest(idleReturning, now - MIN_IDLE_NS, excess);
        closeOldest(withoutRequest, now - MIN_IDLE_NS, excess);
        int crowdExcess = notLingering() - capacity() * CROWDED_PERCENT / 100;
        crowdExcess -= closeOldest(idleNew, now - CROWDED_MIN_IDLE_NS, crowdExcess);
        closeOldest(idleReturning, now - CROWDED_RETURNING_MIN_IDLE_NS, crowdExcess);
        closeOldest(idleReturning, now - CROWDED_MIN_IDLE_NS, notLingering() - capacity() * NEARLY_FULL_PERCENT / 100);
    }

    private int notLingering() {
        return open.size() - lingering.size();
    }

    /** Registers a new connection, closing one without a request if the cap is reached; false if there is no room. */
    synchronized boolean admit(ClientSession session) {
        long now = clock.now();
        if (open.size() >= capacity()) {
            // a connection without any well-formed request must not keep out clients that have one
            List.copyOf(withoutRequest.keySet()).stream().filter(ClientSession::closeUnlessOwed).findFirst()
                    .ifPresent(this::remove);
        }
        if (open.size() >= capacity()) {
            return false;
        }
        open.add(session);
        withoutRequest.put(session, now);
        return true;
    }

    /** Closes up to {@code limit} sessions that have been idle since {@code cutoffNs} or longer; returns how many. */
    private int closeOldest(Map<ClientSession, Long> sessions, long cutoffNs, int limit) {
        int closed = 0;
        Iterator<Map.Entry<ClientSession, Long>> entries = sessions.entrySet().iterator();
        while (closed < limit && entries.hasNext()) {
            Map.Entry<ClientSession, Long> oldest = entries.next();
            if (oldest.getValue() > cutoffNs) {
                break;
            }
            if (oldest.getKey().closeIfIdle()) {
                entries.remove();
                lingering.add(oldest.getKey());
                closed++;
            }
        }
        return closed;
    }

    /** Creates the key with which this session's client can cancel queries. */
    synchronized long issueCancelKey(ClientSession session) {
        long key = random.nextLong();
        while (sessionsByKey.containsKey(key)) {
            key = random.nextLong();
        }
        if (open.contains(session)) {
            sessionsByKey.put(key, session);
            cancelKeys.put(session, key);
        }
        return key;
    }

    /** Handles a CancelRequest; an unknown key has no effect. */
    void cancel(int process, int secret) {
        ClientSession session;
        synchronized (this) {
            session = sessionsByKey.get((long) process << Integer.SIZE | Integer.toUnsignedLong(secret));
        }
        if (session != null) {
            session.cancel();
        }
    }

    /** Notes that a session has a well-formed request. */
    synchronized void markBusy(ClientSession session) {
        withoutRequest.remove(session);
        if (idleNew.remove(session) != null || idleReturning.remove(session) != null) {
            returning.add(session);
        }
    }

    /** Notes that a session has answered everything it was asked. */
    synchronized void markIdle(ClientSession session) {
        if (open.contains(session) && !withoutRequest.containsKey(session)) {
            Map<ClientSession, Long> idle = returning.contains(session) ? idleReturning : idleNew;
            idle.remove(session);
            idle.put(session, clock.now());
        }
    }

    /** Removes a closed session. */
    synchronized void remove(ClientSession session) {
        open.remove(session);
        withoutRequest.remove(session);
        idleNew.remove(session);
        idleReturning.remove(session);
        returning.remove(session);
        lingering.remove(session);
        Long key = cancelKeys.remove(session);
        if (key != null) {
            sessionsByKey.remove(key);
        }
    }

    /** Starts or ends the evacuation of clients; a repeated order changes nothing. */
    void setEvacuating(boolean evacuating) {
        evacuatingSince = !evacuating ? Long.MAX_VALUE : isEvacuating() ? evacuatingSince : clock.now();
    }

    /** Whether clients are being evacuated, so that readiness checks fail. */
    boolean isEvacuating() {
        return evacuatingSince != Long.MAX_VALUE;
    }

    /** From now on each connection is closed after its next answer; its client reconnects to the other process. */
    void handOver() {
        handingOver = true;
    }

    /** Whether a connection has to be closed as soon as it is idle. */
    boolean closesIdleSessions() {
        return handingOver || isEvacuating() && clock.now() - evacuatingSince >= EVACUATION_DELAY_NS;
    }

    /** Sets the time of shutdown, which limits what new requests may take. */
    void announceShutdown(long delayNs) {
        shutdownAt = clock.now() + delayNs;
    }

    /** Time until shutdown, available to a request that arrives now. */
    long timeLeftNs() {
        return shutdownAt - clock.now();
    }

    /** The number of sessions that have answered everything they were asked. */
    synchronized int idle() {
        return idleNew.size() + idleReturning.size();
    }

    /** The number of open sessions. */
    synchronized int size() {
        return open.size();
    }

    /** A snapshot of the open sessions. */
    synchronized List<ClientSession> all() {
        return List.copyOf(open);
    }
}
