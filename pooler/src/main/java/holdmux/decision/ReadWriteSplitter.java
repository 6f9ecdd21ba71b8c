// The interface is SplitterApi.java, beside this file; the design is docs/design.md.
package holdmux.decision;

import holdmux.decision.SplitterApi.*;
import java.util.*;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Decides for one front which store of a group takes each request. It remembers each session's last-write
 * position, serves the session's reads from a replica known to have reached it, else from the primary, and
 * drops the token only once every replica has caught up. Not thread-safe; it has no clock and does no I/O.
 */
public final class ReadWriteSplitter {
    private static final long MS = 1_000_000L;

    /** Held requests are looked at again after this part of their wait so far; answers wake them too. */
    private static final long LOOK_AGAIN = 4;
    /** How long a reported queue is held to be true, in tightest aims; it drains in a few service times. */
    private static final double QUEUE_AIMS = 5.0 / 3;
    /** Probes for each request that comes in: their price stays below what stale reports cost. */
    private static final double PROBES_PER_REQUEST = 0.12;
    /** Probes saved up at most, so that no burst follows a quiet spell; half is kept for what is in doubt. */
    private static final double PROBE_BURST = 16;
    /** The shortest time between probes of one store, twice that in routine: as often as reports refresh. */
    private static final long PROBE_GAP_NS = 100 * MS;
    /** How fast the averages of a store follow: about ten answers. */
    private static final double FOLLOW = 0.1;
    /** Answers that the first guess of a class's time counts for: one long answer must not replace it. */
    private static final int GUESS_WEIGHT = 5;
    /** Part of its aim that a class needs at most: beyond it none would be sent, and nothing learned. */
    private static final double BASE_MOST = 0.5;
    /** Part of its usual load beyond which a store has no room left. */
    private static final double ROOM = 1.5;
    /** Work at once that says nothing of a store's load yet: any store has that many cores. */
    private static final double FREE_SLOTS = 2;
    /** Part of its cores in use from which a store has no room: the rest is noise of the report. */
    private static final double UTIL_FULL = 0.9;
    /** Cores that a store is taken to have when a reported queue is turned into a wait: a common size. */
    private static final double CORES = 4;
    /** A store with work out is silent after this many of its usual gaps between answers, but never sooner
     * than this many tightest aims, the length of an ordinary pause. */
    private static final double SILENT_GAPS = 12, SILENT_AIMS = 4.0 / 3;
    /** First rest of an ill store, in tightest aims; each further one is twice as long, up to the longest. */
    private static final double REST_AIMS = 4.0 / 3;
    private static final long REST_LONGEST_NS = 4_000 * MS;
    /** No process starts anew within this: what is back sooner had lost connections, but no warmth. */
    private static final long RESTART_NS = 1_000 * MS;
    /** Broken connections in a row that make it ill: spoilt answers, one in 30 on bad days, seldom do. */
    private static final int BREAKS = 3;
    /** Weight of a store that is ill, where most of its group is, or that fails all: a trial now and then. */
    private static final double ILL_WEIGHT = 0.1;
    /** Replicas asked for one read: reports differ in age, and most that seem far enough are. */
    private static final int MOST_ASKED = 2;
    /** The first trial of a lagging replica after a miss; more lag waits longer. */
    private static final long TRIAL_NS = 40 * MS;
    /** A safe read's attempt is timed out after this many expected times, or this part of the time left. */
    private static final double PATIENCE = 10, USEFUL_PART = 0.75;
    /** Part of the time left that an answer may be expected to take: answers scatter about the mean. */
    private static final double FIT_IN = 0.4;
    /** Part of the cold budget of the rules that all fronts together plan to use, steady and in bursts. */
    private static final double COLD_STEADY = 0.8, COLD_BURST = 0.25;
    /** Sessions remembered in a group; the oldest is cleared past the floor beyond that. */
    private static final int SESSIONS = 20_000;
    /** What no store has been given is not held beyond this part of its time: by measure a tenth, time for a
     * probe's word; longer only crowds. What is worth more late than this is held on: it has the chance. */
    private static final double HOLD_PART = 0.1, LATE_ENOUGH = 0.3;
    /** What an answer tells counts as known 100 ms after it was written, read or not; less a send's way. */
    private static final long KNOWN_NS = 75 * MS;
    /** Kept clear of the end of a dedup window: the way to the store and its clock take time. */
    private static final long WINDOW_MARGIN_NS = 50 * MS;
    /** A list call that failed is made again after this, and up to as much again by chance. */
    private static final long ASK_AGAIN_NS = 1_000 * MS;

    /** Spans over which the work in hand is averaged, about that of the cold rule, and for which the busiest
     * spell is remembered, some of the longest warm-ups. */
    private static final double CARRY_NS = 2_000.0 * MS, PEAK_NS = 60_000.0 * MS;

    private static final int TICK = 1, ASK = 2;

    private enum Verdict { NONE, ANY, ALL }

    /** A session of a group: its token (0 is none), its replica, writes that are out and since when. */
    private static final class Session {
        long token, writing, writingSince;
        Store replica;
    }

    private static final class Group {
        final List<Store> members = new ArrayList<>();
        final List<Open> held = new ArrayList<>();
        final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>(16, 0.75f, true);
        /** The latest token cleared here. */
        long floor;
        /** Who is believed to lead, and when that was last borne out. */
        Store leader;
        long leaderAt;
    }

    /** One store: what the list says, its known position, its lag by estimate, its health, its load. */
    private static final class Store {
        final long id;
        Group group;
        int zone;
        Availability availability = Availability.READY;
        long startedAt;
        boolean listedWriter;
        /** Proven: all commits up to here are applied. Never falls. */
        long known;
        /** Estimate only: how far behind it seems to be, and when that was last seen. */
        long lag, lagAt, nextTrial;
        /** When an answer or a probe last denied that it leads; since when its role is in doubt, 0 if not. */
        long deniedAt, doubtedAt;
        int out;
        /** Connections of it that broke since its last answer. */
        int breaks;
        double outWork;
        /** Health: ill since when, if silent, if its process seemed down or none could connect; its rest. */
        boolean ill, silent, down, cut;
        long illAt, rest, unansweredSince, answeredAt;
        /** Whether it has ever answered or was in the first list: others must earn their place by a probe. */
        boolean proven, listedGone;
        boolean probing;
        long probedAt, wellAt, queueAt;
        /** Requests that waited there, of all fronts, by the last report. */
        double queue;
        /** How long answers take lately against the usual of their class, and at what load. */
        double ratio = 1, load = 1;
        /** Part of its answers of late that were errors. */
        double errors;
        /** Since when it may be cold, and how much it has been sent since. */
        double coldLevel;
        long coldSince, coldAt;

        Store(long id, Group group, long rest) {
            this.id = id;
            this.group = group;
            this.rest = rest;
        }

        boolean listed() {
            return availability == Availability.READY;
        }

        /** When it was last asked for a report or told one. */
        long seenAt() {
            return Math.max(probedAt, queueAt);
        }

        /** Part of the group for the verdict and for panic; one that is called gone and is ill is not. */
        boolean counts() {
            return listed() && proven && !(listedGone && ill);
        }
    }

    private static final class Open {
        final long id;
        /** What the request came under: these hold until its end, whatever is told meanwhile. */
        final RequestClass type;
        final Limits limits;
        final Pace pace;
        final Group group;
        final long session, arrived, deadline, giveUpAt, holdUntil, tokenPosition;
        final boolean bindsSession;
        final List<Attempt> attempts = new ArrayList<>(2);
        final BitSet ended = new BitSet(), retracted = new BitSet();
        int inFlight, misses, asked;
        boolean done, held, accused, reached;
        /** The first that may have run; none but a safe request has two out, so that one was sent first. */
        Attempt ran;
        Store avoid, erred;

        Open(Arrived a, Settings settings, Pace pace, Group group, long now) {
            id = a.id();
            type = settings.classes().get(a.classIndex());
            limits = settings.limits();
            this.pace = pace;
            this.group = group;
            session = a.session();
            bindsSession = type.consistency() == Consistency.WRITE && settings.remembered() && session != 0;
            arrived = now;
            deadline = now + a.remainingNs();
            long slack = settings.stepNs() + MS;
            long useful = type.lateWorth() > 0 ? deadline : Math.min(deadline, now + type.onTimeNs());
            giveUpAt = useful - slack;
            long part = now + (long) (HOLD_PART * a.remainingNs()) - slack;
            holdUntil = type.lateWorth() > LATE_ENOUGH ? giveUpAt : Math.min(giveUpAt, part);
            tokenPosition = a.tokenAgeNs() > 0 ? now - a.tokenAgeNs() : 0;
        }

        boolean safe() {
            return type.effect() == Effect.IDEMPOTENT;
        }
    }

    /** How long a class takes in quiet times, and from how many answers that is known. */
    private static final class Pace {
        double base;
        int samples;

        Pace(double base, int samples) {
            this.base = base;
            this.samples = samples;
        }
    }

    private record Attempt(Store store, long sentAt, long needed, int outThen, double work, Session owner) {}

    private Settings settings;
    private boolean checks, rolesTold;
    private final SplittableRandom random;
    private final Map<Long, Store> stores = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new LinkedHashMap<>();
    private final Map<Long, Open> opens = new LinkedHashMap<>();
    private List<Pace> paces = List.of();
    private double probeTokens = PROBE_BURST;
    /** Work in hand at all stores together for this front, averaged; the peak of late for each store. */
    private double carry, peak;
    /** Stores that the list calls ready. */
    private int ready;
    private long carryAt;
    /** How old a report is when it arrives, learned from primaries, which stand at the present. */
    private double reportAge;
    private long now;
    /** The earliest timer that is set, and when this front last stood still. */
    private long wakeAt = Long.MAX_VALUE, stalledAt;
    /** Groups that something happened to in this batch: only their held requests are looked at. */
    private final Set<Group> touched = new LinkedHashSet<>();
    private Consumer<Action> sink;
    /** Times that follow the settings, since work and aims differ between deployments. */
    private long tick, silentLeast, restFirst, queueTime;

    public ReadWriteSplitter(Settings settings, long seed) {
        random = new SplittableRandom(seed);
        adopt(settings, Collections.nCopies(settings.classes().size(), -1));
    }

    /** Takes up settings; {@code was} tells where each class stood in those before, -1 for a new one. */
    private void adopt(Settings settings, List<Integer> was) {
        this.settings = settings;
        checks = settings.guards() != Guards.OFF;
        tick = 2 * settings.stepNs(); // the soonest that a timer is set for, in steps of the wire
        long aim = settings.classes().stream().mapToLong(RequestClass::onTimeNs).min().orElseThrow();
        silentLeast = (long) (SILENT_AIMS * aim);
        restFirst = (long) (REST_AIMS * aim);
        queueTime = (long) (QUEUE_AIMS * aim);
        List<Pace> next = new ArrayList<>();
        for (RequestClass type : settings.classes()) {
            int before = was.get(next.size());
            Pace old = before < 0 ? new Pace(type.onTimeNs() / 5.0, 0) : paces.get(before);
            next.add(new Pace(Math.min(old.base, BASE_MOST * type.onTimeNs()), old.samples));
        }
        paces = next;
    }

    /** Takes all events of one batch, in order, and gives out the actions that answer them. */
    public void handle(long now, List<Event> events, Consumer<Action> sink) {
        if (this.sink == null && settings.mustSubscribe()) {
            sink.accept(new Subscribe(true));
        }
        this.now = now;
        this.sink = sink;
        boolean due = now >= wakeAt;
        if (due) {
            stalledAt = now - wakeAt > 100 * MS ? now : stalledAt; // beyond any batch: it stood still itself
            wakeAt = Long.MAX_VALUE;
        }
        for (Event event : events) {
            if (event instanceof Arrived e) {
                arrived(e);
            } else if (event instanceof Answered e) {
                answered(e);
            } else if (event instanceof Checked e) {
                checked(e);
            } else if (event instanceof Wakeup e && e.handle() == ASK) {
                sink.accept(new Subscribe(true));
            } else if (event instanceof ClientLeft e && opens.containsKey(e.id())) {
                close(opens.get(e.id()));
            } else if (event instanceof GiveUp e && opens.containsKey(e.id())) {
                finish(opens.get(e.id()), EndReason.PROCESS_ENDS);
            } else if (event instanceof ListChanged e) {
                listChanged(e);
            } else if (event instanceof Written e) {
                written(e);
            } else if (event instanceof Retuned e) {
                adopt(e.settings(), e.was());
            }
        }
        if (due) {
            sweep();
        }
        touched.forEach(this::releaseHeld);
        touched.clear();
    }

    /** Sets a timer unless an earlier one is set; without work there is none. */
    private void wake(long at) {
        long soonest = Math.max(at, now + tick);
        if (soonest < wakeAt) {
            wakeAt = soonest;
            sink.accept(new Schedule(wakeAt - now, TICK));
        }
    }

    // ---- The ordinary path: token, verdict, floor, session's replica, random pick, primary ----

    private void arrived(Arrived e) {
        probeTokens = Math.min(PROBE_BURST, probeTokens + PROBES_PER_REQUEST);
        Group group = groups.computeIfAbsent(e.group(), g -> new Group());
        Open o = new Open(e, settings, paces.get(e.classIndex()), group, now);
        opens.put(o.id, o);
        probe(group);
        touched.add(group);
        hold(o); // released at the end of the batch, dearest first, so that new work does not jump the queue
    }

    private void decide(Open o) {
        Store leader = o.group.leader;
        Store store = switch (o.type.consistency()) {
            case WRITE, FRESH -> leader != null && usable(leader, o) ? leader : null;
            case SESSION -> sessionStore(o);
            case BOUNDED, ANY -> spreadStore(o);
        };
        if (store == null || !send(o, store)) {
            hold(o);
        }
    }

    private Store sessionStore(Open o) {
        Group group = o.group;
        Session session = group.sessions.get(o.session);
        long token = token(o, session);
        Verdict verdict = verdict(group, token);
        if (verdict == Verdict.ALL && session != null && session.token > 0) {
            session.token = 0;
            group.floor = Math.max(group.floor, token);
        }
        if (verdict != Verdict.NONE || checks) {
            Store kept = session == null ? null : session.replica;
            if (kept != null && !kept.ill && fits(kept, o, token) && usable(kept, o)) {
                return kept;
            }
            Store picked = randomFit(o, s -> fits(s, o, token));
            if (picked != null) {
                return remember(group, o.session).replica = picked;
            }
        }
        return asks(o, Math.max(token, group.floor)) ? null : lastResort(o);
    }

    private Store spreadStore(Open o) {
        long needed = needed(o);
        Store picked = randomFit(o, s -> fits(s, o, needed));
        return picked != null || asks(o, needed) ? picked : lastResort(o);
    }

    /**
     * Whether a replica is asked for its position, which seems far enough but is not known to be: each front
     * hears seldom of each of many replicas, and primaries have no room for all reads. Costs a probe.
     */
    private boolean asks(Open o, long needed) {
        if (checks || o.asked >= MOST_ASKED) {
            return false;
        }
        Store leader = o.group.leader;
        Predicate<Store> hopeful = s -> s != leader && !s.ill && now - s.lag >= needed && s.known < needed;
        if (o.group.members.stream().anyMatch(s -> s.probing && hopeful.test(s))) {
            return true;
        }
        Store s = randomFit(o, m -> hopeful.test(m) && now - m.probedAt >= PROBE_GAP_NS);
        o.asked += s == null ? 0 : 1;
        return s != null && inspect(s, true);
    }

    /** What a session must see. The answer of a write that is out may be on its way, and counts so. */
    private long token(Open o, Session session) {
        boolean told = session != null && session.writing > 0 && now - session.writingSince > KNOWN_NS;
        long own = session == null ? 0 : Math.max(session.token, told ? now - KNOWN_NS : 0);
        return settings.remembered() ? own : o.tokenPosition;
    }

    private Verdict verdict(Group group, long token) {
        List<Store> replicas = group.members.stream().filter(s -> s != group.leader && s.counts()).toList();
        long reached = replicas.stream().filter(s -> s.known >= token).count();
        return reached == 0 ? Verdict.NONE : reached == replicas.size() ? Verdict.ALL : Verdict.ANY;
    }

    /** The position that a read needs if it is sent now. */
    private long needed(Open o) {
        return switch (o.type.consistency()) {
            case SESSION -> token(o, o.group.sessions.get(o.session));
            case BOUNDED -> now - o.type.boundNs();
            case FRESH -> o.arrived;
            default -> 0;
        };
    }

    /** Whether a replica is known to have reached a position or, where stores check, seems to have. */
    private boolean fits(Store s, Open o, long needed) {
        boolean pastFloor = o.type.consistency() != Consistency.SESSION || s.known >= o.group.floor;
        boolean recent = s.known >= needed || checks && now - s.lag >= needed;
        return s != o.group.leader && s.group == o.group && pastFloor && recent;
    }

    /** At random among those that fit, by weight; who fails fast looks idle, so errors are a burden too. */
    private Store randomFit(Open o, Predicate<Store> fit) {
        Store picked = null;
        double total = 0;
        for (Store s : o.group.members) {
            if (s != o.avoid && fit.test(s) && usable(s, o)) {
                double burden = (s.outWork + o.pace.base) * s.ratio / Math.max(ILL_WEIGHT, 1 - s.errors);
                double weight = (s.ill ? ILL_WEIGHT : 1) * coldPart(s) / (burden * burden * burden);
                total += weight;
                if (random.nextDouble() * total < weight) {
                    picked = s;
                }
            }
        }
        return picked;
    }

    /** None fits: the primary if it has room beside its writes, or where stores check a rare trial. */
    private Store lastResort(Open o) {
        Store leader = o.group.leader;
        if (leader != null && hasRoom(leader) && usable(leader, o)) {
            return leader;
        }
        boolean mayTry = checks && o.misses < 2 && (leader == null || !leader.probing);
        Predicate<Store> due = s -> s != leader && s.nextTrial <= now && usable(s, o);
        Store best = !mayTry ? null
                : o.group.members.stream().filter(due).min(Comparator.comparingLong(s -> s.lag)).orElse(null);
        if (best != null) {
            restTrials(best);
        }
        return best;
    }

    /** Whether a store has room beside what it must do anyway; asked first where its report is old. Guards
     * against all fronts piling their reads on one primary; costs a probe's time where replicas lag. */
    private boolean hasRoom(Store s) {
        boolean asked = now - s.queueAt > queueTime && settings.queueField() >= 0 && inspect(s, false);
        return !asked && queue(s) < 1 && s.out < ROOM * Math.max(FREE_SLOTS, s.load);
    }

    private Session remember(Group group, long key) {
        Session session = group.sessions.computeIfAbsent(key, k -> new Session());
        if (group.sessions.size() > SESSIONS) {
            Iterator<Session> oldest = group.sessions.values().iterator();
            group.floor = Math.max(group.floor, oldest.next().token);
            oldest.remove();
        }
        return session;
    }

    /** All that a second process of this front must know to serve the sessions' reads. */
    public List<Written> writes() {
        List<Written> all = new ArrayList<>();
        groups.forEach((id, g) -> {
            all.add(new Written(id, 0, g.floor));
            g.sessions.forEach((key, session) -> all.add(new Written(id, key, session.token)));
        });
        return all;
    }

    private void written(Written e) {
        Group group = groups.computeIfAbsent(e.group(), g -> new Group());
        if (e.session() == 0) {
            group.floor = Math.max(group.floor, e.positionNs());
        } else {
            Session session = remember(group, e.session());
            session.token = Math.max(session.token, e.positionNs());
        }
    }

    // ---- The two gates ----

    /** The only way out to a store: checks the rules, then starts an attempt. */
    private boolean send(Open o, Store s) {
        boolean alone = o.inFlight == 0 || o.limits.duplicates() && o.safe();
        if (o.done || !repeatable(o) || !alone || !allowed(o, s) || !coldRoom(s, o.pace.base)) {
            return false;
        }
        s.coldLevel += o.pace.base;
        Session owner = o.bindsSession ? remember(o.group, o.session) : new Session();
        owner.writingSince = owner.writing++ == 0 ? now : owner.writingSince;
        Attempt attempt = new Attempt(s, now, needed(o), s.out + 1, o.pace.base, owner);
        o.attempts.add(attempt);
        o.inFlight++;
        s.out++;
        s.outWork += attempt.work;
        s.unansweredSince = s.unansweredSince == 0 ? now : s.unansweredSince;
        s.nextTrial = s.ill ? now + s.rest : s.nextTrial;
        unhold(o);
        wake(Math.min(o.giveUpAt, now + silentLeast));
        sink.accept(new Transmit(o.id, s.id, Math.max(1, limit(o, s))));
        return true;
    }

    /** Whether the list and the age of its data allow a request to go to a store at this moment. */
    private Permission permission(Open o, Store s) {
        boolean fresh = checks || s == o.group.leader && s.doubtedAt == 0 || s.known >= needed(o);
        boolean inScope = o.ran == null || o.type.effect() != Effect.DEDUPLICATED
                || o.type.scope() != Scope.ZONE || s.zone == o.ran.store.zone;
        if (s.group != o.group || s.availability == Availability.GONE) {
            return Permission.SERVER_GONE;
        }
        if (!s.listed()) {
            return Permission.SERVER_DRAINING;
        }
        return !fresh ? Permission.DATA_TOO_OLD : inScope ? Permission.ALLOWED : Permission.OUT_OF_SCOPE;
    }

    private boolean allowed(Open o, Store s) {
        return permission(o, s) == Permission.ALLOWED;
    }

    /** Asked right before an attempt is written: its connection may have taken long to come up. */
    public Permission mayWrite(long now, long id, int attempt) {
        this.now = now;
        Open o = opens.get(id);
        if (o == null || o.done) {
            return Permission.REQUEST_OVER;
        }
        return mayRunAgain(o) ? permission(o, o.attempts.get(attempt).store) : Permission.NOT_REPEATABLE;
    }

    private long limit(Open o, Store s) {
        long left = o.deadline - now;
        boolean only = !o.safe() || o.attempts.size() >= o.limits.maxAttempts();
        double patience = Math.max(PATIENCE * expected(s, o), USEFUL_PART * (o.giveUpAt - now));
        return only ? left : Math.min(left, (long) patience);
    }

    /** The only final answer of this module: refused where that is true, else failed. */
    private void finish(Open o, EndReason reason) {
        if (o.done) {
            return;
        }
        boolean mayHaveRun = o.inFlight > 0 || o.ran != null;
        boolean refusable = o.safe() || !mayHaveRun
                || o.type.effect() == Effect.DEDUPLICATED && o.type.scope() == Scope.ALL;
        sink.accept(refusable
                ? new Decline(o.id, o.limits.retryAfter() ? o.limits.maxRetryAfterNs() : 0, reason)
                : new RespondError(o.id, reason));
        close(o);
    }

    private void close(Open o) {
        o.done = true;
        unhold(o);
        for (int i = 0; i < o.attempts.size(); i++) {
            retract(o, i);
        }
        if (o.inFlight == 0) {
            opens.remove(o.id);
        }
    }

    private void retract(Open o, int i) {
        if (!o.ended.get(i) && !o.retracted.get(i) && o.limits.cancel()) {
            o.retracted.set(i);
            sink.accept(new Retract(o.id, i));
        }
    }

    // ---- Holding, releasing, giving up ----

    private void hold(Open o) {
        if (!o.held && !o.done) {
            o.held = true;
            o.group.held.add(o);
            wake(lookAgain(o));
        }
    }

    private long lookAgain(Open o) {
        long limit = o.reached || now >= o.holdUntil ? o.giveUpAt : o.holdUntil;
        return Math.min(limit, now + (now - o.arrived) / LOOK_AGAIN);
    }

    private void unhold(Open o) {
        o.held = false;
        o.group.held.remove(o);
    }

    /** Work for each unit of worth. */
    private double cost(Open o) {
        double part = now < o.arrived + o.type.onTimeNs() ? 1 : o.type.lateWorth();
        return o.pace.base / (o.type.worth() * part);
    }

    private void releaseHeld(Group group) {
        List<Open> waiting = new ArrayList<>(group.held);
        waiting.sort(Comparator.comparingDouble(this::cost));
        for (Open o : waiting) {
            if (!o.done && o.held && o.inFlight == 0) {
                decide(o);
            }
        }
    }

    /** Looks at all open requests and sets the next timer; the cost follows the requests in hand. */
    private void sweep() {
        List<Open> all = new ArrayList<>(opens.values());
        for (Open o : all) {
            for (int i = o.ended.nextClearBit(0); i < o.attempts.size(); i = o.ended.nextClearBit(i + 1)) {
                watch(o.attempts.get(i).store);
            }
        }
        for (Open o : all) {
            boolean hopeless = o.held && o.inFlight == 0
                    && (now + o.pace.base / 2 > o.giveUpAt || !repeatable(o)
                    || !o.reached && now + tick >= o.holdUntil); // the next look would be too late
            if (now >= o.giveUpAt || hopeless) {
                finish(o, now >= o.giveUpAt ? EndReason.TIME_OVER
                        : repeatable(o) ? EndReason.NO_SERVER : EndReason.NOT_REPEATABLE);
            } else if (!o.done) {
                rescue(o);
                if (o.held) {
                    touched.add(o.group);
                    probe(o.group);
                    wake(lookAgain(o));
                } else {
                    wake(Math.min(o.giveUpAt, now + silentLeast / LOOK_AGAIN));
                }
            }
        }
    }

    private boolean repeatable(Open o) {
        return mayRunAgain(o) && o.attempts.size() < o.limits.maxAttempts();
    }

    private boolean mayRunAgain(Open o) {
        return o.ran == null || switch (o.type.effect()) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED -> now < o.ran.sentAt + o.type.windowNs() - WINDOW_MARGIN_NS;
            case AT_MOST_ONCE -> false;
        };
    }

    /** Takes repeatable work back from a store that has gone silent; what was sent since is its trial. */
    private void rescue(Open o) {
        boolean may = o.type.effect() != Effect.AT_MOST_ONCE && !panic(o.group);
        for (int i = 0; i < o.attempts.size(); i++) {
            Attempt a = o.attempts.get(i);
            if (may && !o.ended.get(i) && a.store.silent && a.sentAt <= a.store.illAt) {
                o.avoid = a.store;
                retract(o, i);
            }
        }
    }

    // ---- Outcomes ----

    private void answered(Answered e) {
        Open o = opens.get(e.id());
        if (o == null || e.attempt() >= o.attempts.size() || o.ended.get(e.attempt())) {
            return;
        }
        Attempt a = o.attempts.get(e.attempt());
        o.ended.set(e.attempt());
        o.inFlight--;
        a.store.out--;
        a.store.outWork -= a.work;
        o.ran = o.ran == null && !e.outcome().neverRan ? a : o.ran;
        o.reached |= e.outcome() != Outcome.CONNECT_FAILED && e.outcome() != Outcome.MOOT;
        touched.add(o.group);
        reported(a.store, e.report(), e.role() == Role.PRIMARY);
        evidence(o, a, e);
        health(o, a, e);
        if (e.isFinal() || o.done) {
            close(o);
        } else {
            again(o, a, e.outcome());
        }
    }

    private void again(Open o, Attempt a, Outcome outcome) {
        o.misses += outcome == Outcome.MISS ? 1 : 0;
        o.avoid = a.store;
        if (o.inFlight == 0 && (now >= o.giveUpAt || !repeatable(o) || o.accused)) {
            finish(o, now >= o.giveUpAt ? EndReason.TIME_OVER
                    : repeatable(o) ? EndReason.SERVERS_FAILED : EndReason.NOT_REPEATABLE);
        } else if (o.inFlight == 0) {
            decide(o);
        }
    }

    /** What an answer proves of positions and of the role. */
    private void evidence(Open o, Attempt a, Answered e) {
        Store s = a.store;
        if (e.role() == Role.PRIMARY) {
            leads(s, a.sentAt); // not when it came: what is on its way for long must not undo a newer denial
        } else if (e.role() == Role.REPLICA) {
            leadsNot(s, now);
        }
        rolesTold |= e.role() != Role.UNKNOWN;
        // an answer that a reset took along may have told of the role, and that counts as heard
        boolean lost = (rolesTold || settings.primaryField() >= 0) && e.outcome() == Outcome.RESET;
        s.doubtedAt = e.role() != Role.UNKNOWN ? 0 : lost ? now : s.doubtedAt;
        if (e.positionNs() > 0 && e.positionNs() <= now + MS) { // commits are rounded up
            s.known = Math.max(s.known, e.positionNs());
            if (e.role() == Role.REPLICA) {
                sawLag(s, Math.max(0, now - e.positionNs()));
            }
        }
        a.owner.writing--;
        if (o.bindsSession && !e.outcome().neverRan) {
            Session session = remember(o.group, o.session);
            boolean told = e.outcome() == Outcome.OK && e.positionNs() > 0;
            // where its answer was not heard it may have taken effect, and been told, up to now
            session.token = Math.max(session.token, told ? e.positionNs() : now + MS);
        }
        if (o.type.consistency() == Consistency.WRITE || !checks) {
            return;
        }
        if (e.outcome() == Outcome.OK && e.role() == Role.REPLICA) {
            s.known = Math.max(s.known, a.needed);
            s.lag = Math.min(s.lag, Math.max(0, a.sentAt - a.needed));
        } else if (e.outcome() == Outcome.MISS && a.needed > 0) {
            sawLag(s, Math.max(s.lag, now - a.needed + TRIAL_NS));
            restTrials(s);
        }
    }

    private void sawLag(Store s, long lag) {
        s.lag = lag;
        s.lagAt = now;
    }

    private void restTrials(Store s) {
        s.nextTrial = now + Math.max(TRIAL_NS, s.lag / 4);
    }

    private void leads(Store s, long at) {
        Group g = s.group;
        if (at >= g.leaderAt && at > s.deniedAt) {
            g.leader = s;
            g.leaderAt = at;
        }
    }

    private void leadsNot(Store s, long at) {
        s.deniedAt = Math.max(s.deniedAt, at);
        if (s.group.leader == s && at >= s.group.leaderAt) {
            s.group.leader = null;
            s.group.leaderAt = at;
        }
    }

    private void health(Open o, Attempt a, Answered e) {
        Store s = a.store;
        s.errors += FOLLOW * ((e.outcome() == Outcome.ERROR ? 1 : 0) - s.errors);
        switch (e.outcome()) {
            case OK -> {
                answeredWell(s);
                if (a.sentAt > stalledAt) {
                    pace(s, o, e.latencyNs(), a.outThen);
                }
                s.rest = Math.max(restFirst, s.rest / 2);
                if (o.erred != null && o.erred != s) {
                    suspect(o.erred); // it failed what another store served
                }
            }
            case MISS, FULL -> answeredWell(s);
            case ERROR -> {
                // two errors accuse the request, not the stores: bad requests must not eject them
                s.unansweredSince = now;
                o.accused = o.erred != null;
                o.erred = s;
            }
            case TIMEOUT -> {
                if (a.sentAt > stalledAt) {
                    s.ratio += FOLLOW * Math.max(0, e.latencyNs() / o.pace.base - s.ratio);
                }
                if (s.answeredAt < a.sentAt && a.sentAt > stalledAt) {
                    suspect(s);
                }
            }
            case CONNECT_FAILED -> {
                suspect(s);
                s.cut = true;
                s.down |= s.breaks > 0;
            }
            case RESET -> broke(s);
            default -> { }
        }
        s.unansweredSince = s.out == 0 && !s.silent ? 0 : s.unansweredSince;
    }

    private void answeredWell(Store s) {
        s.coldSince = s.ill && s.down && now - s.illAt > RESTART_NS ? now : s.coldSince;
        s.ill = s.silent = s.down = s.cut = false;
        s.proven = true;
        s.answeredAt = s.unansweredSince = now;
        s.breaks = 0;
    }

    /** One connection broke, spoilt or closed when idle or with its process: only some with no answer between
     * make a store ill, and cold only if it stays so for a while. Costs attempts at one that is down. */
    private void broke(Store s) {
        s.breaks++;
        if (s.breaks >= BREAKS || s.ill) {
            suspect(s);
        }
    }

    /** The one judgement of a store: silence, lost answers, refused connects, resets, failed probes, errors
     * that others did not make. An ill store rests, then must answer a probe, then gets one trial. */
    private void suspect(Store s) {
        if (!s.ill) {
            s.ill = true;
            s.illAt = now;
        } else if (s.nextTrial > now) {
            return;
        }
        s.nextTrial = now + s.rest;
        s.rest = s == s.group.leader ? restFirst : Math.min(REST_LONGEST_NS, 2 * s.rest);
    }

    /** Learns how long a class takes in quiet times, and how much longer this store takes now. */
    private void pace(Store s, Open o, long latency, int outAtSend) {
        Pace p = o.pace;
        s.ratio += FOLLOW * (latency / p.base - s.ratio);
        s.load += FOLLOW * (outAtSend - s.load);
        // chosen by load at the send, never by the outcome: lucky answers alone would drag the figure down
        if (outAtSend <= FREE_SLOTS && s.queue < 1) {
            p.base += Math.max(FOLLOW / 10, 1.0 / (GUESS_WEIGHT + ++p.samples)) * (latency - p.base);
            p.base = Math.min(p.base, BASE_MOST * o.type.onTimeNs());
        }
        carry = carry * Math.exp(-(now - carryAt) / CARRY_NS) + p.base / CARRY_NS;
        peak = Math.max(peak * Math.exp(-(now - carryAt) / PEAK_NS), carry / Math.max(1, ready));
        carryAt = now;
    }

    /** The reported queue, which says less the older it is. */
    private double queue(Store s) {
        return s.queue == 0 ? 0 : s.queue * Math.exp(-(now - s.queueAt) / (double) queueTime);
    }

    private double expected(Store s, Open o) {
        return o.pace.base * Math.max(1, s.ratio * (s.out + 1) / Math.max(FREE_SLOTS, s.load));
    }

    /** Whether a store can be expected to answer in time. Guards against queues that make all late, from
     * overload, slow machines or other fronts; refuses too much where answer times scatter widely. */
    private boolean usable(Store s, Open o) {
        if (!s.listed() || !s.proven || !coldRoom(s, o.pace.base)) {
            return false;
        }
        if (s.ill && (s.cut || !panic(o.group))) { // what cannot be reached is no use, whatever the others do
            return s.out == 0 && s.nextTrial <= now && (s.wellAt >= s.illAt || !settings.limits().probes());
        }
        long aim = o.arrived + o.type.onTimeNs();
        // a late request takes what is left over: it must not build a queue that makes others late too
        long left = Math.min(now < aim ? aim - now : o.type.onTimeNs(), o.giveUpAt - now);
        boolean free = s.out == 0 || queue(s) < 1 && s.out < 2 * FREE_SLOTS;
        double wait = queue(s) * o.pace.base / CORES;
        return free ? wait + o.pace.base <= left : wait + expected(s, o) <= FIT_IN * left;
    }

    /** Most of a group looks ill: the load or this front is to blame, and ejecting would only add to it. */
    private boolean panic(Group group) {
        return group.members.stream().filter(Store::counts).mapToInt(s -> s.ill ? 1 : -1).sum() > 0;
    }

    // ---- Cold stores ----

    /** Part of its full capacity that a store has at least; 1 once it is warm. */
    private double coldPart(Store s) {
        long age = now - s.coldSince;
        if (s.coldSince == 0 || age >= settings.rules().rampNs()) {
            return 1;
        }
        double least = settings.rules().coldShare();
        return least + (1 - least) * Math.max(0, age) / settings.rules().rampNs();
    }

    /** Whether a store that may be cold can take so much more work now; always true of a warm one. */
    private boolean coldRoom(Store s, double work) {
        double part = coldPart(s);
        if (part >= 1) {
            return true;
        }
        double rate = settings.rules().overloadFactor() * part * usualCarry();
        // a spell starts at a random point of one request's span: a hundred fronts must not all send at once
        double drained = s.coldLevel - COLD_STEADY * rate * (now - s.coldAt);
        s.coldLevel = s.coldAt < s.coldSince ? random.nextDouble() * work : Math.max(0, drained);
        s.coldAt = now;
        return s.coldLevel == 0 || s.coldLevel + work <= COLD_BURST * rate * settings.rules().fallNs();
    }

    /** Work per time that this front sends to a busy store, by the peak of late: what cold ones may not take
     * must not lower what they may take next. At least its share of most of the cores of a store. */
    private double usualCarry() {
        return Math.max(peak * Math.exp(-(now - carryAt) / PEAK_NS), 0.6 * CORES / settings.balancers());
    }

    // ---- Probes, timers and the list ----

    /** Guards against hung, vanished or cut-off stores: work out, no answer. May hurt on a lone long read. */
    private void watch(Store s) {
        if (s.out > 0 && !s.silent && s.unansweredSince > 0) {
            double gap = s.outWork / s.out * Math.max(1, s.ratio) / Math.max(1, Math.min(s.out, s.load));
            long since = Math.max(stalledAt, s.unansweredSince);
            if (now - since > Math.max(silentLeast, SILENT_GAPS * gap)) {
                suspect(s);
                s.silent = true;
                s.illAt = now;
            }
        }
    }

    /** Probes follow requests: each in turn of a group that has no leader, and the one longest unseen. */
    private void probe(Group g) {
        boolean lost = g.leader == null || g.leader.ill || !g.leader.listed();
        Store stalest = null;
        Store doubtful = null;
        for (Store s : g.members) {
            if ((lost || s.ill || !s.proven || s.doubtedAt > 0) && s.nextTrial <= now) {
                doubtful = doubtful == null || s.probedAt < doubtful.probedAt ? s : doubtful;
            } else if (s.listed() && !s.probing && (stalest == null || s.seenAt() < stalest.seenAt())) {
                stalest = s;
            }
        }
        if (doubtful != null) {
            inspect(doubtful, !doubtful.proven);
        }
        if (stalest != null && now - stalest.seenAt() >= 2 * PROBE_GAP_NS && probeTokens > PROBE_BURST / 2) {
            inspect(stalest, false);
        }
    }

    /** Probes a store if due and paid for, or urgent; whether its answer is under way or has just come. */
    private boolean inspect(Store s, boolean urgent) {
        boolean due = s.listed() && !s.probing && now - s.probedAt >= PROBE_GAP_NS;
        if (due && settings.limits().probes() && (urgent || probeTokens >= 1)) {
            s.probing = true;
            s.probedAt = now;
            probeTokens = Math.max(0, probeTokens - 1);
            sink.accept(new Inspect(s.id));
        }
        return s.probing || now - s.probedAt <= PROBE_GAP_NS;
    }

    private void checked(Checked e) {
        Store s = stores.get(e.store());
        if (s == null) {
            return;
        }
        s.probing = false;
        touched.add(s.group);
        if (e.outcome() == Outcome.OK) {
            s.proven = true;
            s.cut = false;
            s.wellAt = now;
            reported(s, e.report(), false);
        } else if (e.outcome() == Outcome.RESET) {
            broke(s);
        } else if (e.outcome() != Outcome.FULL && s.answeredAt < s.probedAt && s.probedAt > stalledAt) {
            suspect(s);
            s.down |= e.outcome() != Outcome.ERROR;
            s.cut |= e.outcome() == Outcome.CONNECT_FAILED;
        }
    }

    /** What a report says; nothing if not whole or ahead of time, nor of roles beside a primary's answer. */
    private void reported(Store s, float[] report, boolean leads) {
        int needed = Math.max(settings.positionField(), settings.primaryField());
        if (settings.positionField() < 0 || report.length <= needed) {
            return;
        }
        float seconds = Math.nextDown(report[settings.positionField()]);
        long position = settings.zeroNs() + (long) (seconds * 1e9);
        if (position > now) {
            return;
        }
        double full = field(report, settings.utilField()) > UTIL_FULL ? 1 : 0;
        double excess = Math.max(full, field(report, settings.inflightField()) - CORES);
        s.queue = Math.max(excess, field(report, settings.queueField()));
        s.queueAt = now;
        s.known = Math.max(s.known, position);
        boolean primary = settings.primaryField() >= 0 && report[settings.primaryField()] == 1f;
        if (primary) {
            reportAge += FOLLOW * (now - position - reportAge);
            leads(s, Math.max(position, 1));
            s.doubtedAt = position >= s.doubtedAt ? 0 : s.doubtedAt;
        } else if (!leads) {
            leadsNot(s, now - 2 * (long) reportAge);
            s.doubtedAt = s.group.leader == s ? now : 0; // older than its own word, or newer: it is asked
            if (s.lagAt < now - reportAge) {
                sawLag(s, Math.max(0, now - position - (long) reportAge));
            }
        }
    }

    private static double field(float[] report, int field) {
        return field >= 0 && field < report.length ? report[field] : 0;
    }

    private void listChanged(ListChanged e) {
        if (e.mode() == ListMode.FAILED) {
            sink.accept(new Schedule(ASK_AGAIN_NS + random.nextLong(ASK_AGAIN_NS), ASK));
            return;
        }
        if (e.mode() != ListMode.DELTA) {
            Set<Long> full = new HashSet<>();
            e.lines().forEach(line -> full.add(line.store()));
            stores.values().stream().filter(s -> !full.contains(s.id)).forEach(this::gone);
        }
        boolean first = stores.isEmpty();
        e.lines().forEach(line -> listed(line, first));
        ready = (int) stores.values().stream().filter(Store::listed).count();
    }

    private void listed(Listing line, boolean first) {
        Group group = groups.computeIfAbsent(line.group(), g -> new Group());
        Store s = stores.computeIfAbsent(line.store(), id -> new Store(id, group, restFirst));
        s.proven |= first;
        if (line.availability() == Availability.GONE) {
            gone(s);
            return;
        }
        s.group.members.remove(s);
        s.group = group;
        group.members.add(s);
        s.zone = line.zone();
        s.availability = line.availability();
        s.listedGone = false;
        if (line.startedAt() > s.startedAt) {
            s.startedAt = line.startedAt();
            s.coldSince = line.startedAt();
        }
        boolean news = line.writer() && !s.listedWriter && group.leader == null && s.deniedAt == 0;
        s.listedWriter = line.writer();
        group.leader = news && settings.showsRole() ? s : group.leader;
        if (!s.listed() && group.leader == s) {
            leadsNot(s, now);
        }
    }

    private void gone(Store s) {
        s.listedGone = true;
        if (settings.rules().goneIsAdvice()) {
            return;
        }
        s.availability = Availability.GONE;
        s.group.members.remove(s);
        if (s.group.leader == s) {
            leadsNot(s, now);
        }
    }
}
