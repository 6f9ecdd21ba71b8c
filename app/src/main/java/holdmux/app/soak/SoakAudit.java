package holdmux.app.soak;

import holdmux.standins.QuoteGroup.Arrival;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges one run of the soak by the platform's rules, from what was done to the fleet, what came to the servers and what
 * the clients were told. No clock and no I/O: all times are {@link System#nanoTime} of the driver.
 */
final class SoakAudit {
    private static final long MS = 1_000_000L;
    /** What discovery has counts as told this long after it could be reached; a drain binds this long after that. */
    static final long TOLD_NS = 6_000 * MS, GRACE_NS = 2_000 * MS;
    /** Between a write of a pooler and its arrival: a slow way, a stopped process and a busy machine. */
    static final long ON_ITS_WAY_NS = 400 * MS;
    /** An answer later than this past its time is none; a client that left may cause attempts for so long. */
    private static final long LATE_NS = 550 * MS, GONE_NS = 100 * MS;
    /** The deadline passed on may be longer than what is left by so much. */
    private static final long DEADLINE_SLACK_NS = 150 * MS;

    /** A server takes nothing new between these moments. */
    private record Stop(String server, long from, long until) {}

    /** A pooler could not reach discovery, or was not there, between these moments. */
    private record Deaf(String pooler, long from, long until) {}

    /** One request of a client; {@code leftAt} is 0 where the client stayed, {@code excused} where its pooler was killed. */
    record Asked(String id, String pooler, boolean onceOnly, long sentAt, long waitNs, long answeredAt, long leftAt,
            boolean excused) {}

    private final List<Stop> stops = new ArrayList<>();
    private final List<Deaf> deaf = new ArrayList<>();
    private final List<Asked> asked = Collections.synchronizedList(new ArrayList<>());
    private final List<String> broken = Collections.synchronizedList(new ArrayList<>());

    void stopped(String server, long from, long until) {
        stops.add(new Stop(server, from, until));
    }

    void deaf(String pooler, long from, long until) {
        deaf.add(new Deaf(pooler, from, until));
    }

    void asked(Asked request) {
        asked.add(request);
    }

    /** Something that was seen to break a rule by itself. */
    void broken(String words) {
        broken.add(words);
    }

    int requests() {
        return asked.size();
    }

    /** All that broke a rule, in words. */
    List<String> verdict(List<Arrival> arrivals, Map<String, Integer> runs) {
        List<String> all = new ArrayList<>(broken);
        Map<String, Asked> byId = new HashMap<>();
        asked.forEach(request -> byId.put(request.id(), request));
        for (Arrival arrival : arrivals) {
            Asked request = byId.get(arrival.id());
            if (request != null) {
                judge(arrival, request, all);
            }
        }
        asked.forEach(request -> judge(request, runs, all));
        return all;
    }

    private void judge(Arrival arrival, Asked request, List<String> all) {
        for (Stop stop : stops) {
            boolean after = arrival.atNs() > bindsFrom(stop.from(), request.pooler()) + ON_ITS_WAY_NS;
            if (stop.server().equals(arrival.server()) && after && arrival.atNs() < stop.until()) {
                all.add("drain: " + arrival + ", stopped " + (arrival.atNs() - stop.from()) / MS + " ms ago");
            }
        }
        if (request.leftAt() > 0 && arrival.atNs() > request.leftAt() + GONE_NS + ON_ITS_WAY_NS) {
            all.add("client gone: " + arrival + ", " + (arrival.atNs() - request.leftAt()) / MS + " ms ago");
        }
        long left = request.waitNs() - (arrival.atNs() - request.sentAt());
        if (arrival.waitMs() * MS > left + DEADLINE_SLACK_NS + ON_ITS_WAY_NS) {
            all.add("deadline: " + arrival + " with " + left / MS + " ms left");
        }
    }

    private void judge(Asked request, Map<String, Integer> runs, List<String> all) {
        if (request.onceOnly() && runs.getOrDefault(request.id(), 0) > 1) {
            all.add("duplicate: " + request + " ran " + runs.get(request.id()) + " times");
        }
        if (request.excused() || request.leftAt() > 0) {
            return;
        }
        if (request.answeredAt() == 0) {
            all.add("lost: " + request);
        } else if (request.answeredAt() > request.sentAt() + request.waitNs() + LATE_NS) {
            all.add("late: " + request + " by " + (request.answeredAt() - request.sentAt() - request.waitNs()) / MS + " ms");
        }
    }

    /** From when on a change that discovery had at this moment binds a pooler: what interrupts its hearing begins it anew. */
    long bindsFrom(long changedAt, String pooler) {
        long reachable = changedAt;
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Deaf span : deaf) {
                boolean interrupts = span.from() < reachable + TOLD_NS && span.until() > reachable;
                if (span.pooler().equals(pooler) && interrupts) {
                    reachable = span.until();
                    moved = true;
                }
            }
        }
        return reachable + TOLD_NS + GRACE_NS;
    }
}
