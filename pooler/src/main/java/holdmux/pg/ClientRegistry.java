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
 * The open client connections, never more than a cap. Clients keep connections for good, some after one request, and
 * may open only so many; so beyond a quarter of the cap those that have rested longest are closed time and again.
 * Sessions call in here without holding their own lock.
 */
final class ClientRegistry {
    /** A connection may be closed once it has rested this long: the platform's figure, and some for its clock. */
    private static final long MIN_IDLE_NS = 2_050 * Clock.MS;
    /** Beyond half the cap a crowd is on: whoever has asked once and rests goes after this, several times the way there
     * and back; who has come back before is spared for longer, since its new connection would cost more than this frees. */
    private static final long CROWDED_MIN_IDLE_NS = 100 * Clock.MS, CROWDED_RETURNING_MIN_IDLE_NS = 500 * Clock.MS;
    /** How often that is looked after. */
    private static final long SWEEP_INTERVAL_NS = 50 * Clock.MS;
    /** Part of the cap that may rest in peace: clients that ask now and then need not connect anew. */
    private static final int IDLE_DIVISOR = 4;
    /** Parts in 100 of the cap from where a crowd is on, and from where nobody is spared; clients hold at most 66 for
     * requests. */
    private static final int CROWDED_PERCENT = 50, NEARLY_FULL_PERCENT = 60;
    /** Clients are sent away this long after the order: the front asks ten times a second and stops 0.2 s after a no,
     * and who is sent away sooner only comes here again. */
    private static final long EVACUATION_DELAY_NS = 400 * Clock.MS;

    private final int maxClients;
    private final OtherProcess otherProcess;
    /** When the program ends; far away until it is told to. */
    private volatile long shutdownAt = Long.MAX_VALUE;
    /** Since when clients are sent away; far away while they are not. */
    private volatile long evacuatingSince = Long.MAX_VALUE;
    /** Whether another process takes the clients that this one ends. */
    private volatile boolean handingOver;
    private final Clock clock;
    /** All that are open, at most {@link #capacity()}. */
    private final Set<ClientSession> open = new HashSet<>();
    /** Those that have asked nothing well-formed yet, with when they came, those at rest since their first answer, and
     * those at rest that had come back before, each oldest first; and all that ever came back. */
    private final Map<ClientSession, Long> withoutRequest = new LinkedHashMap<>(), idleNew = new LinkedHashMap<>(),
            idleReturning = new LinkedHashMap<>();
    private final Set<ClientSession> returning = new HashSet<>();
    /** Those that were closed at rest and wait for their client's end. */
    private final Set<ClientSession> lingering = new HashSet<>();
    /** What a CancelRequest must name to reach each session: a number and a secret, together one random figure. */
    private final Map<Long, ClientSession> sessionsByKey = new HashMap<>();
    private final Map<ClientSession, Long> cancelKeys = new HashMap<>();
    private final SecureRandom random = new SecureRandom();

    ClientRegistry(int maxClients, OtherProcess otherProcess, Clock clock, Deadlines deadlines) {
        this.maxClients = maxClients;
        this.otherProcess = otherProcess;
        this.clock = clock;
        scheduleSweep(deadlines);
    }

    /** What the other process of this pooler holds is not to be had here. */
    private int capacity() {
        return Math.max(0, maxClients - otherProcess.clients());
    }

    private void scheduleSweep(Deadlines deadlines) {
        deadlines.after(SWEEP_INTERVAL_NS, () -> {
            sweep();
            scheduleSweep(deadlines);
        });
    }

    /** Not while the program ends: who keeps a connection then may find no other. */
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

    /** Takes in a new connection, for which others may be closed; false if there is no room. */
    synchronized boolean admit(ClientSession session) {
        long now = clock.now();
        if (open.size() >= capacity()) {
            // whoever has asked nothing that can be answered must not keep out those who ask
            List.copyOf(withoutRequest.keySet()).stream().filter(ClientSession::closeUnlessAnswering).findFirst()
                    .ifPresent(this::remove);
        }
        if (open.size() >= capacity()) {
            return false;
        }
        open.add(session);
        withoutRequest.put(session, now);
        return true;
    }

    /** How many it closed, at most so many. */
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

    /** The key that this session's client is given to cancel by. */
    synchronized long cancelKeys(ClientSession session) {
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

    /** A CancelRequest: a key that nobody was given changes nothing. */
    void cancel(int process, int secret) {
        ClientSession session;
        synchronized (this) {
            session = sessionsByKey.get((long) process << Integer.SIZE | Integer.toUnsignedLong(secret));
        }
        if (session != null) {
            session.cancel();
        }
    }

    synchronized void markBusy(ClientSession session) {
        withoutRequest.remove(session);
        if (idleNew.remove(session) != null || idleReturning.remove(session) != null) {
            returning.add(session);
        }
    }

    synchronized void markIdle(ClientSession session) {
        if (open.contains(session) && !withoutRequest.containsKey(session)) {
            Map<ClientSession, Long> idle = returning.contains(session) ? idleReturning : idleNew;
            idle.remove(session);
            idle.put(session, clock.now());
        }
    }

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

    /** Sends clients away from now on, or no longer; a repeated order changes nothing. */
    void setEvacuating(boolean evacuating) {
        evacuatingSince = !evacuating ? Long.MAX_VALUE : isEvacuating() ? evacuatingSince : clock.now();
    }

    /** Whether readiness is denied. */
    boolean isEvacuating() {
        return evacuatingSince != Long.MAX_VALUE;
    }

    /** From now on a connection ends behind its next answer: its client finds the other process at once. */
    void handOver() {
        handingOver = true;
    }

    /** Whether a connection is to end as soon as it rests. */
    boolean closesIdleSessions() {
        return handingOver || isEvacuating() && clock.now() - evacuatingSince >= EVACUATION_DELAY_NS;
    }

    void announceShutdown(long delayNs) {
        shutdownAt = clock.now() + delayNs;
    }

    /** How long there is for a request that comes now. */
    long timeLeftNs() {
        return shutdownAt - clock.now();
    }

    synchronized int size() {
        return open.size();
    }

    synchronized List<ClientSession> all() {
        return List.copyOf(open);
    }
}
