package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.Deadlines;
import holdmux.core.Shared;
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
final class Clients {
    /** A connection may be closed once it has rested this long: the platform's figure, and some for its clock. */
    private static final long REST_NS = 2_050 * Clock.MS;
    /** Beyond half the cap a crowd is on: whoever has asked once and rests goes after this, several times the way there
     * and back; who has come back before is spared for longer, since its new connection would cost more than this frees. */
    private static final long CROWD_REST_NS = 100 * Clock.MS, REGULAR_REST_NS = 500 * Clock.MS;
    /** How often that is looked after. */
    private static final long SWEEP_NS = 50 * Clock.MS;
    /** Part of the cap that may rest in peace: clients that ask now and then need not connect anew. */
    private static final int REST_PART = 4;
    /** Parts in 100 of the cap from where a crowd is on, and from where nobody is spared; clients hold at most 66 for
     * requests. */
    private static final int CROWD_PART = 50, FULL_PART = 60;
    /** Clients are sent away this long after the order: the front asks ten times a second and stops 0.2 s after a no,
     * and who is sent away sooner only comes here again. */
    private static final long AWAY_NS = 400 * Clock.MS;

    private final int cap;
    private final Shared shared;
    /** When the program ends; far away until it is told to. */
    private volatile long endsAt = Long.MAX_VALUE;
    /** Since when clients are sent away; far away while they are not. */
    private volatile long awaySince = Long.MAX_VALUE;
    /** Whether another process takes the clients that this one ends. */
    private volatile boolean handingOver;
    private final Clock clock;
    /** All that are open, at most {@link #most()}. */
    private final Set<ClientSession> open = new HashSet<>();
    /** Those that have asked nothing well-formed yet, with when they came, those at rest since their first answer, and
     * those at rest that had come back before, each oldest first; and all that ever came back. */
    private final Map<ClientSession, Long> silent = new LinkedHashMap<>(), once = new LinkedHashMap<>(),
            resting = new LinkedHashMap<>();
    private final Set<ClientSession> regular = new HashSet<>();
    /** Those that were closed at rest and wait for their client's end. */
    private final Set<ClientSession> lingering = new HashSet<>();
    /** What a CancelRequest must name to reach each session: a number and a secret, together one random figure. */
    private final Map<Long, ClientSession> keys = new HashMap<>();
    private final Map<ClientSession, Long> keyOf = new HashMap<>();
    private final SecureRandom secrets = new SecureRandom();

    Clients(int cap, Shared shared, Clock clock, Deadlines deadlines) {
        this.cap = cap;
        this.shared = shared;
        this.clock = clock;
        sweepLater(deadlines);
    }

    /** What the other process of this pooler holds is not to be had here. */
    private int most() {
        return Math.max(0, cap - shared.clients());
    }

    private void sweepLater(Deadlines deadlines) {
        deadlines.after(SWEEP_NS, () -> {
            sweep();
            sweepLater(deadlines);
        });
    }

    /** Not while the program ends: who keeps a connection then may find no other. */
    private synchronized void sweep() {
        if (endsAt != Long.MAX_VALUE) {
            return;
        }
        if (isAway() && sendsAway()) {
            List.copyOf(resting.keySet()).forEach(ClientSession::closeAtRest);
            List.copyOf(once.keySet()).forEach(ClientSession::closeAtRest);
            closeOldest(silent, clock.now() - AWAY_NS, open.size());
            return;
        }
        long now = clock.now();
        int over = staying() - most() / REST_PART;
        over -= closeOldest(once, now - REST_NS, over);
        over -= closeOldest(resting, now - REST_NS, over);
        closeOldest(silent, now - REST_NS, over);
        int crowd = staying() - most() * CROWD_PART / 100;
        crowd -= closeOldest(once, now - CROWD_REST_NS, crowd);
        closeOldest(resting, now - REGULAR_REST_NS, crowd);
        closeOldest(resting, now - CROWD_REST_NS, staying() - most() * FULL_PART / 100);
    }

    private int staying() {
        return open.size() - lingering.size();
    }

    /** Takes in a new connection, for which others may be closed; false if there is no room. */
    synchronized boolean admit(ClientSession session) {
        long now = clock.now();
        if (open.size() >= most()) {
            // whoever has asked nothing that can be answered must not keep out those who ask
            List.copyOf(silent.keySet()).stream().filter(ClientSession::closeUnlessAnswering).findFirst()
                    .ifPresent(this::gone);
        }
        if (open.size() >= most()) {
            return false;
        }
        open.add(session);
        silent.put(session, now);
        return true;
    }

    /** How many it closed, at most so many. */
    private int closeOldest(Map<ClientSession, Long> of, long before, int most) {
        int closed = 0;
        Iterator<Map.Entry<ClientSession, Long>> all = of.entrySet().iterator();
        while (closed < most && all.hasNext()) {
            Map.Entry<ClientSession, Long> oldest = all.next();
            if (oldest.getValue() > before) {
                break;
            }
            if (oldest.getKey().closeAtRest()) {
                all.remove();
                lingering.add(oldest.getKey());
                closed++;
            }
        }
        return closed;
    }

    /** The key that this session's client is given to cancel by. */
    synchronized long keyOf(ClientSession session) {
        long key = secrets.nextLong();
        while (keys.containsKey(key)) {
            key = secrets.nextLong();
        }
        if (open.contains(session)) {
            keys.put(key, session);
            keyOf.put(session, key);
        }
        return key;
    }

    /** A CancelRequest: a key that nobody was given changes nothing. */
    void cancel(int process, int secret) {
        ClientSession named;
        synchronized (this) {
            named = keys.get((long) process << Integer.SIZE | Integer.toUnsignedLong(secret));
        }
        if (named != null) {
            named.cancel();
        }
    }

    synchronized void works(ClientSession session) {
        silent.remove(session);
        if (once.remove(session) != null || resting.remove(session) != null) {
            regular.add(session);
        }
    }

    synchronized void rests(ClientSession session) {
        if (open.contains(session) && !silent.containsKey(session)) {
            Map<ClientSession, Long> among = regular.contains(session) ? resting : once;
            among.remove(session);
            among.put(session, clock.now());
        }
    }

    synchronized void gone(ClientSession session) {
        open.remove(session);
        silent.remove(session);
        once.remove(session);
        resting.remove(session);
        regular.remove(session);
        lingering.remove(session);
        Long key = keyOf.remove(session);
        if (key != null) {
            keys.remove(key);
        }
    }

    /** Sends clients away from now on, or no longer; a repeated order changes nothing. */
    void away(boolean yes) {
        awaySince = !yes ? Long.MAX_VALUE : isAway() ? awaySince : clock.now();
    }

    /** Whether readiness is denied. */
    boolean isAway() {
        return awaySince != Long.MAX_VALUE;
    }

    /** From now on a connection ends behind its next answer: its client finds the other process at once. */
    void handOver() {
        handingOver = true;
    }

    /** Whether a connection is to end as soon as it rests. */
    boolean sendsAway() {
        return handingOver || isAway() && clock.now() - awaySince >= AWAY_NS;
    }

    void endAfter(long afterNs) {
        endsAt = clock.now() + afterNs;
    }

    /** How long there is for a request that comes now. */
    long timeLeft() {
        return endsAt - clock.now();
    }

    synchronized int size() {
        return open.size();
    }

    synchronized List<ClientSession> all() {
        return List.copyOf(open);
    }
}
