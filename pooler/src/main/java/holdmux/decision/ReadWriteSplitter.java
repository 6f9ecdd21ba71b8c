// The events and actions are in SplitterApi.java beside this file; the design is in docs/design.md.
package holdmux.decision;

import holdmux.decision.SplitterApi.*;
import java.util.*;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Decides for one pooler which store of a group serves each request. It keeps the position of each session's last
 * write as a token, serves the session's reads from a replica known to have reached it, or else from the primary,
 * and drops the token only once every replica has caught up. Not thread-safe; it has no clock and does no I/O.
 */
public final class ReadWriteSplitter {
    private static final long MS = 1_000_000L;

    /** Pending requests are rechecked after their wait so far divided by this; answers trigger a recheck too. */
    private static final long RECHECK_DIVISOR = 4;
    /** Decay time of a reported queue, in shortest latency targets; a queue drains in a few service times. */
    private static final double QUEUE_DECAY_TARGETS = 5.0 / 3;
    /** Probes allowed for each request that arrives: at this rate they cost less than stale reports do. */
    private static final double PROBES_PER_REQUEST = 0.12;
    /** Limit of the probe budget, so that no burst follows an idle period; half is kept for uncertain stores. */
    private static final double PROBE_BURST = 16;
    /** Shortest interval between probes of a store, doubled for routine probes: reports refresh this often. */
    private static final long MIN_PROBE_INTERVAL_NS = 100 * MS;
    /** Smoothing factor of a store's moving averages: they follow about the last ten answers. */
    private static final double EWMA_ALPHA = 0.1;
    /** Answers that the initial latency estimate of a class counts for: one long answer must not replace it. */
    private static final int INITIAL_ESTIMATE_WEIGHT = 5;
    /** Upper bound of a class's base latency as a share of its target: above it, nothing would be sent or learned. */
    private static final double MAX_BASE_SHARE = 0.5;
    /** Multiple of its usual requests in flight from which a store has no spare capacity. */
    private static final double MAX_LOAD_FACTOR = 1.5;
    /** Requests in flight that do not yet indicate load: any store has this many cores. */
    private static final double UNLOADED_CONCURRENCY = 2;
    /** Reported CPU utilization above which a store has no spare capacity: the rest is noise of the report. */
    private static final double FULL_UTILIZATION = 0.9;
    /** Cores that a store is assumed to have when a reported queue is converted to a wait: a common size. */
    private static final double ASSUMED_CORES = 4;
    /** A store with requests in flight is silent after this many of its usual intervals between answers, but no
     * sooner than after this many shortest latency targets, the length of an ordinary pause. */
    private static final double SILENCE_ANSWER_GAPS = 12, MIN_SILENCE_TARGETS = 4.0 / 3;
    /** First backoff of an unhealthy store, in shortest latency targets; each further one doubles, up to the limit. */
    private static final double FIRST_BACKOFF_TARGETS = 4.0 / 3;
    private static final long MAX_BACKOFF_NS = 4_000 * MS;
    /** No process restarts within this time: a store that is back sooner lost its connections but is still warm. */
    private static final long MIN_RESTART_NS = 1_000 * MS;
    /** Consecutive resets that make a store unhealthy: corrupt answers, at times one in 30, rarely do. */
    private static final int MAX_CONSECUTIVE_RESETS = 3;
    /** Weight of a store that is unhealthy as most of its group is, or that fails everything: occasional trials. */
    private static final double UNHEALTHY_WEIGHT = 0.1;
    /** Replicas probed for one read: reports differ in age, and most replicas that seem recent enough are. */
    private static final int MAX_POSITION_PROBES = 2;
    /** Shortest delay before a lagging replica is tried again after a miss; it grows with the lag. */
    private static final long MIN_TRIAL_DELAY_NS = 40 * MS;
    /** An idempotent request's attempt times out after the longer of this many expected latencies and this share
     * of its remaining useful time. */
    private static final double ATTEMPT_TIMEOUT_FACTOR = 10, ATTEMPT_TIMEOUT_SHARE = 0.75;
    /** Share of the remaining time that an answer may be expected to take: latencies scatter about the mean. */
    private static final double MAX_EXPECTED_SHARE = 0.4;
    /** Shares of the permitted load of a cold store that all poolers together plan to use, steadily and in bursts. */
    private static final double COLD_STEADY_SHARE = 0.8, COLD_BURST_SHARE = 0.25;
    /** After this share of its target time, a request has a cold store's budget saved up for it. */
    private static final double COLD_RESERVATION_SHARE = 0.25;
    /** Roles of stores not listed yet that are kept; more than the number of stores in a large deployment. */
    private static final int MAX_EARLY_ROLES = 8_192;
    /** Sessions kept in a group; beyond that the least recently used is dropped and the floor raised to its token. */
    private static final int MAX_SESSIONS = 20_000;
    /** A request that no store has received is pending for at most this share of its time, enough for a probe to
     * answer; longer waits only take up client connections. A request whose late worth is above the second value
     * stays pending until its time is over, since a late answer still has value. */
    private static final double MAX_PENDING_SHARE = 0.1, MIN_LATE_WORTH = 0.3;
    /** What an answer says counts as known 100 ms after the store wrote it, whether or not this pooler has read it;
     * 25 ms are deducted for the time that the send takes. */
    private static final long ANSWER_KNOWN_NS = 75 * MS;
    /** A role is relied on only for positions more recent than reports show, which is this many of their usual ages,
     * and only if it was proved within the longer of the two further times. */
    private static final double REPORT_AGES = 2, ROLE_REPORT_AGES = 3;
    private static final long MIN_ROLE_AGE_NS = 250 * MS;
    /** A report counts as at most this many times as old as usual when the usual age is learned, and as 250 ms old
     * in any case. */
    private static final double MAX_REPORT_AGE_FACTOR = 4;
    /** Safety margin before the end of a deduplication window, and its largest share of the window: a store that pauses
     * takes a message later than it was sent, although the system has received it. */
    private static final long DEDUP_MARGIN_NS = 400 * MS, DEDUP_MARGIN_DIVISOR = 4;
    /** Delay before a failed list call is retried; a random delay of up to as much is added. */
    private static final long LIST_RETRY_NS = 1_000 * MS;

    /** Decay times of the average concurrency, about the window of the rule for cold stores, and of its peak,
     * several of the longest warm-ups. */
    private static final double CONCURRENCY_AVERAGE_NS = 2_000.0 * MS, CONCURRENCY_PEAK_NS = 60_000.0 * MS;

    /** Timer handles: a sweep of the open requests, and a retry of the list subscription. */
    private static final int SWEEP_TIMER = 1, SUBSCRIBE_TIMER = 2;

    /** How many replicas of a group have caught up with a token. */
    private enum Verdict { NONE, ANY, ALL }

    /** A session of a group: its token (0 if none), its writes in flight and since when, and its replica. */
    private static final class Session {
        long token, writesInFlight, writesInFlightSince;
        Store replica;
    }

    /** A group: its stores, pending requests and sessions. */
    private static final class Group {
        final List<Store> members = new ArrayList<>();
        final List<OpenRequest> pending = new ArrayList<>();
        final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>(16, 0.75f, true);
        /** The latest token that was dropped here; no replica behind it serves session reads. */
        long floor;
        /** The store considered to be the primary, and when that was last confirmed. */
        Store leader;
        long leaderConfirmedAt;
    }

    /** One store: what the list says, its known position, its estimated lag, its health and its load. */
    private static final class Store {
        final long id;
        Group group;
        int zone;
        Availability availability = Availability.READY;
        long startedAt;
        boolean listedAsWriter;
        final StoreEvidence evidence = new StoreEvidence();
        /** Estimated replication lag, when it was last observed, and when the next trial request is due. */
        long lag, lagEstimatedAt, nextTrialAt;
        /** The last state of its role that was noted. */
        RoleState notedRole = RoleState.UNKNOWN;
        int inFlight;
        /** Its connections that broke since its last answer. */
        int consecutiveResets;
        double inFlightWork;
        /** Health: whether and since when unhealthy; whether silent, its process down or unreachable; its backoff. */
        boolean unhealthy, silent, processDown, unreachable;
        long unhealthySince, backoffNs, unansweredSince, answeredAt;
        /** Whether it has ever answered or was in the first list; others must answer a probe before they are used. */
        boolean verified, removedFromList;
        boolean probing;
        long probedAt, probeOkAt, reportedAt;
        /** Requests of all poolers that were queued there, by the last report. */
        double reportedQueue;
        /** Recent latency relative to the base latency of the class, and the requests in flight that go with it. */
        double latencyRatio = 1, usualInFlight = 1;
        /** Share of its recent answers that were errors. */
        double errorRate;
        /** While it may be cold: how much work it was sent, less what it has done since; since when; last update. */
        double coldBudgetUsed;
        long coldSince, coldBudgetAt;
        /** The request that the cold budget is saved up for; it may have ended since. */
        OpenRequest coldReservation;

        Store(long id, Group group, long backoffNs) {
            this.id = id;
            this.group = group;
            this.backoffNs = backoffNs;
        }

        boolean isReady() {
            return availability == Availability.READY;
        }

        /** Whether it is taken for the primary by the word of the list alone. */
        boolean isUnprovenLeader() {
            return group.leader == this && !evidence.hasBeenPrimary();
        }

        /** What is known of its role now. */
        RoleState roleState() {
            if (evidence.isKnownReplica()) {
                return RoleState.REPLICA;
            }
            if (group.leader != this) {
                return RoleState.UNKNOWN;
            }
            return evidence.isUncertain() ? RoleState.UNCERTAIN
                    : evidence.hasBeenPrimary() ? RoleState.PRIMARY : RoleState.LISTED_PRIMARY;
        }

        /** The time that {@link #roleState} is from. */
        long roleStateAsOf() {
            return switch (roleState()) {
                case REPLICA -> evidence.replicaAsOf();
                case UNCERTAIN -> evidence.uncertainSince();
                case PRIMARY -> evidence.primaryAsOf();
                default -> 0;
            };
        }

        /** When it was last probed or last sent a report. */
        long lastCheckedAt() {
            return Math.max(probedAt, reportedAt);
        }

        /** Whether it counts for the verdict and for panic; an unhealthy store that the list has removed does not. */
        boolean countsAsMember() {
            return isReady() && verified && !(removedFromList && unhealthy);
        }
    }

    /** A request that has no final answer yet or still has attempts in flight. */
    private static final class OpenRequest {
        final long id;
        /** Settings in force when the request arrived; they apply to it until its end. */
        final RequestClass requestClass;
        final Limits limits;
        final LatencyEstimate latency;
        final Group group;
        final long session, arrivedAt, deadline, giveUpAt, pendingUntil, tokenPosition;
        final boolean advancesToken;
        final List<Attempt> attempts = new ArrayList<>(2);
        final BitSet ended = new BitSet(), retracted = new BitSet();
        int inFlight, misses, positionProbes;
        boolean done, pending, requestAtFault, reachedStore;
        /** First ended attempt that may have run; also the first sent, as only idempotent requests have two out. */
        Attempt firstMayHaveRun;
        Store avoidStore, failedStore;
        /** The cold store whose budget is saved up for this request. */
        Store reservedStore;

        OpenRequest(Arrived arrival, Settings settings, LatencyEstimate latency, Group group, long now) {
            id = arrival.id();
            requestClass = settings.classes().get(arrival.classIndex());
            limits = settings.limits();
            this.latency = latency;
            this.group = group;
            session = arrival.session();
            advancesToken = requestClass.consistency() == Consistency.WRITE && settings.remembered() && session != 0;
            arrivedAt = now;
            deadline = now + arrival.remainingNs();
            long slack = settings.stepNs() + MS;
            long usefulUntil = requestClass.lateWorth() > 0 ? deadline
                    : Math.min(deadline, now + requestClass.onTimeNs());
            giveUpAt = usefulUntil - slack;
            long pendingLimit = now + (long) (MAX_PENDING_SHARE * arrival.remainingNs()) - slack;
            pendingUntil = requestClass.lateWorth() > MIN_LATE_WORTH ? giveUpAt : Math.min(giveUpAt, pendingLimit);
            tokenPosition = arrival.tokenAgeNs() > 0 ? now - arrival.tokenAgeNs() : 0;
        }

        boolean isIdempotent() {
            return requestClass.effect() == Effect.IDEMPOTENT;
        }
    }

    /** Latency of a request class without load, and the number of answers it was learned from. */
    private static final class LatencyEstimate {
        double baseNs;
        int samples;

        LatencyEstimate(double baseNs, int samples) {
            this.baseNs = baseNs;
            this.samples = samples;
        }
    }

    /** One attempt; the session is an unused one unless the request advances its session's token. */
    private record Attempt(Store store, long sentAt, long requiredPosition, int inFlightAtSend, double work,
            Session session) {}

    private Settings settings;
    private boolean storesCheckPosition, rolesReported;
    /** Whether a primary that only the list names must confirm its role before reads rely on it. */
    private boolean provesLeaders;
    /** Incremented whenever a store is found to have another role. */
    private long rolesVersion;
    /** Where the evidence of the event in progress comes from, and the request that it belongs to, or 0. */
    private EvidenceSource evidenceSource = EvidenceSource.LOCAL;
    private long evidenceRequest;
    /** What another process of this pooler knows of the roles of stores that are not listed here yet. */
    private final Map<Long, RoleObserved> earlyRoles = new HashMap<>();
    private final SplittableRandom random;
    private final Map<Long, Store> stores = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new LinkedHashMap<>();
    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    private List<LatencyEstimate> latencyEstimates = List.of();
    private double probeBudget = PROBE_BURST;
    /** Average work of this pooler in flight at all stores together; its recent peak per store. */
    private double averageConcurrency, peakConcurrency;
    /** Number of stores that the list says are ready. */
    private int readyStores;
    private long concurrencyAt;
    /** Age of a report when it arrives, learned from primaries, whose position is always current. */
    private double reportAgeNs;
    private final ClockLag clockLag = new ClockLag();
    private long now;
    /** When the earliest timer is due, and when this process last stalled. */
    private long nextTimerAt = Long.MAX_VALUE, stalledAt;
    /** Groups affected by the current batch; only their pending requests are rechecked. */
    private final Set<Group> touchedGroups = new LinkedHashSet<>();
    private Consumer<Action> sink;
    /** Times derived from the settings, since work and latency targets differ between deployments. */
    private long minTimerNs, minSilenceNs, firstBackoffNs, queueDecayNs;

    /** Creates a splitter; the same settings, seed and events give the same actions. */
    public ReadWriteSplitter(Settings settings, long seed) {
        random = new SplittableRandom(seed);
        applySettings(settings, Collections.nCopies(settings.classes().size(), -1));
    }

    /** Applies settings; {@code previousIndices} has each class's index in the previous ones, -1 for a new class. */
    private void applySettings(Settings settings, List<Integer> previousIndices) {
        this.settings = settings;
        storesCheckPosition = settings.guards() != Guards.OFF;
        minTimerNs = 2 * settings.stepNs(); // two time steps of the wire
        long shortestTarget = settings.classes().stream().mapToLong(RequestClass::onTimeNs).min().orElseThrow();
        minSilenceNs = (long) (MIN_SILENCE_TARGETS * shortestTarget);
        firstBackoffNs = (long) (FIRST_BACKOFF_TARGETS * shortestTarget);
        queueDecayNs = (long) (QUEUE_DECAY_TARGETS * shortestTarget);
        List<LatencyEstimate> estimates = new ArrayList<>();
        for (RequestClass requestClass : settings.classes()) {
            int previousIndex = previousIndices.get(estimates.size());
            LatencyEstimate previous = previousIndex < 0 ? new LatencyEstimate(requestClass.onTimeNs() / 5.0, 0)
                    : latencyEstimates.get(previousIndex);
            estimates.add(new LatencyEstimate(Math.min(previous.baseNs, MAX_BASE_SHARE * requestClass.onTimeNs()),
                    previous.samples));
        }
        latencyEstimates = estimates;
    }

    /** Processes a batch of events in order and passes the resulting actions to {@code sink}. */
    public void handle(long now, List<Event> events, Consumer<Action> sink) {
        if (this.sink == null && settings.mustSubscribe()) {
            sink.accept(new Subscribe(true));
        }
        this.now = now;
        this.sink = sink;
        boolean due = now >= nextTimerAt;
        if (due) {
            // later than any batch takes: this process itself was stalled
            stalledAt = now - nextTimerAt > 100 * MS ? now : stalledAt;
            nextTimerAt = Long.MAX_VALUE;
        }
        for (Event event : events) {
            evidenceSource = sourceOf(event);
            evidenceRequest = event instanceof Answered e ? e.id() : 0;
            if (event instanceof Arrived e) {
                onArrived(e);
            } else if (event instanceof Answered e) {
                onAnswered(e);
            } else if (event instanceof Checked e) {
                onChecked(e);
            } else if (event instanceof Wakeup e && e.handle() == SUBSCRIBE_TIMER) {
                sink.accept(new Subscribe(true));
            } else if (event instanceof ClientLeft e && openRequests.containsKey(e.id())) {
                close(openRequests.get(e.id()));
            } else if (event instanceof AbortRequest e && openRequests.containsKey(e.id())) {
                finish(openRequests.get(e.id()), e.reason());
            } else if (event instanceof ListChanged e) {
                onListChanged(e);
            } else if (event instanceof LastWrite e) {
                onLastWrite(e);
            } else if (event instanceof RoleObserved e) {
                onRoleObserved(e);
            } else if (event instanceof LateStatus e && stores.containsKey(e.store())) {
                onLateStatus(stores.get(e.store()), e);
            } else if (event instanceof StatusOverdue e && stores.containsKey(e.store())) {
                onStatusOverdue(stores.get(e.store()));
            } else if (event instanceof TakeoverStarted) {
                onTakeoverStarted();
            } else if (event instanceof SettingsChanged e) {
                applySettings(e.settings(), e.previousIndices());
            }
        }
        if (due) {
            sweep();
        }
        touchedGroups.forEach(this::dispatchPending);
        touchedGroups.clear();
    }

    private static EvidenceSource sourceOf(Event event) {
        return event instanceof Answered ? EvidenceSource.REQUEST : event instanceof Checked ? EvidenceSource.PROBE
                : event instanceof LateStatus ? EvidenceSource.STATUS
                : event instanceof StatusOverdue ? EvidenceSource.STATUS_MISSED
                : event instanceof RoleObserved ? EvidenceSource.OTHER_PROCESS
                : event instanceof ListChanged ? EvidenceSource.LIST : EvidenceSource.LOCAL;
    }

    /** Schedules a sweep unless an earlier one is scheduled; without open requests there is none. */
    private void scheduleSweep(long atNs) {
        long soonest = Math.max(atNs, now + minTimerNs);
        if (soonest < nextTimerAt) {
            nextTimerAt = soonest;
            sink.accept(new Schedule(nextTimerAt - now, SWEEP_TIMER));
        }
    }

    // ---- Routing: token, verdict, floor, the session's replica, weighted random choice, primary ----

    private void onArrived(Arrived e) {
        probeBudget = Math.min(PROBE_BURST, probeBudget + PROBES_PER_REQUEST);
        Group group = groups.computeIfAbsent(e.group(), g -> new Group());
        OpenRequest request = new OpenRequest(e, settings, latencyEstimates.get(e.classIndex()), group, now);
        openRequests.put(request.id, request);
        probeGroup(group);
        touchedGroups.add(group);
        enqueue(request); // dispatched at the end of the batch by worth, so that new requests do not overtake others
    }

    /** Sends a request to the store chosen for it, or leaves it pending. */
    private void dispatch(OpenRequest request) {
        Store leader = request.group.leader;
        Store store = switch (request.requestClass.consistency()) {
            case WRITE, FRESH -> leader != null && canServeInTime(leader, request) ? leader : null;
            case SESSION -> pickForSessionRead(request);
            case BOUNDED, ANY -> pickForBoundedRead(request);
        };
        if (store == null || !send(request, store)) {
            if (store != null && permission(request, store) == Permission.DATA_TOO_OLD) {
                probeForProof(store);
            }
            enqueue(request);
        }
    }

    private Store pickForSessionRead(OpenRequest request) {
        Group group = request.group;
        Session session = group.sessions.get(request.session);
        long token = sessionToken(request, session);
        Verdict verdict = verdict(group, token);
        if (verdict == Verdict.ALL && session != null && session.token > 0) {
            session.token = 0;
            group.floor = Math.max(group.floor, token);
        }
        if (verdict != Verdict.NONE || storesCheckPosition) {
            Store kept = session == null ? null : session.replica;
            if (kept != null && !kept.unhealthy && hasReached(kept, request, token) && canServeInTime(kept, request)) {
                return kept;
            }
            Store picked = pickWeighted(request, store -> hasReached(store, request, token));
            if (picked != null) {
                return getOrCreateSession(group, request.session).replica = picked;
            }
        }
        return awaitsPositionProbe(request, Math.max(token, group.floor)) ? null : pickFallback(request);
    }

    private Store pickForBoundedRead(OpenRequest request) {
        long required = requiredPosition(request);
        Store picked = pickWeighted(request, store -> hasReached(store, request, required));
        return picked != null || awaitsPositionProbe(request, required) ? picked : pickFallback(request);
    }

    /**
     * Whether the read waits for a probe of a replica that seems recent enough but is not known to be; starts the
     * probe if there is none. A pooler rarely gets answers from each of many replicas, and primaries have no
     * capacity for all reads. Costs a probe.
     */
    private boolean awaitsPositionProbe(OpenRequest request, long required) {
        if (storesCheckPosition || request.positionProbes >= MAX_POSITION_PROBES) {
            return false;
        }
        Store leader = request.group.leader;
        Predicate<Store> candidate = store -> store != leader && !store.unhealthy && now - store.lag >= required
                && store.evidence.appliedPosition() < required;
        if (request.group.members.stream().anyMatch(store -> store.probing && candidate.test(store))) {
            return true;
        }
        Store store = pickWeighted(request, m -> candidate.test(m) && now - m.probedAt >= MIN_PROBE_INTERVAL_NS);
        request.positionProbes += store == null ? 0 : 1;
        return store != null && probeStore(store, true);
    }

    /** The position that a session's read must see. A write in flight may already be answered, and counts as such. */
    private long sessionToken(OpenRequest request, Session session) {
        boolean mayBeAnswered = session != null && session.writesInFlight > 0
                && now - session.writesInFlightSince > ANSWER_KNOWN_NS;
        long own = session == null ? 0 : Math.max(session.token, mayBeAnswered ? now - ANSWER_KNOWN_NS : 0);
        return settings.remembered() ? own : request.tokenPosition;
    }

    private Verdict verdict(Group group, long token) {
        List<Store> replicas = group.members.stream()
                .filter(store -> store != group.leader && store.countsAsMember()).toList();
        long caughtUp = replicas.stream().filter(store -> store.evidence.appliedPosition() >= token).count();
        return caughtUp == 0 ? Verdict.NONE : caughtUp == replicas.size() ? Verdict.ALL : Verdict.ANY;
    }

    /** The position that a store must have reached if the request is sent now. */
    private long requiredPosition(OpenRequest request) {
        return switch (request.requestClass.consistency()) {
            case SESSION -> sessionToken(request, request.group.sessions.get(request.session));
            case BOUNDED -> now - request.requestClass.boundNs() + clockLag.confirmedNs();
            case FRESH -> request.arrivedAt + clockLag.confirmedNs();
            default -> 0;
        };
    }

    /** Whether a replica is known to have reached a position or, where stores check positions, seems to have. */
    private boolean hasReached(Store store, OpenRequest request, long required) {
        boolean reachedFloor = request.requestClass.consistency() != Consistency.SESSION
                || store.evidence.appliedPosition() >= request.group.floor;
        boolean recentEnough = store.evidence.appliedPosition() >= required
                || storesCheckPosition && now - store.lag >= required;
        return store != request.group.leader && store.group == request.group && reachedFloor && recentEnough;
    }

    /** Weighted random choice among eligible stores; a store that fails fast looks idle, so errors add to its cost. */
    private Store pickWeighted(OpenRequest request, Predicate<Store> eligible) {
        Store picked = null;
        double total = 0;
        for (Store store : request.group.members) {
            if (store != request.avoidStore && eligible.test(store) && canServeInTime(store, request)) {
                double cost = (store.inFlightWork + request.latency.baseNs) * store.latencyRatio
                        / Math.max(UNHEALTHY_WEIGHT, 1 - store.errorRate);
                double weight = (store.unhealthy ? UNHEALTHY_WEIGHT : 1) * capacityShare(store) / (cost * cost * cost);
                total += weight;
                if (random.nextDouble() * total < weight) {
                    picked = store;
                }
            }
        }
        return picked;
    }

    /** No replica is eligible: the primary if it has spare capacity, or a rare trial where stores check positions. */
    private Store pickFallback(OpenRequest request) {
        Store leader = request.group.leader;
        if (leader != null && hasSpareCapacity(leader) && canServeInTime(leader, request)) {
            return leader;
        }
        boolean mayTryReplica = storesCheckPosition && request.misses < 2 && (leader == null || !leader.probing);
        Predicate<Store> eligible = store -> store != leader && store.nextTrialAt <= now
                && canServeInTime(store, request);
        Store leastLagging = !mayTryReplica ? null
                : request.group.members.stream().filter(eligible).min(Comparator.comparingLong(store -> store.lag))
                        .orElse(null);
        if (leastLagging != null) {
            postponeTrial(leastLagging);
        }
        return leastLagging;
    }

    /** Whether a store has capacity beside what it must do anyway; it is probed first if its report is old. Keeps all
     * poolers from sending their reads to one primary at once; costs a probe's round trip where replicas lag. */
    private boolean hasSpareCapacity(Store store) {
        boolean awaitsReport = now - store.reportedAt > queueDecayNs && settings.queueField() >= 0
                && probeStore(store, false);
        return !awaitsReport && currentQueue(store) < 1
                && store.inFlight < MAX_LOAD_FACTOR * Math.max(UNLOADED_CONCURRENCY, store.usualInFlight);
    }

    private Session getOrCreateSession(Group group, long key) {
        Session session = group.sessions.computeIfAbsent(key, k -> new Session());
        if (group.sessions.size() > MAX_SESSIONS) {
            Iterator<Session> oldest = group.sessions.values().iterator();
            group.floor = Math.max(group.floor, oldest.next().token);
            oldest.remove();
        }
        return session;
    }

    /** The floors and session tokens that a second process of this pooler needs to serve the sessions' reads. */
    public List<LastWrite> lastWrites() {
        List<LastWrite> writes = new ArrayList<>();
        groups.forEach((id, g) -> {
            writes.add(new LastWrite(id, 0, g.floor));
            g.sessions.forEach((key, session) -> writes.add(new LastWrite(id, key, session.token)));
        });
        return writes;
    }

    /** Incremented whenever {@link #roles} has news of another role, not only of a later time. */
    public long rolesVersion() {
        return rolesVersion;
    }

    /** What is known of the stores' roles, which a second process of this pooler must know too. */
    public List<RoleObserved> roles() {
        List<RoleObserved> roles = new ArrayList<>();
        for (Store store : stores.values()) {
            switch (store.roleState()) {
                case REPLICA -> roles.add(new RoleObserved(store.id, Role.REPLICA, store.roleStateAsOf()));
                case UNCERTAIN -> roles.add(new RoleObserved(store.id, Role.UNKNOWN, store.roleStateAsOf()));
                case PRIMARY -> roles.add(new RoleObserved(store.id, Role.PRIMARY, store.roleStateAsOf()));
                default -> { }
            }
        }
        return roles;
    }

    private void onRoleObserved(RoleObserved e) {
        Store store = stores.get(e.store());
        if (store == null) {
            if (earlyRoles.size() < MAX_EARLY_ROLES) {
                earlyRoles.put(e.store(), e);
            }
            return;
        }
        touchedGroups.add(store.group);
        switch (e.role()) {
            case PRIMARY -> {
                markRoleCertain(store, store.evidence.hasBeenPrimary() ? e.atNs() : now);
                markLeader(store, e.atNs());
            }
            case REPLICA -> markNotLeader(store, e.atNs());
            default -> {
                if (e.atNs() > store.evidence.primaryAsOf()) {
                    store.evidence.becomeUncertain(e.atNs());
                }
                noteRole(store);
            }
        }
    }

    /** From now on a primary that only the list names has to answer a probe first, where probes tell roles. */
    private void onTakeoverStarted() {
        provesLeaders = settings.primaryField() >= 0 && settings.limits().probes();
        groups.values().stream().map(group -> group.leader).filter(Objects::nonNull).forEach(this::requireRoleProof);
    }

    private void requireRoleProof(Store store) {
        if (provesLeaders && store.isUnprovenLeader()) {
            markRoleUncertain(store);
        }
    }

    private void markRoleUncertain(Store store) {
        store.evidence.becomeUncertain(now);
        noteRole(store);
    }

    /** The store has stated its role at this time, which ends an uncertainty that began before. */
    private void markRoleCertain(Store store, long atNs) {
        store.evidence.statedRole(atNs);
        noteRole(store);
    }

    /** Counts and reports that something else is known of a store's role than when it was last noted. */
    private void noteRole(Store store) {
        RoleState previous = store.notedRole;
        RoleState current = store.roleState();
        if (current == previous) {
            return;
        }
        store.notedRole = current;
        rolesVersion++;
        if (previous != RoleState.UNKNOWN || current != RoleState.REPLICA) {
            sink.accept(new RoleChanged(store.id, previous, current, store.roleStateAsOf(), evidenceSource,
                    evidenceRequest));
        }
    }

    private void onLastWrite(LastWrite e) {
        Group group = groups.computeIfAbsent(e.group(), g -> new Group());
        if (e.session() == 0) {
            group.floor = Math.max(group.floor, e.positionNs());
        } else {
            Session session = getOrCreateSession(group, e.session());
            session.token = Math.max(session.token, e.positionNs());
        }
    }

    // ---- Sends and final answers ----

    /** The only place that starts attempts: checks the rules first. Returns false if the request cannot be sent. */
    private boolean send(OpenRequest request, Store store) {
        boolean mayRunNow = request.inFlight == 0 || request.limits.duplicates() && request.isIdempotent();
        if (request.done || !canRetry(request) || !mayRunNow || !isAllowed(request, store)
                || !hasColdBudget(store, request)) {
            return false;
        }
        store.coldBudgetUsed += request.latency.baseNs;
        Session session = request.advancesToken ? getOrCreateSession(request.group, request.session) : new Session();
        session.writesInFlightSince = session.writesInFlight++ == 0 ? now : session.writesInFlightSince;
        Attempt attempt = new Attempt(store, now, requiredPosition(request), store.inFlight + 1,
                request.latency.baseNs, session);
        request.attempts.add(attempt);
        request.inFlight++;
        store.inFlight++;
        store.inFlightWork += attempt.work;
        store.unansweredSince = store.unansweredSince == 0 ? now : store.unansweredSince;
        store.nextTrialAt = store.unhealthy ? now + store.backoffNs : store.nextTrialAt;
        dequeue(request);
        scheduleSweep(Math.min(request.giveUpAt, now + minSilenceNs));
        sink.accept(new Transmit(request.id, store.id, Math.max(1, attemptTimeout(request, store))));
        return true;
    }

    /** Whether the list and the age of the store's data permit sending a request to it now. */
    private Permission permission(OpenRequest request, Store store) {
        boolean freshEnough = proof(request, store).kind() != ReadProof.Kind.NONE;
        boolean inScope = request.firstMayHaveRun == null || request.requestClass.effect() != Effect.DEDUPLICATED
                || request.requestClass.scope() != Scope.ZONE || store.zone == request.firstMayHaveRun.store.zone;
        if (store.group != request.group || store.availability == Availability.GONE) {
            return Permission.SERVER_GONE;
        }
        if (!store.isReady()) {
            return Permission.SERVER_DRAINING;
        }
        return !freshEnough ? Permission.DATA_TOO_OLD : inScope ? Permission.ALLOWED : Permission.OUT_OF_SCOPE;
    }

    /** What proves that the data of a store are new enough for a request now. */
    private ReadProof proof(OpenRequest request, Store store) {
        long required = requiredPosition(request);
        if (storesCheckPosition || required == 0) {
            return new ReadProof(ReadProof.Kind.NOT_NEEDED, required, 0);
        }
        StoreEvidence evidence = store.evidence;
        if (evidence.appliedPosition() >= required) {
            return new ReadProof(ReadProof.Kind.POSITION, required, evidence.appliedPosition());
        }
        // what must be seen was written before the request arrived, and before the time that its bound allows
        RequestClass requestClass = request.requestClass;
        boolean isBounded = requestClass.consistency() == Consistency.BOUNDED;
        if (evidence.isCurrentAsOf(isBounded ? now - requestClass.boundNs() : request.arrivedAt)) {
            return new ReadProof(ReadProof.Kind.CURRENT, required, evidence.currentAsOf());
        }
        boolean isLeader = store == request.group.leader;
        if (isLeader && evidence.isCurrentAsOf(now - ANSWER_KNOWN_NS)) {
            return new ReadProof(ReadProof.Kind.LEASE, required, evidence.currentAsOf());
        }
        boolean byRole = isLeader && !evidence.isUncertain() && isRoleSufficient(store, required);
        return new ReadProof(byRole ? ReadProof.Kind.ROLE : ReadProof.Kind.NONE, required, evidence.primaryAsOf());
    }

    /** Whether a read may rely on the belief that a store is the primary, since no probe can prove the position. */
    private boolean isRoleSufficient(Store store, long required) {
        boolean probesProvePositions = settings.limits().probes() && settings.positionField() >= 0
                && settings.primaryField() >= 0 && reportAgeNs > 0;
        if (!probesProvePositions) {
            return true;
        }
        boolean tooRecentForReports = required > now - (long) (REPORT_AGES * reportAgeNs);
        long oldestRole = now - Math.max(MIN_ROLE_AGE_NS, (long) (ROLE_REPORT_AGES * reportAgeNs));
        return !store.evidence.statesRoleToProbes() && tooRecentForReports
                && store.evidence.primaryAsOf() >= oldestRole;
    }

    /** What proves that the data of an attempt's store are new enough, as of the last {@link #sendPermission}. */
    public ReadProof readProof(long id, int attempt) {
        OpenRequest request = openRequests.get(id);
        return proof(request, request.attempts.get(attempt).store);
    }

    private boolean isAllowed(OpenRequest request, Store store) {
        return permission(request, store) == Permission.ALLOWED;
    }

    /** Checks an attempt again right before it is written: its connection may have taken long to establish. */
    public Permission sendPermission(long now, long id, int attempt) {
        this.now = now;
        OpenRequest request = openRequests.get(id);
        if (request == null || request.done) {
            return Permission.REQUEST_OVER;
        }
        return mayRunAgain(request) ? permission(request, request.attempts.get(attempt).store)
                : Permission.NOT_REPEATABLE;
    }

    private long attemptTimeout(OpenRequest request, Store store) {
        long remainingNs = request.deadline - now;
        boolean waitsToDeadline = !request.isIdempotent() || request.attempts.size() >= request.limits.maxAttempts();
        double timeoutNs = Math.max(ATTEMPT_TIMEOUT_FACTOR * expectedLatency(store, request),
                ATTEMPT_TIMEOUT_SHARE * (request.giveUpAt - now));
        return waitsToDeadline ? remainingNs : Math.min(remainingNs, (long) timeoutNs);
    }

    /** The only place that gives final answers: a refusal if a retry is safe, else an error. */
    private void finish(OpenRequest request, EndReason reason) {
        if (request.done) {
            return;
        }
        boolean withheld = reason == EndReason.CLIENT_UNCERTAIN; // the attempt in flight
        boolean inFlightMayRun = request.inFlight > 0 && !withheld;
        boolean mayHaveRun = inFlightMayRun || request.firstMayHaveRun != null;
        boolean refusable = request.isIdempotent() || !mayHaveRun
                || request.requestClass.effect() == Effect.DEDUPLICATED && request.requestClass.scope() == Scope.ALL;
        sink.accept(refusable
                ? new Decline(request.id, request.limits.retryAfter() ? request.limits.maxRetryAfterNs() : 0, reason)
                : new RespondError(request.id, reason));
        close(request);
    }

    private void close(OpenRequest request) {
        request.done = true;
        dequeue(request);
        for (int i = 0; i < request.attempts.size(); i++) {
            retract(request, i);
        }
        if (request.inFlight == 0) {
            openRequests.remove(request.id);
        }
    }

    private void retract(OpenRequest request, int attempt) {
        if (!request.ended.get(attempt) && !request.retracted.get(attempt) && request.limits.cancel()) {
            request.retracted.set(attempt);
            sink.accept(new Retract(request.id, attempt));
        }
    }

    // ---- Pending requests and time-outs ----

    private void enqueue(OpenRequest request) {
        if (!request.pending && !request.done) {
            request.pending = true;
            request.group.pending.add(request);
            scheduleSweep(nextRecheckAt(request));
        }
    }

    private long nextRecheckAt(OpenRequest request) {
        long latest = request.reachedStore || now >= request.pendingUntil ? request.giveUpAt : request.pendingUntil;
        return Math.min(latest, now + (now - request.arrivedAt) / RECHECK_DIVISOR);
    }

    private void dequeue(OpenRequest request) {
        request.pending = false;
        request.group.pending.remove(request);
    }

    /** Expected work per unit of worth; pending requests are dispatched in ascending order of it. */
    private double workPerWorth(OpenRequest request) {
        double worthShare = now < request.arrivedAt + request.requestClass.onTimeNs() ? 1
                : request.requestClass.lateWorth();
        return request.latency.baseNs / (request.requestClass.worth() * worthShare);
    }

    private void dispatchPending(Group group) {
        List<OpenRequest> ordered = new ArrayList<>(group.pending);
        ordered.sort(Comparator.comparingDouble(this::workPerWorth));
        for (OpenRequest request : ordered) {
            if (!request.done && request.pending && request.inFlight == 0) {
                dispatch(request);
            }
        }
    }

    /** Checks all open requests and schedules the next sweep; its cost is proportional to their number. */
    private void sweep() {
        List<OpenRequest> requests = new ArrayList<>(openRequests.values());
        for (OpenRequest request : requests) {
            for (int i = request.ended.nextClearBit(0); i < request.attempts.size();
                    i = request.ended.nextClearBit(i + 1)) {
                detectSilence(request.attempts.get(i).store);
            }
        }
        for (OpenRequest request : requests) {
            boolean hopeless = request.pending && request.inFlight == 0
                    && (now + request.latency.baseNs / 2 > request.giveUpAt || !canRetry(request)
                    // the next sweep would be too late
                    || !request.reachedStore && now + minTimerNs >= request.pendingUntil);
            if (now >= request.giveUpAt || hopeless) {
                finish(request, now >= request.giveUpAt ? EndReason.TIME_OVER
                        : canRetry(request) ? EndReason.NO_SERVER : EndReason.NOT_REPEATABLE);
            } else if (!request.done) {
                retractFromSilentStores(request);
                if (request.pending) {
                    touchedGroups.add(request.group);
                    probeGroup(request.group);
                    scheduleSweep(nextRecheckAt(request));
                } else {
                    scheduleSweep(Math.min(request.giveUpAt, now + minSilenceNs / RECHECK_DIVISOR));
                }
            }
        }
    }

    private boolean canRetry(OpenRequest request) {
        return mayRunAgain(request) && request.attempts.size() < request.limits.maxAttempts();
    }

    /** Whether the request may be executed again after the attempts that may have run. */
    private boolean mayRunAgain(OpenRequest request) {
        return request.firstMayHaveRun == null || switch (request.requestClass.effect()) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED -> now < request.firstMayHaveRun.sentAt + repeatableNs(request.requestClass);
            case AT_MOST_ONCE -> false;
        };
    }

    /** How long after the first attempt a repeat may be sent: the stores drop it for the whole window. */
    private static long repeatableNs(RequestClass requestClass) {
        long windowNs = requestClass.windowNs();
        return windowNs - Math.min(DEDUP_MARGIN_NS, windowNs / DEDUP_MARGIN_DIVISOR);
    }

    /** Retracts repeatable attempts from stores that have gone silent; attempts sent since then are trials. */
    private void retractFromSilentStores(OpenRequest request) {
        boolean mayMove = request.requestClass.effect() != Effect.AT_MOST_ONCE && !inPanic(request.group);
        for (int i = 0; i < request.attempts.size(); i++) {
            Attempt attempt = request.attempts.get(i);
            if (mayMove && !request.ended.get(i) && attempt.store.silent
                    && attempt.sentAt <= attempt.store.unhealthySince) {
                request.avoidStore = attempt.store;
                retract(request, i);
            }
        }
    }

    // ---- Outcomes ----

    private void onAnswered(Answered e) {
        OpenRequest request = openRequests.get(e.id());
        if (request == null || e.attempt() >= request.attempts.size() || request.ended.get(e.attempt())) {
            return;
        }
        Attempt attempt = request.attempts.get(e.attempt());
        request.ended.set(e.attempt());
        request.inFlight--;
        attempt.store.inFlight--;
        attempt.store.inFlightWork -= attempt.work;
        request.firstMayHaveRun = request.firstMayHaveRun == null && !e.outcome().neverRan ? attempt
                : request.firstMayHaveRun;
        request.reachedStore |= e.outcome() != Outcome.CONNECT_FAILED && e.outcome() != Outcome.MOOT;
        touchedGroups.add(request.group);
        applyReport(attempt.store, e.report(), e.role());
        updatePositionAndRole(request, attempt, e);
        updateHealth(request, attempt, e);
        if (e.isFinal() || request.done) {
            close(request);
        } else {
            retryOrFinish(request, attempt, e.outcome());
        }
    }

    private void retryOrFinish(OpenRequest request, Attempt attempt, Outcome outcome) {
        request.misses += outcome == Outcome.MISS ? 1 : 0;
        request.avoidStore = attempt.store;
        if (request.inFlight == 0 && (now >= request.giveUpAt || !canRetry(request) || request.requestAtFault)) {
            finish(request, now >= request.giveUpAt ? EndReason.TIME_OVER
                    : canRetry(request) ? EndReason.SERVERS_FAILED : EndReason.NOT_REPEATABLE);
        } else if (request.inFlight == 0) {
            dispatch(request);
        }
    }

    /** Applies what an answer proves about positions and about the store's role. */
    private void updatePositionAndRole(OpenRequest request, Attempt attempt, Answered e) {
        Store store = attempt.store;
        applyStatus(store, e.role(), e.positionNs(), attempt.sentAt, now);
        if (e.role() == Role.UNKNOWN && e.outcome() == Outcome.RESET && storesStateRoles()) {
            markRoleUncertain(store);
        }
        attempt.session.writesInFlight--;
        if (request.advancesToken && !e.outcome().neverRan) {
            Session session = getOrCreateSession(request.group, request.session);
            boolean positionReported = e.outcome() == Outcome.OK && e.positionNs() > 0;
            // without an answer, the write may have committed and been acknowledged at any time until now
            session.token = Math.max(session.token, positionReported ? e.positionNs() : now + MS);
        }
        if (request.requestClass.consistency() == Consistency.WRITE || !storesCheckPosition) {
            return;
        }
        if (e.outcome() == Outcome.OK && e.role() == Role.REPLICA) {
            store.evidence.reached(attempt.requiredPosition);
            store.lag = Math.min(store.lag, Math.max(0, attempt.sentAt - attempt.requiredPosition));
        } else if (e.outcome() == Outcome.MISS && attempt.requiredPosition > 0) {
            setLag(store, Math.max(store.lag, now - attempt.requiredPosition + MIN_TRIAL_DELAY_NS));
            postponeTrial(store);
        }
    }

    /** Applies what a store stated of itself at one time, in answer to a request that was sent at another. */
    private void applyStatus(Store store, Role role, long positionNs, long sentAt, long statedAt) {
        if (role == Role.PRIMARY) {
            markLeader(store, sentAt); // the send time: a delayed answer must not override a newer denial
            store.evidence.wasCurrent(sentAt);
        } else if (role == Role.REPLICA) {
            markNotLeader(store, statedAt);
        }
        if (role != Role.UNKNOWN) {
            rolesReported = true;
            markRoleCertain(store, role == Role.PRIMARY ? sentAt : statedAt);
        }
        clockLag.observe(store.id, positionNs - now - MS);
        if (positionNs > 0 && positionNs <= now + MS) { // reported positions are rounded up
            store.evidence.reached(positionNs);
            if (role == Role.REPLICA && statedAt == now) {
                setLag(store, Math.max(0, now - positionNs));
            }
        }
    }

    /** Whether an answer that is lost may have stated another role, which counts as received. */
    private boolean storesStateRoles() {
        return rolesReported || settings.primaryField() >= 0;
    }

    /** Applies what a store stated behind a long answer. If its client reads slowly, that may be old by now. */
    private void onLateStatus(Store store, LateStatus e) {
        touchedGroups.add(store.group);
        boolean isRecent = e.begunAgoNs() <= ANSWER_KNOWN_NS;
        if (isRecent) {
            applyReport(store, e.report(), e.role());
        }
        applyStatus(store, e.role(), e.positionNs(), now - e.sentAgoNs(), isRecent ? now : now - e.begunAgoNs());
    }

    private void onStatusOverdue(Store store) {
        if (store.group.leader == store && storesStateRoles()) {
            markRoleUncertain(store);
        }
    }

    private void setLag(Store store, long lag) {
        store.lag = lag;
        store.lagEstimatedAt = now;
    }

    private void postponeTrial(Store store) {
        store.nextTrialAt = now + Math.max(MIN_TRIAL_DELAY_NS, store.lag / 4);
    }

    private void markLeader(Store store, long atNs) {
        Group group = store.group;
        if (atNs >= group.leaderConfirmedAt && atNs > store.evidence.replicaAsOf()) {
            Store previous = group.leader;
            store.evidence.wasPrimary(atNs);
            group.leader = store;
            group.leaderConfirmedAt = atNs;
            noteRole(store);
            if (previous != null) {
                noteRole(previous);
            }
        }
    }

    private void markNotLeader(Store store, long atNs) {
        store.evidence.wasReplica(atNs);
        if (store.group.leader == store && atNs >= store.group.leaderConfirmedAt) {
            store.group.leader = null;
            store.group.leaderConfirmedAt = atNs;
        }
        noteRole(store);
    }

    private void updateHealth(OpenRequest request, Attempt attempt, Answered e) {
        Store store = attempt.store;
        store.errorRate += EWMA_ALPHA * ((e.outcome() == Outcome.ERROR ? 1 : 0) - store.errorRate);
        switch (e.outcome()) {
            case OK -> {
                markHealthy(store);
                if (attempt.sentAt > stalledAt) {
                    updateLatency(store, request, e.latencyNs(), attempt.inFlightAtSend);
                }
                store.backoffNs = Math.max(firstBackoffNs, store.backoffNs / 2);
                if (request.failedStore != null && request.failedStore != store) {
                    markUnhealthy(request.failedStore); // it failed a request that another store served
                }
            }
            case MISS, FULL -> markHealthy(store);
            case ERROR -> {
                // errors from two stores are the request's fault: invalid requests must not eject stores
                store.unansweredSince = now;
                request.requestAtFault = request.failedStore != null;
                request.failedStore = store;
            }
            case TIMEOUT -> {
                if (attempt.sentAt > stalledAt) {
                    store.latencyRatio += EWMA_ALPHA
                            * Math.max(0, e.latencyNs() / request.latency.baseNs - store.latencyRatio);
                }
                if (store.answeredAt < attempt.sentAt && attempt.sentAt > stalledAt) {
                    markUnhealthy(store);
                }
            }
            case CONNECT_FAILED -> {
                markUnhealthy(store);
                store.unreachable = true;
                store.processDown |= store.consecutiveResets > 0;
            }
            case RESET -> onConnectionReset(store);
            default -> { }
        }
        store.unansweredSince = store.inFlight == 0 && !store.silent ? 0 : store.unansweredSince;
    }

    private void markHealthy(Store store) {
        store.coldSince = store.unhealthy && store.processDown && now - store.unhealthySince > MIN_RESTART_NS ? now
                : store.coldSince;
        store.unhealthy = store.silent = store.processDown = store.unreachable = false;
        store.verified = true;
        store.answeredAt = store.unansweredSince = now;
        store.consecutiveResets = 0;
    }

    /** A connection broke: a corrupt answer, an idle close or the end of the process. Only several without an answer
     * in between make a store unhealthy, and cold only if that lasts. Costs some attempts at a store that is down. */
    private void onConnectionReset(Store store) {
        store.consecutiveResets++;
        if (store.consecutiveResets >= MAX_CONSECUTIVE_RESETS || store.unhealthy) {
            markUnhealthy(store);
        }
    }

    /** The only place that ejects a store: for silence, lost answers, refused connects, resets, failed probes, or
     * errors that other stores did not make. An unhealthy store backs off, must answer a probe, then gets one trial. */
    private void markUnhealthy(Store store) {
        if (!store.unhealthy) {
            store.unhealthy = true;
            store.unhealthySince = now;
        } else if (store.nextTrialAt > now) {
            return;
        }
        store.nextTrialAt = now + store.backoffNs;
        store.backoffNs = store == store.group.leader ? firstBackoffNs : Math.min(MAX_BACKOFF_NS, 2 * store.backoffNs);
    }

    /** Learns the latency of a class without load, and how much longer this store takes now. */
    private void updateLatency(Store store, OpenRequest request, long latency, int inFlightAtSend) {
        LatencyEstimate estimate = request.latency;
        store.latencyRatio += EWMA_ALPHA * (latency / estimate.baseNs - store.latencyRatio);
        store.usualInFlight += EWMA_ALPHA * (inFlightAtSend - store.usualInFlight);
        // samples are selected by the load at the send, not by the outcome: fast answers alone would bias the estimate
        if (inFlightAtSend <= UNLOADED_CONCURRENCY && store.reportedQueue < 1) {
            estimate.baseNs += Math.max(EWMA_ALPHA / 10, 1.0 / (INITIAL_ESTIMATE_WEIGHT + ++estimate.samples))
                    * (latency - estimate.baseNs);
            estimate.baseNs = Math.min(estimate.baseNs, MAX_BASE_SHARE * request.requestClass.onTimeNs());
        }
        averageConcurrency = averageConcurrency * Math.exp(-(now - concurrencyAt) / CONCURRENCY_AVERAGE_NS)
                + estimate.baseNs / CONCURRENCY_AVERAGE_NS;
        peakConcurrency = Math.max(peakConcurrency * Math.exp(-(now - concurrencyAt) / CONCURRENCY_PEAK_NS),
                averageConcurrency / Math.max(1, readyStores));
        concurrencyAt = now;
    }

    /** The reported queue, discounted by the age of the report. */
    private double currentQueue(Store store) {
        return store.reportedQueue == 0 ? 0
                : store.reportedQueue * Math.exp(-(now - store.reportedAt) / (double) queueDecayNs);
    }

    private double expectedLatency(Store store, OpenRequest request) {
        return request.latency.baseNs * Math.max(1,
                store.latencyRatio * (store.inFlight + 1) / Math.max(UNLOADED_CONCURRENCY, store.usualInFlight));
    }

    /** Whether a store can be expected to answer in time. Prevents queues that make all requests late, caused by
     * overload, slow machines or other poolers; refuses too much where latencies scatter widely. */
    private boolean canServeInTime(Store store, OpenRequest request) {
        return isExpectedInTime(store, request) && hasColdBudget(store, request);
    }

    private boolean isExpectedInTime(Store store, OpenRequest request) {
        if (!store.isReady() || !store.verified) {
            return false;
        }
        // a store that cannot be reached is not usable even in panic
        if (store.unhealthy && (store.unreachable || !inPanic(request.group))) {
            return store.inFlight == 0 && store.nextTrialAt <= now
                    && (store.probeOkAt >= store.unhealthySince || !settings.limits().probes());
        }
        long targetAt = request.arrivedAt + request.requestClass.onTimeNs();
        // a late request only uses spare capacity: it must not build a queue that makes others late too
        long remainingNs = Math.min(now < targetAt ? targetAt - now : request.requestClass.onTimeNs(),
                request.giveUpAt - now);
        boolean lightlyLoaded = store.inFlight == 0
                || currentQueue(store) < 1 && store.inFlight < 2 * UNLOADED_CONCURRENCY;
        double queueWait = currentQueue(store) * request.latency.baseNs / ASSUMED_CORES;
        return lightlyLoaded ? queueWait + request.latency.baseNs <= remainingNs
                : queueWait + expectedLatency(store, request) <= MAX_EXPECTED_SHARE * remainingNs;
    }

    /** Whether most of a group looks unhealthy: the load or this pooler is the cause, and ejecting would add to it. */
    private boolean inPanic(Group group) {
        return group.members.stream().filter(Store::countsAsMember).mapToInt(store -> store.unhealthy ? 1 : -1)
                .sum() > 0;
    }

    // ---- Slow start of cold stores ----

    /** Share of its full capacity that a store has at least; 1 once it is warm. */
    private double capacityShare(Store store) {
        long age = now - store.coldSince;
        if (store.coldSince == 0 || age >= settings.rules().rampNs()) {
            return 1;
        }
        double coldShare = settings.rules().coldShare();
        return coldShare + (1 - coldShare) * Math.max(0, age) / settings.rules().rampNs();
    }

    /** Whether a store that may be cold can take this request now; always true of a warm one. */
    private boolean hasColdBudget(Store store, OpenRequest request) {
        boolean reserved = isReservedForAnother(store, request);
        boolean fits = !reserved && fitsColdBudget(store, request.latency.baseNs);
        if (!reserved && !fits) {
            reserveColdBudget(store, request);
        }
        return fits;
    }

    /** Whether a store that may be cold can take this much more work now. Any amount fits an unused budget. */
    private boolean fitsColdBudget(Store store, double work) {
        double share = capacityShare(store);
        if (share >= 1) {
            return true;
        }
        double rate = settings.rules().overloadFactor() * share * usualConcurrency();
        // a cold period starts at a random level below one request's work: a hundred poolers must not all send at once
        double remainingUse = store.coldBudgetUsed - COLD_STEADY_SHARE * rate * (now - store.coldBudgetAt);
        store.coldBudgetUsed = store.coldBudgetAt < store.coldSince ? random.nextDouble() * work
                : Math.max(0, remainingUse);
        store.coldBudgetAt = now;
        return store.coldBudgetUsed == 0
                || store.coldBudgetUsed + work <= COLD_BURST_SHARE * rate * settings.rules().fallNs();
    }

    /** Whether the budget is saved up for a request that goes first. Long requests fit only an empty budget, which
     * short ones would never leave. */
    private boolean isReservedForAnother(Store store, OpenRequest request) {
        OpenRequest holder = store.coldReservation;
        return holder != request && capacityShare(store) < 1 && holdsReservation(holder, store)
                && goesFirst(holder, request);
    }

    /** Whether a request that has waited long goes before another one: by the worth of its class, then by age. */
    private static boolean goesFirst(OpenRequest request, OpenRequest other) {
        double worth = request.requestClass.worth(), otherWorth = other.requestClass.worth();
        return worth > otherWorth || worth == otherWorth && request.arrivedAt <= other.arrivedAt;
    }

    private boolean holdsReservation(OpenRequest request, Store store) {
        return request != null && store != null && store.coldReservation == request && request.pending
                && isAllowed(request, store) && isExpectedInTime(store, request);
    }

    /** Saves up the budget of one cold store for a request that has waited long. */
    private void reserveColdBudget(Store store, OpenRequest request) {
        boolean waitedLong = now - request.arrivedAt >= COLD_RESERVATION_SHARE * request.requestClass.onTimeNs();
        if (waitedLong && !holdsReservation(request, request.reservedStore)) {
            store.coldReservation = request;
            request.reservedStore = store;
        }
    }

    /** Concurrency that this pooler sends to a busy store, by its recent peak: work withheld from cold stores must
     * not lower what they may take next. At least its share of most of the cores of a store. */
    private double usualConcurrency() {
        return Math.max(peakConcurrency * Math.exp(-(now - concurrencyAt) / CONCURRENCY_PEAK_NS),
                0.6 * ASSUMED_CORES / settings.balancers());
    }

    // ---- Probes, timers and the list ----

    /**
     * Detects hung, crashed or partitioned stores: requests in flight, no answer. A single long read may look the
     * same.
     */
    private void detectSilence(Store store) {
        if (store.inFlight > 0 && !store.silent && store.unansweredSince > 0) {
            double gap = store.inFlightWork / store.inFlight * Math.max(1, store.latencyRatio)
                    / Math.max(1, Math.min(store.inFlight, store.usualInFlight));
            long since = Math.max(stalledAt, store.unansweredSince);
            if (now - since > Math.max(minSilenceNs, SILENCE_ANSWER_GAPS * gap)) {
                markUnhealthy(store);
                store.silent = true;
                store.unhealthySince = now;
            }
        }
    }

    /** Probes on behalf of a request: uncertain stores in turn, all of them if the group has no leader, and the store
     * that was checked the longest time ago. */
    private void probeGroup(Group group) {
        boolean leaderUnavailable = group.leader == null || group.leader.unhealthy || !group.leader.isReady();
        Store leastRecentlyChecked = null;
        Store uncertain = null;
        for (Store store : group.members) {
            if ((leaderUnavailable || store.unhealthy || !store.verified || store.evidence.isUncertain())
                    && store.nextTrialAt <= now) {
                uncertain = uncertain == null || store.probedAt < uncertain.probedAt ? store : uncertain;
            } else if (store.isReady() && !store.probing && (leastRecentlyChecked == null
                    || store.lastCheckedAt() < leastRecentlyChecked.lastCheckedAt())) {
                leastRecentlyChecked = store;
            }
        }
        if (uncertain != null) {
            probeStore(uncertain, !uncertain.verified || uncertain.isUnprovenLeader());
        }
        if (leastRecentlyChecked != null && now - leastRecentlyChecked.lastCheckedAt() >= 2 * MIN_PROBE_INTERVAL_NS
                && probeBudget > PROBE_BURST / 2) {
            probeStore(leastRecentlyChecked, false);
        }
    }

    /** Probes a store if a probe is due and within budget or urgent. Returns whether one is in flight or was recent. */
    private boolean probeStore(Store store, boolean urgent) {
        boolean due = store.isReady() && !store.probing && now - store.probedAt >= MIN_PROBE_INTERVAL_NS;
        if (due && settings.limits().probes() && (urgent || probeBudget >= 1)) {
            probeBudget = Math.max(0, probeBudget - 1);
            startProbe(store);
        }
        return store.probing || now - store.probedAt <= MIN_PROBE_INTERVAL_NS;
    }

    /** Probes a primary for a read that needs a proof. The budget is left for finding replicas and primaries. */
    private void probeForProof(Store store) {
        boolean due = !store.probing && now - store.probedAt >= MIN_PROBE_INTERVAL_NS;
        if (due && settings.limits().probes()) {
            startProbe(store);
        }
    }

    private void startProbe(Store store) {
        store.probing = true;
        store.probedAt = now;
        sink.accept(new Inspect(store.id));
    }

    private void onChecked(Checked e) {
        Store store = stores.get(e.store());
        if (store == null) {
            return;
        }
        store.probing = false;
        touchedGroups.add(store.group);
        if (e.role() != Role.UNKNOWN) {
            store.evidence.answeredProbeWithRole();
        }
        if (e.outcome() == Outcome.OK) {
            store.verified = true;
            store.unreachable = false;
            store.probeOkAt = now;
            applyReport(store, e.report(), e.role());
        } else if (e.outcome() == Outcome.RESET) {
            onConnectionReset(store);
        } else if (e.outcome() != Outcome.FULL && store.answeredAt < store.probedAt && store.probedAt > stalledAt) {
            markUnhealthy(store);
            store.processDown |= e.outcome() != Outcome.ERROR;
            store.unreachable |= e.outcome() == Outcome.CONNECT_FAILED;
        }
        applyStatus(store, e.role(), e.positionNs(), now - e.latencyNs(), now);
    }

    /** Applies a load report unless it is incomplete or ahead of time; a role stated beside it is newer and counts. */
    private void applyReport(Store store, float[] report, Role statedRole) {
        int lastField = Math.max(settings.positionField(), settings.primaryField());
        if (settings.positionField() < 0 || report.length <= lastField) {
            return;
        }
        float seconds = Math.nextDown(report[settings.positionField()]);
        long position = settings.zeroNs() + (long) (seconds * 1e9);
        clockLag.observe(store.id, position - now);
        if (position > now) {
            return;
        }
        double fullyUtilized = reportField(report, settings.utilField()) > FULL_UTILIZATION ? 1 : 0;
        double excess = Math.max(fullyUtilized, reportField(report, settings.inflightField()) - ASSUMED_CORES);
        store.reportedQueue = Math.max(excess, reportField(report, settings.queueField()));
        store.reportedAt = now;
        store.evidence.reached(position);
        boolean primary = settings.primaryField() >= 0 && report[settings.primaryField()] == 1f;
        if (primary && statedRole != Role.REPLICA) {
            updateReportAge(now - position);
            markLeader(store, Math.max(position, 1));
            markRoleCertain(store, position);
        } else if (!primary && statedRole != Role.PRIMARY) {
            markNotLeader(store, now - 2 * (long) reportAgeNs);
            // the report may be older or newer than the store's own statement: it must confirm its role
            if (store.group.leader == store) {
                markRoleUncertain(store);
            } else {
                markRoleCertain(store, now);
            }
            if (store.lagEstimatedAt < now - reportAgeNs) {
                setLag(store, Math.max(0, now - position - (long) reportAgeNs));
            }
        }
    }

    /** Learns the usual age of reports. The first one of a store that stood still is as old as its pause. */
    private void updateReportAge(long ageNs) {
        double longestNs = Math.max(MIN_ROLE_AGE_NS, MAX_REPORT_AGE_FACTOR * reportAgeNs);
        reportAgeNs = reportAgeNs == 0 ? ageNs
                : reportAgeNs + EWMA_ALPHA * (Math.min(ageNs, longestNs) - reportAgeNs);
    }

    private static double reportField(float[] report, int index) {
        return index >= 0 && index < report.length ? report[index] : 0;
    }

    private void onListChanged(ListChanged e) {
        if (e.mode() == ListMode.FAILED) {
            sink.accept(new Schedule(LIST_RETRY_NS + random.nextLong(LIST_RETRY_NS), SUBSCRIBE_TIMER));
            return;
        }
        if (e.mode() != ListMode.DELTA) {
            Set<Long> listedStores = new HashSet<>();
            e.lines().forEach(line -> listedStores.add(line.store()));
            stores.values().stream().filter(store -> !listedStores.contains(store.id)).forEach(this::markRemoved);
        }
        boolean first = stores.isEmpty();
        e.lines().forEach(line -> applyListing(line, first));
        readyStores = (int) stores.values().stream().filter(Store::isReady).count();
    }

    private void applyListing(Listing listing, boolean first) {
        Group group = groups.computeIfAbsent(listing.group(), g -> new Group());
        Store store = stores.computeIfAbsent(listing.store(), id -> new Store(id, group, firstBackoffNs));
        store.verified |= first;
        if (listing.availability() == Availability.GONE) {
            markRemoved(store);
            return;
        }
        store.group.members.remove(store);
        store.group = group;
        group.members.add(store);
        store.zone = listing.zone();
        store.availability = listing.availability();
        store.removedFromList = false;
        if (listing.startedAt() > store.startedAt) {
            store.startedAt = listing.startedAt();
            store.coldSince = listing.startedAt();
        }
        boolean newlyNamedWriter = listing.writer() && !store.listedAsWriter && group.leader == null
                && store.evidence.replicaAsOf() == 0;
        store.listedAsWriter = listing.writer();
        group.leader = newlyNamedWriter && settings.showsRole() ? store : group.leader;
        noteRole(store);
        if (newlyNamedWriter) {
            requireRoleProof(store);
        }
        if (!store.isReady() && group.leader == store) {
            markNotLeader(store, now);
        }
        RoleObserved earlyRole = earlyRoles.remove(store.id);
        if (earlyRole != null) {
            onRoleObserved(earlyRole);
        }
    }

    /** The list has removed a store; where that is only advisory, it stays in use but is no member while unhealthy. */
    private void markRemoved(Store store) {
        store.removedFromList = true;
        if (settings.rules().goneIsAdvice()) {
            return;
        }
        store.availability = Availability.GONE;
        store.group.members.remove(store);
        if (store.group.leader == store) {
            markNotLeader(store, now);
        }
    }
}
