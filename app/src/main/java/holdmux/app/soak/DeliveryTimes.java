package holdmux.app.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes when a change of the server list counts as delivered to a pooler, from what was done to its agent, its
 * configuration and its process. Lists are pushed: what the agent knows counts as delivered immediately, to a new process at its
 * start, and to a process whose discovery is moved by SIGHUP 4 s later. A change during a discovery outage reaches the agent
 * at the end of the outage. Reads no clock: all times are {@link System#nanoTime} values of the driver.
 */
final class DeliveryTimes {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** The list of the new agent counts as delivered this long after SIGHUP. */
    private static final long RELOAD_ALLOWANCE_NS = 4_000 * NANOS_PER_MS;
    /** A change this short before a silence may not have passed the threads of the agent and the relay in time. */
    private static final long IN_TRANSIT_NS = 100 * NANOS_PER_MS;
    /** One-way trips over a slow network until a change is delivered: an answer without it, the next call, and its answer. */
    private static final int ONE_WAY_TRIPS = 3;

    /** A period in which the agent sends and learns nothing. */
    private record Silence(String pooler, long from, long until) {}

    /** A period in which each message between agent and pooler takes {@code oneWayNs}. */
    private record Delay(String pooler, long from, long until, long oneWayNs) {}

    /** A start of a process or a SIGHUP. */
    private record ProcessEvent(String pooler, long at) {}

    private final List<Silence> silences = new ArrayList<>();
    private final List<Delay> delays = new ArrayList<>();
    private final List<ProcessEvent> starts = new ArrayList<>();
    private final List<ProcessEvent> reloads = new ArrayList<>();

    /** Records that the agent sent nothing and learned nothing between these times. */
    synchronized void addSilence(String pooler, long from, long until) {
        silences.add(new Silence(pooler, from, until));
    }

    /** Records that messages between the agent and its pooler took this long each way between these times. */
    synchronized void addDelay(String pooler, long from, long until, long oneWayNs) {
        delays.add(new Delay(pooler, from, until, oneWayNs));
    }

    /** Records the start of a new process. */
    synchronized void addStart(String pooler, long at) {
        starts.add(new ProcessEvent(pooler, at));
    }

    /** Records a SIGHUP with a configuration that names another agent. */
    synchronized void addReload(String pooler, long at) {
        reloads.add(new ProcessEvent(pooler, at));
    }

    /** Returns when a change counts as delivered to the process of a pooler whose request arrived at {@code arrivedAt}. */
    synchronized long deliveredAt(long changedAt, String pooler, long arrivedAt) {
        long receivedByAgentAt = receivedByAgentAt(changedAt, pooler);
        long delivered = receivedByAgentAt;
        for (ProcessEvent reload : reloads) {
            boolean duringMove = reload.at() - IN_TRANSIT_NS <= receivedByAgentAt
                    && receivedByAgentAt < reload.at() + RELOAD_ALLOWANCE_NS;
            if (reload.pooler().equals(pooler) && duringMove) {
                delivered = Math.max(delivered, reload.at() + RELOAD_ALLOWANCE_NS);
            }
        }
        for (Delay delay : delays) {
            if (delay.pooler().equals(pooler) && delay.from() - IN_TRANSIT_NS <= delivered
                    && delivered < delay.until() + delay.oneWayNs()) {
                delivered += ONE_WAY_TRIPS * delay.oneWayNs();
            }
        }
        for (ProcessEvent start : starts) {
            if (start.pooler().equals(pooler) && start.at() <= arrivedAt) {
                delivered = Math.max(delivered, start.at());
            }
        }
        return delivered;
    }

    /** Returns when the agent knew of a change: if it came during a silence, at the end of that silence. */
    private long receivedByAgentAt(long changedAt, String pooler) {
        long receivedAt = changedAt;
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Silence silence : silences) {
                boolean within = silence.from() - IN_TRANSIT_NS <= receivedAt && receivedAt < silence.until();
                if (silence.pooler().equals(pooler) && within) {
                    receivedAt = silence.until();
                    moved = true;
                }
            }
        }
        return receivedAt;
    }
}
