package holdmux.app.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * When a change of the list counts as told to a pooler, from what was done to its agent, its configuration and its process.
 * Lists are pushed: what the agent has is told at once, from a new process's first moment, and 4 s after SIGHUP. What comes
 * while discovery is down the agent has at the return. No clock: all times are {@link System#nanoTime} of the driver.
 */
final class DeliveryTimes {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** What the new agent has counts as told this long after SIGHUP. */
    private static final long RELOAD_ALLOWANCE_NS = 4_000 * NANOS_PER_MS;
    /** A change this short before a silence may not have been written before it: the agent, the relay and their threads. */
    private static final long IN_TRANSIT_NS = 100 * NANOS_PER_MS;
    /** Ways of a slow network until a change is heard: an answer without it, the next call, and its answer. */
    private static final int ONE_WAY_TRIPS = 3;

    private record Silence(String pooler, long from, long until) {}

    private record Delay(String pooler, long from, long until, long oneWayNs) {}

    private record ProcessEvent(String pooler, long at) {}

    private final List<Silence> silences = new ArrayList<>();
    private final List<Delay> delays = new ArrayList<>();
    private final List<ProcessEvent> starts = new ArrayList<>();
    private final List<ProcessEvent> reloads = new ArrayList<>();

    /** The agent told nothing and learned nothing between these moments. */
    synchronized void addSilence(String pooler, long from, long until) {
        silences.add(new Silence(pooler, from, until));
    }

    /** What went between the agent and its pooler took so long each way between these moments. */
    synchronized void addDelay(String pooler, long from, long until, long oneWayNs) {
        delays.add(new Delay(pooler, from, until, oneWayNs));
    }

    /** A new process was started. */
    synchronized void addStart(String pooler, long at) {
        starts.add(new ProcessEvent(pooler, at));
    }

    /** SIGHUP was sent with a configuration that names another agent. */
    synchronized void addReload(String pooler, long at) {
        reloads.add(new ProcessEvent(pooler, at));
    }

    /** When a change counts as told to the process of a pooler that sent something which arrived at this moment. */
    synchronized long deliveredAt(long changedAt, String pooler, long arrivedAt) {
        long receivedByAgentAt = receivedByAgentAt(changedAt, pooler);
        long delivered = receivedByAgentAt;
        for (ProcessEvent reload : reloads) {
            boolean duringMove = reload.at() - IN_TRANSIT_NS <= receivedByAgentAt && receivedByAgentAt < reload.at() + RELOAD_ALLOWANCE_NS;
            if (reload.pooler().equals(pooler) && duringMove) {
                delivered = Math.max(delivered, reload.at() + RELOAD_ALLOWANCE_NS);
            }
        }
        for (Delay delay : delays) {
            if (delay.pooler().equals(pooler) && delay.from() - IN_TRANSIT_NS <= delivered && delivered < delay.until() + delay.oneWayNs()) {
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

    /** When the agent had a change: what came in a silence, at its end. */
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
