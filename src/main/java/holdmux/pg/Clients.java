package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.Deadlines;
import holdmux.core.Shared;
import java.util.HashSet;
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
    /** Beyond half the cap a crowd is on, and whoever rests longest goes after this: several times the way there and
     * back, so that a client about to ask again is not cut off. */
    private static final long CROWD_REST_NS = 100 * Clock.MS;
    /** How often that is looked after. */
    private static final long SWEEP_NS = 50 * Clock.MS;
    /** Part of the cap that may rest in peace: clients that ask now and then need not connect anew. */
    private static final int REST_PART = 4;
    /** Clients hold at most two thirds of the cap for requests. */
    private static final int CROWD_PART = 2;
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
    /** Those that have asked nothing well-formed yet, with when they came, and those at rest since their last answer;
     * oldest first. */
    private final Map<ClientSession, Long> silent = new LinkedHashMap<>(), resting = new LinkedHashMap<>();

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
            closeOldest(silent, clock.now() - AWAY_NS, open.size());
            return;
        }
        long before = clock.now() - REST_NS;
        closeOldest(resting, before, open.size() - most() / REST_PART);
        closeOldest(resting, clock.now() - CROWD_REST_NS, open.size() - most() / CROWD_PART);
        closeOldest(silent, before, open.size() - most() / REST_PART);
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

    private static void closeOldest(Map<ClientSession, Long> of, long before, int count) {
        of.entrySet().stream().limit(Math.max(0, count)).takeWhile(e -> e.getValue() <= before).map(Map.Entry::getKey)
                .toList().forEach(ClientSession::closeAtRest);
    }

    synchronized void works(ClientSession session) {
        silent.remove(session);
        resting.remove(session);
    }

    synchronized void rests(ClientSession session) {
        if (open.contains(session) && !silent.containsKey(session)) {
            resting.remove(session);
            resting.put(session, clock.now());
        }
    }

    synchronized void gone(ClientSession session) {
        open.remove(session);
        silent.remove(session);
        resting.remove(session);
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
