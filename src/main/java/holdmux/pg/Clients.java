package holdmux.pg;

import holdmux.core.Clock;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The open client connections, never more than a cap. Clients keep connections for good, some after one request; so
 * once half the cap is in use, those that have rested longest are closed to make room. Sessions call in here without
 * holding their own lock.
 */
final class Clients {
    /** A connection may be closed once it has rested this long: the platform's figure, and some for its clock. */
    private static final long REST_NS = 2_050 * Clock.MS;
    /** Connections closed for each one that comes: more than one, so that the number falls. */
    private static final int CLOSED_FOR_ONE = 2;

    private final int most;
    private final Clock clock;
    /** All that are open, at most {@link #most}. */
    private final Set<ClientSession> open = new HashSet<>();
    /** Those that have asked nothing yet, and those at rest since their last answer, with the time; oldest first. */
    private final Map<ClientSession, Long> silent = new LinkedHashMap<>(), resting = new LinkedHashMap<>();

    Clients(int most, Clock clock) {
        this.most = most;
        this.clock = clock;
    }

    /** Takes in a new connection, for which others may be closed; false if there is no room. */
    synchronized boolean admit(ClientSession session) {
        long now = clock.now();
        if (open.size() >= most / 2) {
            closeOldest(resting, now - REST_NS, CLOSED_FOR_ONE);
            closeOldest(silent, now - REST_NS, CLOSED_FOR_ONE);
        }
        if (open.size() >= most) {
            closeOldest(silent, now, 1); // whoever connects and says nothing must not keep out those who ask
        }
        if (open.size() >= most) {
            return false;
        }
        open.add(session);
        silent.put(session, now);
        return true;
    }

    private static void closeOldest(Map<ClientSession, Long> of, long before, int count) {
        Iterator<Map.Entry<ClientSession, Long>> oldest = List.copyOf(of.entrySet().stream().limit(count).toList())
                .iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClientSession, Long> entry = oldest.next();
            if (entry.getValue() <= before) {
                entry.getKey().closeAtRest();
            }
        }
    }

    synchronized void works(ClientSession session) {
        silent.remove(session);
        resting.remove(session);
    }

    synchronized void rests(ClientSession session) {
        if (open.contains(session)) {
            resting.remove(session);
            resting.put(session, clock.now());
        }
    }

    synchronized void gone(ClientSession session) {
        open.remove(session);
        silent.remove(session);
        resting.remove(session);
    }

    synchronized int size() {
        return open.size();
    }

    synchronized List<ClientSession> all() {
        return List.copyOf(open);
    }
}
