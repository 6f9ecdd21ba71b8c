package holdmux.core;

import holdmux.config.Deployment;
import holdmux.config.HostList;
import holdmux.core.Counters.Counter;
import holdmux.core.Upstream.AttemptResult;
import holdmux.decision.EndReason;
import holdmux.decision.Permission;
import holdmux.decision.ReadWriteSplitter;
import holdmux.decision.SplitterApi.AbortRequest;
import holdmux.decision.SplitterApi.Action;
import holdmux.decision.SplitterApi.Answered;
import holdmux.decision.SplitterApi.Arrived;
import holdmux.decision.SplitterApi.Availability;
import holdmux.decision.SplitterApi.Checked;
import holdmux.decision.SplitterApi.ClientLeft;
import holdmux.decision.SplitterApi.CloseIdle;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Decline;
import holdmux.decision.SplitterApi.Event;
import holdmux.decision.SplitterApi.Inspect;
import holdmux.decision.SplitterApi.LastWrite;
import holdmux.decision.SplitterApi.LateStatus;
import holdmux.decision.SplitterApi.ListChanged;
import holdmux.decision.SplitterApi.Listing;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Remark;
import holdmux.decision.SplitterApi.RespondError;
import holdmux.decision.SplitterApi.Retract;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.RoleChanged;
import holdmux.decision.SplitterApi.RoleObserved;
import holdmux.decision.SplitterApi.Schedule;
import holdmux.decision.SplitterApi.SettingsChanged;
import holdmux.decision.SplitterApi.StatusOverdue;
import holdmux.decision.SplitterApi.TakeoverStarted;
import holdmux.decision.SplitterApi.Transmit;
import holdmux.decision.SplitterApi.Wakeup;
import holdmux.statement.Statement;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongFunction;

/**
 * Drives the decision module under one lock: feeds it events as they occur and performs the actions it returns. It is
 * independent of protocols and sockets: a front accepts requests and answers each through a {@link Responder}, an
 * {@link Upstream} runs the attempts.
 */
public final class Balancer {
    /** What a server has written counts as known 100 ms later, whether or not it was read; the rest is for the next send. */
    private static final long STATUS_DUE_NS = 75 * Clock.MS;

    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final ServerRegistry registry;
    private final Executor workers;
    private final ReentrantLock lock = new ReentrantLock();
    private final ReadWriteSplitter splitter;
    private volatile Deployment deployment;
    private final SendGate sendGate;
    private final FreshnessMonitor freshnessMonitor;
    private final IdClaims ids;
    private final Map<Long, Request> openRequests = new HashMap<>();
    private LongFunction<Upstream> upstreams;
    private WriteListener writeListener = write -> { };
    private long lastId;
    /** Whether any answer to a request has stated a role, so that one that is lost may have; written under the lock. */
    private volatile boolean serversStateRoles;
    /** The decision module's version of the servers' roles; written under the lock. */
    private volatile long rolesVersion;

    /** Creates a balancer with these settings; {@code workers} run the probes. */
    public Balancer(Deployment deployment, long seed, Clock clock, Deadlines deadlines,
            Counters counters, ServerRegistry registry, Executor workers) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.registry = registry;
        this.workers = workers;
        this.deployment = deployment;
        splitter = new ReadWriteSplitter(deployment.settings(), seed);
        sendGate = new SendGate(counters, registry);
        freshnessMonitor = new FreshnessMonitor(counters, registry);
        ids = new IdClaims(clock, counters);
    }

    /** Sets the function that gives the upstream of each server; must be called before the first list. */
    public void setUpstreams(LongFunction<Upstream> upstreams) {
        this.upstreams = upstreams;
    }

    /** Applies a server list or a change to one; {@code cached} marks the list of the configuration. */
    public void listChanged(HostList list, boolean cached) {
        lock.lock();
        try {
            long staleBefore = registry.staleEntries();
            ListChanged change = registry.apply(list, cached);
            sendGate.updateAvailability(change, clock.now());
            handleEvent(change);
            counters.count(Counter.LISTS_TAKEN);
            counters.add(Counter.STALE_ENTRIES, registry.staleEntries() - staleBefore);
            change.lines().forEach(this::countDrainOrRemoval);
        } finally {
            lock.unlock();
        }
    }

    /** Holds back all sends to servers until {@link #listConfirmed} is called. */
    public void requireListConfirmation() {
        requireListConfirmation(true);
    }

    /** Ends what {@link #requireListConfirmation()} began: discovery has confirmed the server list. */
    public void listConfirmed() {
        requireListConfirmation(false);
    }

    private void requireListConfirmation(boolean required) {
        lock.lock();
        try {
            sendGate.requireListConfirmation(required);
        } finally {
            lock.unlock();
        }
    }

    private void countDrainOrRemoval(Listing line) {
        if (line.availability() == Availability.DRAINING) {
            counters.count(Counter.DRAINS_TOLD);
        } else if (line.availability() == Availability.GONE) {
            counters.count(Counter.REMOVALS_TOLD);
        }
    }

    /** Sets the listener that is notified of each write before its client sees the answer. */
    public void setWriteListener(WriteListener listener) {
        writeListener = listener;
    }

    /** Returns the last writes of all sessions, which a second process of this pooler must know. */
    public List<LastWrite> writes() {
        lock.lock();
        try {
            return splitter.lastWrites();
        } finally {
            lock.unlock();
        }
    }

    /** Returns what is known of the servers' roles, which a second process of this pooler must know. */
    public RoleKnowledge roles() {
        return new RoleKnowledge() {
            @Override
            public long version() {
                return rolesVersion;
            }

            @Override
            public List<RoleObserved> known() {
                lock.lock();
                try {
                    return splitter.roles();
                } finally {
                    lock.unlock();
                }
            }

            @Override
            public void learn(RoleObserved role) {
                submitEvent(role);
            }
        };
    }

    /** Notes that this process takes over from another one, so that what only the list says of roles has to be proved. */
    public void takeoverStarted() {
        submitEvent(new TakeoverStarted());
    }

    /** Notes that the writes made through another process up to now are not known: session reads must see them all the same. */
    public void writesUnknown() {
        lock.lock();
        try {
            long now = clock.now();
            splitter.lastWrites().stream().filter(write -> write.session() == 0)
                    .forEach(floor -> handleEvent(new LastWrite(floor.group(), 0, now)));
        } finally {
            lock.unlock();
        }
    }

    /** Takes over a write that another process of this pooler answered. */
    public void applyWrite(LastWrite write) {
        submitEvent(write);
    }

    /** Returns the deployment that applies to new requests. */
    public Deployment deployment() {
        return deployment;
    }

    /** Replaces the deployment for new requests; open requests keep the settings they arrived under. */
    public void reconfigure(Deployment next) {
        lock.lock();
        try {
            List<Integer> previousIndices = next.classes().stream().map(deployment.classes()::indexOf).toList();
            handleEvent(new SettingsChanged(next.settings(), previousIndices));
            deployment = next;
        } finally {
            lock.unlock();
        }
    }

    /** Replaces the set of excluded servers: server names with the Unix time in milliseconds of the exclusion. */
    public void setExcluded(Map<String, Long> servers) {
        lock.lock();
        try {
            ListChanged change = registry.setExcluded(servers, clock.now() / Clock.MS);
            sendGate.updateAvailability(change, clock.now());
            handleEvent(change);
            change.lines().stream().filter(line -> line.availability() == Availability.DRAINING)
                    .forEach(line -> closeIdle(line.store()));
        } finally {
            lock.unlock();
        }
    }

    /** Returns the claims on request ids, which all fronts share. */
    public IdClaims ids() {
        return ids;
    }

    /**
     * Registers a request that was received completely; {@link #execute} must follow, which ends its claim.
     *
     * @param claim  the claim on the id that its client gave it; null if it has none
     * @param client tells whether its client may have left unnoticed
     */
    public Request openRequest(Request.Spec spec, IdClaims.Claim claim, ClientWatch client) {
        lock.lock();
        try {
            counters.count(Counter.REQUESTS_TAKEN);
            Request request = new Request(++lastId, spec, claim, client);
            openRequests.put(request.id, request);
            return request;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Runs one request from its arrival to its only final answer. The attempts that the decision module asks for run one
     * at a time, never two at once, and the module is notified of each outcome before the client sees an answer.
     */
    public void execute(Request request, Statement statement, Responder responder) {
        boolean answerStarted = false;
        try {
            submit(request);
            while (true) {
                Request.Step step = request.next();
                if (step instanceof Request.Send send) {
                    Attempt attempt = send.attempt();
                    Deadlines.Deadline timeOut = deadlines.at(attempt.startedAt + attempt.timeoutNs,
                            () -> attempt.abort(Outcome.TIMEOUT));
                    AttemptResult attemptResult = runAttempt(attempt, statement, responder);
                    deadlines.cancel(timeOut);
                    attemptEnded(request, attempt, attemptResult.reply());
                    reportWrite(request.spec, attemptResult.reply());
                    if (attemptResult.reply().outcome() == Outcome.OK) {
                        answerStarted = true;
                        deliver(attempt, attemptResult.queryResult(), responder);
                        return;
                    }
                } else if (step instanceof Request.End end && end.answer() instanceof Decline decline) {
                    answerStarted = true;
                    counters.count(Counter.REFUSED);
                    responder.refuse(decline.waitNs());
                    return;
                } else if (step instanceof Request.End) {
                    answerStarted = true;
                    counters.count(Counter.FAILED);
                    responder.fail();
                    return;
                } else {
                    counters.count(Counter.CLIENTS_LEFT);
                    return;
                }
            }
        } catch (IOException e) {
            counters.count(Counter.ANSWERS_UNDELIVERED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            failOnInternalError(request, responder, answerStarted);
        } catch (RuntimeException | Error e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("request " + request.id + " failed with an internal error", e);
            failOnInternalError(request, responder, answerStarted);
        } finally {
            closeRequest(request);
        }
    }

    /** Ends a request after an internal error; the client is answered unless an answer has begun or the client has left. */
    private void failOnInternalError(Request request, Responder responder, boolean answerStarted) {
        boolean clientGone = request.clientLeftAt > 0;
        clientLeft(request); // aborts its attempts
        if (answerStarted || clientGone) {
            return;
        }
        try {
            counters.count(Counter.FAILED);
            responder.fail();
        } catch (IOException e) {
            counters.count(Counter.ANSWERS_UNDELIVERED);
        } catch (RuntimeException | Error e) {
            sendGate.reportUnanswered(request);
            throw e;
        }
    }

    /** Sends the final answer of a request that has run: its result, or a failure if the result fits no front. */
    private void deliver(Attempt attempt, QueryResult result, Responder responder) throws IOException {
        if (result == null) {
            counters.count(Counter.VALUES_UNFIT);
            counters.count(Counter.FAILED);
            responder.fail();
            return;
        }
        try (result) {
            counters.count(Counter.SERVED);
            if (result.isStatusPending()) {
                deliverStreamed(attempt, result, responder);
            } else {
                responder.serve(result);
            }
        }
    }

    /** Passes on a result as it comes. Its server states its role and position behind it, which other requests must not wait for. */
    private void deliverStreamed(Attempt attempt, QueryResult result, Responder responder) throws IOException {
        long begunAt = clock.now();
        Deadlines.Deadline overdue = deadlines.after(STATUS_DUE_NS, () -> submitEvent(new StatusOverdue(attempt.serverId)));
        try {
            responder.serve(result);
        } finally {
            deadlines.cancel(overdue);
            Reply status = result.statusBehind();
            long now = clock.now();
            submitEvent(status == null ? new StatusOverdue(attempt.serverId) : new LateStatus(attempt.serverId,
                    now - attempt.startedAt, now - begunAt, status.role(), status.positionNs(), status.report()));
        }
    }

    /** Returns the listener for what servers state outside of replies. */
    public StatusListener statusListener() {
        return new StatusListener() {
            @Override
            public void stated(long serverId, long askedAt, Reply status) {
                submitEvent(new LateStatus(serverId, clock.now() - askedAt, 0, status.role(), status.positionNs(), status.report()));
            }

            @Override
            public void missed(long serverId) {
                if (serversStateRoles) {
                    counters.count(Counter.STATUSES_MISSED);
                    submitEvent(new StatusOverdue(serverId));
                }
            }
        };
    }

    private void submitEvent(Event event) {
        lock.lock();
        try {
            handleEvent(event);
        } finally {
            lock.unlock();
        }
    }

    private void submit(Request request) {
        Request.Spec spec = request.spec;
        lock.lock();
        try {
            if (request.finished) {
                return; // the client left before its request was started
            }
            long now = clock.now();
            long tokenAgeNs = spec.tokenPositionNs() == 0 ? 0 : Math.max(1, now - spec.tokenPositionNs());
            // resolved by name under the lock: class indices are not stable across a change of settings
            int index = deployment.classes().indexOf(spec.className());
            if (index < 0 || deployment.settings().classes().get(index).consistency() != spec.consistency()) {
                // the class was dropped or changed while the request was being received
                endRequest(request.id, new Decline(request.id, 0, EndReason.CLASS_DROPPED), EndReason.CLASS_DROPPED);
                return;
            }
            request.effect = deployment.settings().classes().get(index).effect();
            handleEvent(new Arrived(request.id, index, spec.isRetry(), spec.remainingNs(), tokenAgeNs, 0,
                    spec.session(), 0, spec.group()));
        } finally {
            lock.unlock();
        }
    }

    private void attemptEnded(Request request, Attempt attempt, Reply reply) {
        lock.lock();
        try {
            counters.count(outcomeCounter(reply.outcome()));
            attempt.recordOutcome(reply.outcome());
            request.finished |= reply.outcome() == Outcome.OK;
            serversStateRoles |= reply.role() != Role.UNKNOWN;
            freshnessMonitor.answered(request, attempt, reply, clock.now());
            handleEvent(new Answered(request.id, attempt.serverId, attempt.number, request.finished, reply.outcome(),
                    clock.now() - attempt.startedAt, reply.role(), reply.positionNs(), reply.report()));
        } finally {
            lock.unlock();
        }
    }

    /** Notifies the listener of a write; one whose answer was lost may have taken effect at any time up to now. */
    private void reportWrite(Request.Spec spec, Reply reply) {
        if (spec.consistency() == Consistency.WRITE && !reply.outcome().neverRan) {
            boolean positionKnown = reply.outcome() == Outcome.OK && reply.positionNs() > 0;
            long position = positionKnown ? reply.positionNs() : clock.now() + Clock.MS;
            writeListener.onWrite(new LastWrite(spec.group(), spec.session(), position));
        }
    }

    /**
     * Gives every open request its final answer now: refused if it certainly never ran, otherwise failed. Called when the
     * process is about to end, after which no answer could be delivered.
     */
    public void giveUpAll() {
        lock.lock();
        try {
            List.copyOf(openRequests.values()).stream().filter(request -> !request.finished)
                    .forEach(request -> handleEvent(new AbortRequest(request.id, EndReason.PROCESS_ENDS)));
        } finally {
            lock.unlock();
        }
    }

    private static Counter outcomeCounter(Outcome outcome) {
        return Counter.valueOf("ATTEMPT_" + outcome.name());
    }

    /** Aborts a request whose client has disconnected or no longer wants an answer. */
    public void clientLeft(Request request) {
        lock.lock();
        try {
            if (!request.finished) {
                request.finished = true;
                request.clientLeftAt = clock.now();
                handleEvent(new ClientLeft(request.id));
                request.attempts.forEach(attempt -> attempt.abort(Outcome.CANCELLED));
                request.post(new Request.ClientGone());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Runs one attempt; an internal error fails only this attempt. */
    private AttemptResult runAttempt(Attempt attempt, Statement statement, Responder responder) {
        try {
            return upstreams.apply(attempt.serverId).attempt(attempt, statement, responder.resultShape());
        } catch (RuntimeException e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("an attempt failed here", e);
            return new AttemptResult(Reply.of(attempt.failDisconnected()), null);
        }
    }

    /** Removes a request that has ended. */
    private void closeRequest(Request request) {
        boolean mayHaveRun;
        lock.lock();
        try {
            openRequests.remove(request.id);
            mayHaveRun = request.mayHaveRun();
        } finally {
            lock.unlock();
        }
        request.endClaim(mayHaveRun);
    }

    private void timerFired(int handle) {
        submitEvent(new Wakeup(handle));
    }

    private void probeEnded(long serverId, Reply reply, long latencyNs) {
        submitEvent(new Checked(serverId, reply.outcome(), latencyNs, reply.role(), reply.positionNs(), reply.report()));
    }

    /** Passes one event to the decision module, with the current time. The lock must be held; must not be called by an action. */
    private void handleEvent(Event event) {
        try {
            splitter.handle(clock.now(), List.of(event), this::performAction);
            rolesVersion = splitter.rolesVersion();
        } catch (RuntimeException e) {
            // an exception in the decision module fails only the request that the event is about
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("the decision module failed on " + event, e);
            long id = event instanceof Arrived a ? a.id() : event instanceof Answered a ? a.id() : 0;
            if (event instanceof ListChanged) {
                throw e; // the list may have been applied in part: the caller must deliver it again
            }
            if (openRequests.containsKey(id)) {
                endRequest(id, new RespondError(id, EndReason.INTERNAL_ERROR), EndReason.INTERNAL_ERROR);
            }
        }
    }

    private void performAction(Action action) {
        if (action instanceof Transmit t) {
            startAttempt(t);
        } else if (action instanceof Retract r) {
            Request request = openRequests.get(r.id());
            if (request != null) {
                request.attempts.get(r.attempt()).abort(Outcome.CANCELLED);
            }
        } else if (action instanceof Decline d) {
            endRequest(d.id(), d, d.reason());
        } else if (action instanceof RespondError e) {
            endRequest(e.id(), e, e.reason());
        } else if (action instanceof Schedule s) {
            deadlines.after(s.afterNs(), () -> timerFired(s.handle()));
        } else if (action instanceof Inspect i) {
            startProbe(i.store());
        } else if (action instanceof CloseIdle c) {
            closeIdle(c.store());
        } else if (action instanceof Remark r) {
            Log.info("module: " + r.words());
        } else if (action instanceof RoleChanged change) {
            freshnessMonitor.roleChanged(change, clock.now());
        }
        // Subscribe and ListAll: the discovery watch always runs. MemoTo: this deployment has no peers.
    }

    private void closeIdle(long serverId) {
        upstreams.apply(serverId).closeIdle(serverId);
    }

    private void startAttempt(Transmit t) {
        Request request = openRequests.get(t.id());
        int number = request.attempts.size();
        Attempt attempt = new Attempt(t.store(), number, clock.now(), t.limitNs(), new SendGuard() {
            @Override
            public boolean mayWrite() {
                return Balancer.this.mayWrite(request, number);
            }

            @Override
            public boolean mayContinue() {
                return mayContinueWrite(request, number);
            }

            @Override
            public void onWritten() {
                attemptWritten(request, number);
            }
        });
        if (number > 0) {
            counters.count(Counter.RETRIES);
        }
        request.attempts.add(attempt);
        counters.count(Counter.ATTEMPTS);
        request.post(new Request.Send(attempt));
    }

    private boolean mayWrite(Request request, int number) {
        lock.lock();
        try {
            long now = clock.now();
            Permission permission = currentPermission(request, number, now);
            if (permission == Permission.CLIENT_UNCERTAIN) {
                // only here, where none of the attempt has been written: a client that stays gets its answer
                handleEvent(new AbortRequest(request.id, EndReason.CLIENT_UNCERTAIN));
            }
            Attempt attempt = request.attempts.get(number);
            boolean permitted = sendGate.permits(request, attempt, permission, goneIsAdvice(), now);
            if (permitted) {
                freshnessMonitor.permitted(attempt, splitter.readProof(request.id, number));
            }
            return permitted;
        } finally {
            lock.unlock();
        }
    }

    /** What the decision module permits, unless the client may have left unnoticed: nothing more may be sent for it then. */
    private Permission currentPermission(Request request, int number, long now) {
        Permission permission = splitter.sendPermission(now, request.id, number);
        boolean isUncertain = permission == Permission.ALLOWED && sendGate.mayHaveLostClient(request, now);
        return isUncertain ? Permission.CLIENT_UNCERTAIN : permission;
    }

    private boolean mayContinueWrite(Request request, int number) {
        lock.lock();
        try {
            long now = clock.now();
            return sendGate.permitsRest(request, request.attempts.get(number), currentPermission(request, number, now),
                    deployment.settings().rules().drainGraceNs(), now);
        } finally {
            lock.unlock();
        }
    }

    private void attemptWritten(Request request, int number) {
        lock.lock();
        try {
            sendGate.checkWritten(request, request.attempts.get(number), goneIsAdvice(),
                    deployment.settings().rules().drainGraceNs(), clock.now());
        } finally {
            lock.unlock();
        }
    }

    private boolean mayProbe(Attempt probe) {
        lock.lock();
        try {
            return sendGate.permitsProbe(probe, goneIsAdvice(), clock.now());
        } finally {
            lock.unlock();
        }
    }

    private boolean goneIsAdvice() {
        return deployment.settings().rules().goneIsAdvice();
    }

    private void endRequest(long id, Action answer, EndReason reason) {
        Request request = openRequests.get(id);
        if (request != null && !request.finished) {
            counters.count(Counter.forEndReason(reason));
            request.finished = true;
            // even where the settings forbid cancelling: here aborting only closes a connection, and the client waits for its answer
            request.attempts.forEach(attempt -> attempt.abort(Outcome.CANCELLED));
            request.post(new Request.End(answer));
        }
    }

    private void startProbe(long serverId) {
        counters.count(Counter.PROBES);
        Attempt[] probe = new Attempt[1];
        Attempt attempt = new Attempt(serverId, 0, clock.now(), deployment.connectTimeoutNs(), () -> mayProbe(probe[0]));
        probe[0] = attempt;
        try {
            workers.execute(() -> runProbe(attempt));
        } catch (RejectedExecutionException e) {
            // a lack of threads in this process says nothing about the server: reported as too busy to answer
            deadlines.after(0, () -> probeEnded(serverId, Reply.of(Outcome.FULL), 0));
        }
    }

    private void runProbe(Attempt attempt) {
        Deadlines.Deadline timeOut = deadlines.at(attempt.startedAt + attempt.timeoutNs,
                () -> attempt.abort(Outcome.TIMEOUT));
        Reply reply = Reply.of(Outcome.ERROR);
        try {
            reply = upstreams.apply(attempt.serverId).probe(attempt);
        } catch (RuntimeException e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("a probe failed here", e);
        }
        deadlines.cancel(timeOut);
        if (reply.outcome() != Outcome.OK) {
            counters.count(Counter.PROBES_FAILED);
        }
        probeEnded(attempt.serverId, reply, clock.now() - attempt.startedAt);
    }
}
