package holdmux.decision;

import holdmux.decision.SplitterApi.*;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A scripted front for tests: settings, a clock, and the actions that came out. */
final class SplitterFixture {
    static final long MS = 1_000_000L;
    static final long EPOCH_NS = 1_000_000 * MS;
    static final int VIEW = 0;
    static final int OWN = 1;
    static final int UNSAFE = 2;
    static final int KEYED = 3;
    static final int ANY = 4;
    static final int LONG = 5;

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

    /** One of so many fronts before one group; all stores are known to it. */
    static SplitterFixture oneOfMany(int poolers, long seed) {
        Settings base = settings(Guards.OFF, true);
        return new SplitterFixture(new Settings(0, poolers, 0, base.stepNs(), base.classes(), base.quotas(), 1, base.guards(), 0,
                base.zeroNs(), true, true, false, base.rules(), base.limits(), 0, 1, 2, -1, -1), seed).withThreeStores();
    }

    static Listing line(long store, boolean writer, long startedAt, Availability availability) {
        return new Listing(store, 1, 0, 0, availability, writer, startedAt, 1);
    }

    /** Stores 1 (primary), 2 and 3 of group 1. */
    SplitterFixture withThreeStores() {
        advance(0, new ListChanged(ListMode.CACHED, 1, List.of(line(1, true, 0, Availability.READY),
                line(2, false, 0, Availability.READY), line(3, false, 0, Availability.READY))));
        return this;
    }

    List<Action> advance(long afterMs, Event... events) {
        now += afterMs * MS;
        List<Action> out = new ArrayList<>();
        splitter.handle(now, Arrays.asList(events), out::add);
        actions.addAll(out);
        return out;
    }

    /** Where a read goes if whoever is asked first answers: the primary that it has room, the others that they lag. */
    long sentToAfterProbes(long afterMs, Event request) {
        List<Action> out = advance(afterMs, request);
        for (int round = 0; sentTo(out) == 0 && round < 4; round++) {
            List<Event> answers = new ArrayList<>(List.of(probeOk(1, 0, true)));
            out.stream().filter(Inspect.class::isInstance).map(a -> ((Inspect) a).store()).filter(store -> store != 1)
                    .forEach(store -> answers.add(probeOk(store, 10_000, false)));
            out = advance(2, answers.toArray(Event[]::new));
        }
        return sentTo(out);
    }

    /** The timer of the module, each 10 ms of a span. */
    List<Action> runTimers(long ms) {
        List<Action> out = new ArrayList<>();
        for (long elapsed = 0; elapsed < ms; elapsed += 10) {
            out.addAll(advance(10, new Wakeup(1)));
        }
        return out;
    }

    static Arrived request(long id, int classIndex, long session) {
        return new Arrived(id, classIndex, false, (classIndex == LONG ? 6_000 : 1_200) * MS, 0, 0, session, 0, 1);
    }

    Answered answered(long id, int attempt, long store, Outcome outcome, Role role, long position) {
        return new Answered(id, store, attempt, outcome == Outcome.OK, outcome, 5 * MS, role, position, new float[0]);
    }

    /** A probe that finds a position this many milliseconds before now. */
    Checked probeOk(long store, long behindMs, boolean primary) {
        float seconds = (float) ((now - behindMs * MS - EPOCH_NS) / 1e9);
        return new Checked(store, Outcome.OK, MS, new float[] {seconds, primary ? 1 : 0, 0});
    }

    static List<Transmit> sends(List<Action> actions) {
        return actions.stream().filter(Transmit.class::isInstance).map(Transmit.class::cast).toList();
    }

    static long sentTo(List<Action> actions) {
        List<Transmit> sends = sends(actions);
        return sends.isEmpty() ? 0 : sends.get(sends.size() - 1).store();
    }

    static boolean refused(List<Action> actions) {
        return actions.stream().anyMatch(Decline.class::isInstance);
    }

    static boolean failed(List<Action> actions) {
        return actions.stream().anyMatch(RespondError.class::isInstance);
    }
}
