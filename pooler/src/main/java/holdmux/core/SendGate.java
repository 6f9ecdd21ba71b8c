package holdmux.core;

import holdmux.core.Counters.Counter;
import holdmux.decision.Permission;
import holdmux.decision.SplitterApi.Availability;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Effect;
import holdmux.decision.SplitterApi.ListChanged;
import holdmux.decision.SplitterApi.ListMode;
import holdmux.decision.SplitterApi.Listing;
import holdmux.decision.SplitterApi.Outcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The only place that permits writing a request, a retry or a probe to a server; it is consulted right before the write. It
 * takes the decision module's answer and checks it against its own record of server availability, clients that have left and
 * attempts that may have run. A write that breaks a rule all the same is counted ({@code violations_*}) and logged with its ids.
 *
 * <p>Not thread-safe: it is used under the balancer's lock. It has no clock; times are passed in.
 */
final class SendGate {
    /** A send permitted later than this after its client has left counts as a violation. */
    private static final long CLIENT_GONE_GRACE_NS = 100 * Clock.MS;
    /** Time between permission and write for which a process may lose its core; the drain grace covers it, longer ones are counted. */
    private static final long MAX_WRITE_DELAY_NS = 150 * Clock.MS;

    /** A close that may have come longer ago than this, unnoticed, forbids an attempt: none may begin over 100 ms after it. */
    private static final long MAX_UNNOTICED_CLOSE_NS = 80 * Clock.MS;

    /** Number of servers, gone ones included, beyond which the gone ones are dropped from the record. */
    private static final int MAX_SERVERS = 8_192;

    /** A server's availability, and since when it accepts no new work; {@code unavailableSince} has no meaning while it is ready. */
    private record ServerState(Availability availability, long unavailableSince) {
        boolean isReady() {
            return availability == Availability.READY;
        }

        boolean isGone() {
            return availability == Availability.GONE;
        }
    }

    private final Counters counters;
    private final ServerRegistry registry;
    /** The last known state of each server, by its number; a server without an entry counts as gone. */
    private final Map<Long, ServerState> servers = new HashMap<>();
    /** Whether discovery has yet to confirm the server list. */
    private boolean listUnconfirmed;

    SendGate(Counters counters, ServerRegistry registry) {
        this.counters = counters;
        this.registry = registry;
    }

    /** Sets whether all sends are withheld because discovery has not confirmed the server list. */
    void requireListConfirmation(boolean required) {
        listUnconfirmed = required;
    }

    /** Applies a change of the server list; a full or cached list marks the servers it omits as gone. */
    void updateAvailability(ListChanged change, long now) {
        Set<Long> listed = new HashSet<>();
        for (Listing line : change.lines()) {
            listed.add(line.store());
            updateAvailability(line.store(), line.availability(), now);
        }
        if (change.mode() == ListMode.FULL || change.mode() == ListMode.CACHED) {
            Set.copyOf(servers.keySet()).stream().filter(serverId -> !listed.contains(serverId))
                    .forEach(serverId -> updateAvailability(serverId, Availability.GONE, now));
        }
        if (servers.size() > MAX_SERVERS) {
            servers.values().removeIf(ServerState::isGone);
        }
    }

    private void updateAvailability(long serverId, Availability availability, long now) {
        ServerState previous = servers.get(serverId);
        boolean wasUnavailable = previous != null && !previous.isReady();
        servers.put(serverId, new ServerState(availability, wasUnavailable ? previous.unavailableSince() : now));
    }

    /** Whether the client of a request may have left so long ago that no attempt may begin. */
    boolean mayHaveLostClient(Request request, long now) {
        return request.client.unnoticedCloseNs(now) > MAX_UNNOTICED_CLOSE_NS;
    }

    /**
     * Whether an attempt may be written now.
     *
     * @param modulePermission the decision module's answer
     * @param goneIsAdvice whether the settings make a removal without a drain advisory, so that it forbids no sends
     */
    boolean permits(Request request, Attempt attempt, Permission modulePermission, boolean goneIsAdvice, long now) {
        Permission permission = modulePermission;
        if (permission == Permission.ALLOWED && request.finished) {
            permission = Permission.REQUEST_OVER;
        } else if (permission == Permission.ALLOWED && now >= attempt.startedAt + attempt.timeoutNs) {
            permission = Permission.TIME_OVER;
        } else if (permission == Permission.ALLOWED && listUnconfirmed) {
            permission = Permission.LIST_UNCONFIRMED;
        } else if (permission == Permission.ALLOWED) {
            permission = listPermission(attempt.serverId, goneIsAdvice);
            if (permission != Permission.ALLOWED) {
                counters.count(Counter.GATE_DISAGREEMENTS);
                Log.warn("the decision module would send to " + registry.name(attempt.serverId) + ", which takes nothing new: "
                        + describe(request, attempt, now));
            }
        }
        return recordDecision(permission, attempt, now);
    }

    /**
     * Whether the rest of an attempt whose first bytes have been written may follow now. A drain or removal told since then leaves
     * it the grace, as the rules count such a send from its first byte; all other conditions are counted from the last byte.
     */
    boolean permitsRest(Request request, Attempt attempt, Permission modulePermission, long graceNs, long now) {
        boolean mayFinish = switch (modulePermission) {
            case ALLOWED -> true;
            // the decision module has not looked at the age of the data, which does not matter for a write
            case SERVER_DRAINING, SERVER_GONE -> request.spec.consistency() == Consistency.WRITE
                    && withinGrace(attempt.serverId, graceNs, now);
            default -> false;
        };
        boolean permitted = mayFinish && !request.finished;
        if (!permitted) {
            counters.count(Counter.WRITES_GIVEN_UP);
        }
        return permitted;
    }

    private boolean withinGrace(long serverId, long graceNs, long now) {
        ServerState state = servers.get(serverId);
        return state != null && (state.isReady() || now < state.unavailableSince() + graceNs);
    }

    /** Whether a probe may be written now. */
    boolean permitsProbe(Attempt probe, boolean goneIsAdvice, long now) {
        return recordDecision(listUnconfirmed ? Permission.LIST_UNCONFIRMED : listPermission(probe.serverId, goneIsAdvice), probe, now);
    }

    private Permission listPermission(long serverId, boolean goneIsAdvice) {
        ServerState state = servers.get(serverId);
        if (state == null || state.isGone()) {
            // where a removal is advisory, a server without an address in ServerRegistry cannot be reached anyway
            return goneIsAdvice ? Permission.ALLOWED : Permission.SERVER_GONE;
        }
        return state.isReady() ? Permission.ALLOWED : Permission.SERVER_DRAINING;
    }

    private boolean recordDecision(Permission permission, Attempt attempt, long now) {
        if (permission != Permission.ALLOWED) {
            counters.count(Counter.forWithheldSend(permission));
            return false;
        }
        attempt.permittedAt = now;
        return true;
    }

    /** Checks an attempt whose last byte has been written against the rules, and reports violations. */
    void checkWritten(Request request, Attempt attempt, boolean goneIsAdvice, long graceNs, long now) {
        if (attempt.permittedAt == 0) {
            reportViolation(Counter.VIOLATIONS_UNPERMITTED, request, attempt, now);
            return;
        }
        if (now - attempt.permittedAt > MAX_WRITE_DELAY_NS) {
            counters.count(Counter.WRITES_HELD_UP);
        }
        ServerState state = servers.get(attempt.serverId);
        boolean unavailable = state != null && listPermission(attempt.serverId, goneIsAdvice) != Permission.ALLOWED;
        if (unavailable && attempt.permittedAt > state.unavailableSince() + graceNs) {
            reportViolation(Counter.VIOLATIONS_DRAIN, request, attempt, now);
        }
        if (request.clientLeftAt > 0 && attempt.permittedAt > request.clientLeftAt + CLIENT_GONE_GRACE_NS) {
            reportViolation(Counter.VIOLATIONS_CLIENT_GONE, request, attempt, now);
        }
        boolean mayHaveRun = request.attempts.stream().anyMatch(other -> other != attempt && other.mayHaveRun());
        if (mayHaveRun && request.effect == Effect.AT_MOST_ONCE) {
            reportViolation(Counter.VIOLATIONS_REPEAT, request, attempt, now);
        }
    }

    /** Reports that a request ended without an answer although its client had not left. */
    void reportUnanswered(Request request) {
        counters.count(Counter.VIOLATIONS_NO_ANSWER);
        Log.warn("rule broken: request " + request.id + " of class " + request.spec.className() + " ended without an answer");
    }

    private void reportViolation(Counter rule, Request request, Attempt attempt, long now) {
        counters.count(rule);
        Log.warn("rule broken: " + rule + ", " + describe(request, attempt, now));
    }

    private String describe(Request request, Attempt attempt, long now) {
        ServerState state = servers.get(attempt.serverId);
        boolean unavailable = state != null && !state.isReady();
        return "request " + request.id + " of class " + request.spec.className() + ", attempt " + attempt.number + " at "
                + registry.name(attempt.serverId) + ", begun " + (now - attempt.startedAt) / Clock.MS + " ms ago, server "
                + (state == null ? "not listed" : state.availability())
                + (unavailable ? " for " + (now - state.unavailableSince()) / Clock.MS + " ms" : "");
    }
}
