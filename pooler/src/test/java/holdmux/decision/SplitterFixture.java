package holdmux.decision;

import holdmux.decision.SplitterApi.*;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Test fixture: a splitter with settings and a manual clock; records the actions that it returns. */
final class SplitterFixture {
    static final long MS = 1_000_000L;
    static final long EPOCH_NS = 1_000_000 * MS;
    /** Indices of the request classes in {@link #settings}. */
    static final int BOUNDED_READ = 0;
    static final int SESSION_READ = 1;
    static final int UNSAFE_WRITE = 2;
    static final int DEDUPLICATED_WRITE = 3;
    static final int ANY_READ = 4;
    static final int LONG_READ = 5;

    final ReadWriteSplitter splitter;
    final List<Action> actions = new ArrayList<>();
    long now = EPOCH_NS + 50_000 * MS;

    SplitterFixture(Settings settings, long seed) {
        splitter = new ReadWriteSplitter(settings, seed);
    }

    static RequestClass requestClass(Consistency consistency, long boundMs, Effect effect, double lateWorth) {
        return new RequestClass(consistency, boundMs * MS, 400 * MS, 1_200 * MS, 3, lateWorth, effect, Scope.CELL, 800 * MS);
    }

    static Settings settings(Guards guards, boolean remembered) {
        List<RequestClass> classes = List.of(requestClass(Consistency.BOUNDED, 200, Effect.IDEMPOTENT, 0),
                requestClass(Consistency.SESSION, 0, Effect.IDEMPOTENT, 0.2),
                requestClass(Consistency.WRITE, 0, Effect.AT_MOST_ONCE, 0.5),
                requestClass(Consistency.WRITE, 0, Effect.DEDUPLICATED, 0.5),
                requestClass(Consistency.ANY, 0, Effect.IDEMPOTENT, 0.5),
                new RequestClass(Consistency.ANY, 0, 3_000 * MS, 6_000 * MS, 6, 0, Effect.IDEMPOTENT, Scope.ALL, 0));
        return new Settings(0, 2, 0, 5 * MS, classes, List.of(), 1, guards, 0, EPOCH_NS, remembered, true, false,
                new Rules(20 * MS, 500 * MS, 0.15, 17_000 * MS, 2.5, 1_500 * MS, false, 0),
                new Limits(6, true, true, false, true, 500 * MS, false), 0, 1, 2, -1, -1);
    }

    /** One of several poolers of a group whose stores are all known to it. */
    static SplitterFixture oneOfMany(int poolers, long seed) {
        Settings base = settings(Guards.OFF, true);
        return new SplitterFixture(new Settings(0, poolers, 0, base.stepNs(), base.classes(), base.quotas(), 1, base.guards(), 0,
                base.zeroNs(), true, true, false, base.rules(), base.limits(), 0, 1, 2, -1, -1), seed).withThreeStores();
    }

    static Listing listing(long store, boolean writer, long startedAt, Availability availability) {
        return new Listing(store, 1, 0, 0, availability, writer, startedAt, 1);
    }

    /** Lists stores 1 (primary), 2 and 3 of group 1. */
    SplitterFixture withThreeStores() {
        advance(0, new ListChanged(ListMode.CACHED, 1, List.of(listing(1, true, 0, Availability.READY),
                listing(2, false, 0, Availability.READY), listing(3, false, 0, Availability.READY))));
        return this;
    }

    /** Advances the clock, passes the events in and returns the actions. */
    List<Action> advance(long afterMs, Event... events) {
        now += afterMs * MS;
        List<Action> out = new ArrayList<>();
        splitter.handle(now, Arrays.asList(events), out::add);
        actions.addAll(out);
        return out;
    }

    /** The store that a read is sent to if probes are answered first: the primary idle, all replicas far behind. */
    long sentToAfterProbes(long afterMs, Event request) {
        List<Action> out = advance(afterMs, request);
        for (int round = 0; lastTarget(out) == 0 && round < 4; round++) {
            List<Event> answers = new ArrayList<>(List.of(probeOk(1, 0, true)));
            out.stream().filter(Inspect.class::isInstance).map(a -> ((Inspect) a).store()).filter(store -> store != 1)
                    .forEach(store -> answers.add(probeOk(store, 10_000, false)));
            out = advance(2, answers.toArray(Event[]::new));
        }
        return lastTarget(out);
    }

    /** Expires the splitter's timer every 10 ms for a time. */
    List<Action> runTimers(long ms) {
        List<Action> out = new ArrayList<>();
        for (long elapsed = 0; elapsed < ms; elapsed += 10) {
            out.addAll(advance(10, new Wakeup(1)));
        }
        return out;
    }

    static Arrived arrival(long id, int classIndex, long session) {
        return new Arrived(id, classIndex, false, (classIndex == LONG_READ ? 6_000 : 1_200) * MS, 0, 0, session, 0, 1);
    }

    Answered answered(long id, int attempt, long store, Outcome outcome, Role role, long position) {
        return new Answered(id, store, attempt, outcome == Outcome.OK, outcome, 5 * MS, role, position, new float[0]);
    }

    /** A successful probe that reports a position this many milliseconds behind now. */
    Checked probeOk(long store, long behindMs, boolean primary) {
        float seconds = (float) ((now - behindMs * MS - EPOCH_NS) / 1e9);
        return new Checked(store, Outcome.OK, MS, new float[] {seconds, primary ? 1 : 0, 0});
    }

    static List<Transmit> transmits(List<Action> actions) {
        return actions.stream().filter(Transmit.class::isInstance).map(Transmit.class::cast).toList();
    }

    /** The store of the last attempt that was started, 0 if none was. */
    static long lastTarget(List<Action> actions) {
        List<Transmit> sends = transmits(actions);
        return sends.isEmpty() ? 0 : sends.get(sends.size() - 1).store();
    }

    static boolean refused(List<Action> actions) {
        return actions.stream().anyMatch(Decline.class::isInstance);
    }

    static boolean failed(List<Action> actions) {
        return actions.stream().anyMatch(RespondError.class::isInstance);
    }
}
