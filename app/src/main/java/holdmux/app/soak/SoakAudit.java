package holdmux.app.soak;

import holdmux.standins.QuoteGroup.Arrival;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The oracle of the soak: finds violations of the request guarantees, from the injected faults, the arrivals at the servers
 * and the answers to the clients. Reads no clock and does no I/O: all times are {@link System#nanoTime} values of the driver.
 */
final class SoakAudit {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** A drain is enforced from this long after it was delivered. */
    static final long DRAIN_GRACE_NS = 2_000 * NANOS_PER_MS;
    /** Longest time between a send and its arrival: a slow network (120 ms), a process paused for 100 ms, a stand-in's thread. */
    static final long IN_FLIGHT_NS = 250 * NANOS_PER_MS;
    /** How late after its deadline an answer may come, and how long after a client disconnected attempts may still be sent. */
    private static final long ANSWER_SLACK_NS = 550 * NANOS_PER_MS, CLIENT_GONE_SLACK_NS = 100 * NANOS_PER_MS;
    /** By how much the deadline passed to a server may exceed the remaining time. */
    private static final long DEADLINE_SLACK_NS = 150 * NANOS_PER_MS;

    /** A period in which a server, draining or removed, must get no new request. */
    private record OutOfService(String server, long from, long until) {}

    /**
     * One request of a client; {@code leftAt} is 0 if the client waited for the answer. {@code excused} marks a connection that was
     * closed without an answer for an accepted reason, for example because its pooler was killed.
     */
    record Asked(String id, String pooler, boolean onceOnly, long sentAt, long waitNs, long answeredAt, long leftAt,
            boolean excused) {}

    private final List<OutOfService> outOfService = new ArrayList<>();
    private final DeliveryTimes deliveryTimes = new DeliveryTimes();
    private final DriverDelays driverDelays = new DriverDelays();
    private final FreshnessAudit freshness = new FreshnessAudit(IN_FLIGHT_NS);
    private final List<Asked> requests = Collections.synchronizedList(new ArrayList<>());
    private final List<String> reported = Collections.synchronizedList(new ArrayList<>());

    /** Records that a server was draining or removed between these times. */
    void addOutOfService(String server, long from, long until) {
        outOfService.add(new OutOfService(server, from, until));
    }

    /** Returns the record of events that determine when list changes count as delivered. */
    DeliveryTimes deliveryTimes() {
        return deliveryTimes;
    }

    /** Returns the record of times at which the driver itself was late. */
    DriverDelays driverDelays() {
        return driverDelays;
    }

    /** Returns the judge of reads from old data. */
    FreshnessAudit freshness() {
        return freshness;
    }

    /** Records a finished request. */
    void recordRequest(Asked request) {
        requests.add(request);
    }

    /** Adds a violation that was observed directly. */
    void reportViolation(String violation) {
        reported.add(violation);
    }

    int requests() {
        return requests.size();
    }

    /** Returns a description of each violation. */
    List<String> verdict(List<Arrival> arrivals, Map<String, Integer> runs) {
        List<String> violations = new ArrayList<>(reported);
        Map<String, Asked> byId = new HashMap<>();
        requests.forEach(request -> byId.put(request.id(), request));
        for (Arrival arrival : arrivals) {
            Asked request = byId.get(arrival.id());
            if (request != null) {
                checkArrival(arrival, request, violations);
            }
        }
        requests.forEach(request -> checkRequest(request, runs, violations));
        return violations;
    }

    private void checkArrival(Arrival arrival, Asked request, List<String> violations) {
        for (OutOfService period : outOfService) {
            long deliveredAt = deliveryTimes.deliveredAt(period.from(), request.pooler(), arrival.atNs());
            boolean pastGrace = arrival.atNs() > deliveredAt + DRAIN_GRACE_NS + IN_FLIGHT_NS;
            if (period.server().equals(arrival.server()) && pastGrace && arrival.atNs() < period.until()) {
                violations.add("drain: " + arrival + ", stopped " + (arrival.atNs() - period.from()) / NANOS_PER_MS + " ms ago, told "
                        + (arrival.atNs() - deliveredAt) / NANOS_PER_MS + " ms ago" + driverDelay(request, arrival.atNs()));
            }
        }
        if (request.leftAt() > 0 && arrival.atNs() > request.leftAt() + CLIENT_GONE_SLACK_NS + IN_FLIGHT_NS) {
            violations.add("client gone: " + arrival + ", " + (arrival.atNs() - request.leftAt()) / NANOS_PER_MS + " ms ago"
                    + driverDelay(request, arrival.atNs()));
        }
        long remainingNs = request.waitNs() - (arrival.atNs() - request.sentAt());
        if (arrival.waitMs() * NANOS_PER_MS > remainingNs + DEADLINE_SLACK_NS + IN_FLIGHT_NS) {
            violations.add("deadline: " + arrival + " with " + remainingNs / NANOS_PER_MS + " ms left"
                    + driverDelay(request, arrival.atNs()));
        }
    }

    /** Describes by how much the driver was late between the send of a request and another time. */
    private String driverDelay(Asked request, long until) {
        return ", driver up to " + driverDelays.longestBetween(request.sentAt(), until) / NANOS_PER_MS + " ms late";
    }

    private void checkRequest(Asked request, Map<String, Integer> runs, List<String> violations) {
        if (request.onceOnly() && runs.getOrDefault(request.id(), 0) > 1) {
            violations.add("duplicate: " + request + " ran " + runs.get(request.id()) + " times");
        }
        if (request.excused() || request.leftAt() > 0) {
            return;
        }
        if (request.answeredAt() == 0) {
            violations.add("lost: " + request);
        } else if (request.answeredAt() > request.sentAt() + request.waitNs() + ANSWER_SLACK_NS) {
            violations.add("late: " + request + " by " + (request.answeredAt() - request.sentAt() - request.waitNs()) / NANOS_PER_MS
                    + " ms" + driverDelay(request, request.answeredAt()));
        }
    }
}
