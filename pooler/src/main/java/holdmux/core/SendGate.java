package holdmux.core;

import holdmux.core.Counters.Counter;
import holdmux.decision.Permission;
import holdmux.decision.SplitterApi.Availability;
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
 * The one place that lets bytes of a request, of its repeat or of a probe go out to a server. It asks the decision module
 * and checks what the module rests on by a record of its own: what was told of each server, who has left, which attempts
 * may have run. What goes out past a rule all the same is counted ({@code violations_*}) and logged with its ids.
 *
 * <p>Not thread-safe: it is used under the balancer's lock. It has no clock; times are handed in.
 */
final class SendGate {
    /** What a client that has gone may still cause: an attempt that began this long after its end breaks the rule. */
    private static final long GONE_NS = 100 * Clock.MS;
    /** A process may lose its core between the permission and the write for so long; the grace of a drain covers that. */
    private static final long HELD_UP_NS = 150 * Clock.MS;

    /** Servers remembered, those that are gone among them; beyond that the gone ones are dropped. */
    private static final int MOST_SERVERS = 8_192;

    /** What was told of a server, and since when it takes nothing new; {@code stoppedAt} means nothing while it is ready. */
    private record Told(Availability availability, long stoppedAt) {
        boolean isReady() {
            return availability == Availability.READY;
        }

        boolean isGone() {
            return availability == Availability.GONE;
        }
    }

    private final Counters counters;
    private final Fleet fleet;
    /** What was told last of each server, by its number; one that is not here is as good as gone. */
    private final Map<Long, Told> servers = new HashMap<>();
    /** Whether discovery has still to confirm what was told of any server. */
    private boolean listAwaited;

    SendGate(Counters counters, Fleet fleet) {
        this.counters = counters;
        this.fleet = fleet;
    }

    /** Whether nothing may be sent to any server, since discovery has not confirmed the list yet. */
    void awaitList(boolean yes) {
        listAwaited = yes;
    }

    /** Takes in what was told of servers. */
    void told(ListChanged change, long now) {
        Set<Long> named = new HashSet<>();
        for (Listing line : change.lines()) {
            named.add(line.store());
            told(line.store(), line.availability(), now);
        }
        if (change.mode() == ListMode.FULL || change.mode() == ListMode.CACHED) {
            Set.copyOf(servers.keySet()).stream().filter(store -> !named.contains(store))
                    .forEach(store -> told(store, Availability.GONE, now));
        }
        if (servers.size() > MOST_SERVERS) {
            servers.values().removeIf(Told::isGone);
        }
    }

    private void told(long store, Availability availability, long now) {
        Told before = servers.get(store);
        boolean stoppedBefore = before != null && !before.isReady();
        servers.put(store, new Told(availability, stoppedBefore ? before.stoppedAt() : now));
    }

    /**
     * Whether an attempt may be written now.
     *
     * @param byModule what the decision module says
     * @param goneIsAdvice whether a removal without a drain binds nobody here, see the settings
     */
    boolean permits(Request request, Attempt attempt, Permission byModule, boolean goneIsAdvice, long now) {
        Permission permission = byModule;
        if (permission == Permission.ALLOWED && request.over) {
            permission = Permission.REQUEST_OVER;
        } else if (permission == Permission.ALLOWED && now >= attempt.startedAt + attempt.limitNs) {
            permission = Permission.TIME_OVER;
        } else if (permission == Permission.ALLOWED && listAwaited) {
            permission = Permission.LIST_UNCONFIRMED;
        } else if (permission == Permission.ALLOWED) {
            permission = byList(attempt.store, goneIsAdvice);
            if (permission != Permission.ALLOWED) {
                counters.count(Counter.GATE_DISAGREEMENTS);
                Log.warn("the decision module would send to " + fleet.name(attempt.store) + ", which takes nothing new: "
                        + describe(request, attempt, now));
            }
        }
        return counted(permission, attempt, now);
    }

    /** Whether a probe may be written now. */
    boolean permitsProbe(Attempt probe, boolean goneIsAdvice, long now) {
        return counted(listAwaited ? Permission.LIST_UNCONFIRMED : byList(probe.store, goneIsAdvice), probe, now);
    }

    private Permission byList(long store, boolean goneIsAdvice) {
        Told told = servers.get(store);
        if (told == null || told.isGone()) {
            // where a removal is advice, nobody can reach a server without an address, and that is Fleet's to say
            return goneIsAdvice ? Permission.ALLOWED : Permission.SERVER_GONE;
        }
        return told.isReady() ? Permission.ALLOWED : Permission.SERVER_DRAINING;
    }

    private boolean counted(Permission permission, Attempt attempt, long now) {
        if (permission != Permission.ALLOWED) {
            counters.count(Counter.withheld(permission));
            return false;
        }
        attempt.permittedAt = now;
        return true;
    }

    /** Checks an attempt whose last byte has gone out against the rules. */
    void written(Request request, Attempt attempt, boolean goneIsAdvice, long graceNs, long now) {
        if (attempt.permittedAt == 0) {
            violated(Counter.VIOLATIONS_UNPERMITTED, request, attempt, now);
            return;
        }
        if (now - attempt.permittedAt > HELD_UP_NS) {
            counters.count(Counter.WRITES_HELD_UP);
        }
        Told told = servers.get(attempt.store);
        boolean stopped = told != null && byList(attempt.store, goneIsAdvice) != Permission.ALLOWED;
        if (stopped && attempt.permittedAt > told.stoppedAt() + graceNs) {
            violated(Counter.VIOLATIONS_DRAIN, request, attempt, now);
        }
        if (request.leftAt > 0 && attempt.permittedAt > request.leftAt + GONE_NS) {
            violated(Counter.VIOLATIONS_CLIENT_GONE, request, attempt, now);
        }
        boolean mayHaveRun = request.attempts.stream().anyMatch(other -> other != attempt && other.mayHaveRun());
        if (mayHaveRun && request.effect == Effect.AT_MOST_ONCE) {
            violated(Counter.VIOLATIONS_REPEAT, request, attempt, now);
        }
    }

    /** A request's life is over, and its client was there and has no answer. */
    void unanswered(Request request) {
        counters.count(Counter.VIOLATIONS_NO_ANSWER);
        Log.warn("rule broken: request " + request.id + " of class " + request.call.className() + " ended without an answer");
    }

    private void violated(Counter rule, Request request, Attempt attempt, long now) {
        counters.count(rule);
        Log.warn("rule broken: " + rule + ", " + describe(request, attempt, now));
    }

    private String describe(Request request, Attempt attempt, long now) {
        Told told = servers.get(attempt.store);
        boolean stopped = told != null && !told.isReady();
        return "request " + request.id + " of class " + request.call.className() + ", attempt " + attempt.number + " at "
                + fleet.name(attempt.store) + ", begun " + (now - attempt.startedAt) / Clock.MS + " ms ago, server told "
                + (told == null ? "nothing of" : told.availability())
                + (stopped ? " " + (now - told.stoppedAt()) / Clock.MS + " ms ago" : "");
    }
}
