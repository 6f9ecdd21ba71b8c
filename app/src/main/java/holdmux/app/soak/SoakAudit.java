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
    private static final long NANOS_PER_MS = 1_000_000L;
    /** A drain binds this long after it was told. */
    static final long DRAIN_GRACE_NS = 2_000 * NANOS_PER_MS;
    /** Between a write of a pooler and its arrival: a slow way (120 ms), a process stopped for 100 ms, and the stand-in's thread. */
    static final long IN_FLIGHT_NS = 250 * NANOS_PER_MS;
    /** An answer later than this past its time is none; a client that left may cause attempts for so long. */
    private static final long ANSWER_SLACK_NS = 550 * NANOS_PER_MS, CLIENT_GONE_SLACK_NS = 100 * NANOS_PER_MS;
    /** The deadline passed on may be longer than what is left by so much. */
    private static final long DEADLINE_SLACK_NS = 150 * NANOS_PER_MS;

    /** A server takes nothing new between these moments. */
    private record OutOfService(String server, long from, long until) {}

    /** One request of a client; {@code leftAt} is 0 where the client stayed, {@code excused} where its pooler was killed. */
    record Asked(String id, String pooler, boolean onceOnly, long sentAt, long waitNs, long answeredAt, long leftAt,
            boolean excused) {}

    private final List<OutOfService> outOfService = new ArrayList<>();
    private final DeliveryTimes deliveryTimes = new DeliveryTimes();
    private final List<Asked> asked = Collections.synchronizedList(new ArrayList<>());
    private final List<String> broken = Collections.synchronizedList(new ArrayList<>());

    void addOutOfService(String server, long from, long until) {
        outOfService.add(new OutOfService(server, from, until));
    }

    /** What was done by which changes count as told. */
    DeliveryTimes deliveryTimes() {
        return deliveryTimes;
    }

    void asked(Asked request) {
        asked.add(request);
    }

    /** Something that was seen to break a rule by itself. */
    void broken(String violation) {
        broken.add(violation);
    }

    int requests() {
        return asked.size();
    }

    /** All that broke a rule, in words. */
    List<String> verdict(List<Arrival> arrivals, Map<String, Integer> runs) {
        List<String> violations = new ArrayList<>(broken);
        Map<String, Asked> byId = new HashMap<>();
        asked.forEach(request -> byId.put(request.id(), request));
        for (Arrival arrival : arrivals) {
            Asked request = byId.get(arrival.id());
            if (request != null) {
                check(arrival, request, violations);
            }
        }
        asked.forEach(request -> check(request, runs, violations));
        return violations;
    }

    private void check(Arrival arrival, Asked request, List<String> violations) {
        for (OutOfService period : outOfService) {
            long deliveredAt = deliveryTimes.deliveredAt(period.from(), request.pooler(), arrival.atNs());
            boolean pastGrace = arrival.atNs() > deliveredAt + DRAIN_GRACE_NS + IN_FLIGHT_NS;
            if (period.server().equals(arrival.server()) && pastGrace && arrival.atNs() < period.until()) {
                violations.add("drain: " + arrival + ", stopped " + (arrival.atNs() - period.from()) / NANOS_PER_MS + " ms ago, told "
                        + (arrival.atNs() - deliveredAt) / NANOS_PER_MS + " ms ago");
            }
        }
        if (request.leftAt() > 0 && arrival.atNs() > request.leftAt() + CLIENT_GONE_SLACK_NS + IN_FLIGHT_NS) {
            violations.add("client gone: " + arrival + ", " + (arrival.atNs() - request.leftAt()) / NANOS_PER_MS + " ms ago");
        }
        long remainingNs = request.waitNs() - (arrival.atNs() - request.sentAt());
        if (arrival.waitMs() * NANOS_PER_MS > remainingNs + DEADLINE_SLACK_NS + IN_FLIGHT_NS) {
            violations.add("deadline: " + arrival + " with " + remainingNs / NANOS_PER_MS + " ms left");
        }
    }

    private void check(Asked request, Map<String, Integer> runs, List<String> violations) {
        if (request.onceOnly() && runs.getOrDefault(request.id(), 0) > 1) {
            violations.add("duplicate: " + request + " ran " + runs.get(request.id()) + " times");
        }
        if (request.excused() || request.leftAt() > 0) {
            return;
        }
        if (request.answeredAt() == 0) {
            violations.add("lost: " + request);
        } else if (request.answeredAt() > request.sentAt() + request.waitNs() + ANSWER_SLACK_NS) {
            violations.add("late: " + request + " by " + (request.answeredAt() - request.sentAt() - request.waitNs()) / NANOS_PER_MS + " ms");
        }
    }
}
