package holdmux.core;

import holdmux.config.Deployment;
import holdmux.config.HostList;
import holdmux.core.Counters.Counter;
import holdmux.core.Upstream.Attempted;
import holdmux.decision.EndReason;
import holdmux.decision.ReadWriteSplitter;
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
import holdmux.decision.SplitterApi.GiveUp;
import holdmux.decision.SplitterApi.Inspect;
import holdmux.decision.SplitterApi.ListChanged;
import holdmux.decision.SplitterApi.Listing;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Remark;
import holdmux.decision.SplitterApi.RespondError;
import holdmux.decision.SplitterApi.Retract;
import holdmux.decision.SplitterApi.Retuned;
import holdmux.decision.SplitterApi.Schedule;
import holdmux.decision.SplitterApi.Transmit;
import holdmux.decision.SplitterApi.Wakeup;
import holdmux.decision.SplitterApi.Written;
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
 * The decision module behind one lock: events go in as they come, actions go to whom they concern. Knows no protocol and
 * no sockets: a front takes requests and is a {@link Client} of each, an {@link Upstream} carries attempts out.
 */
public final class Balancer {
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Fleet fleet;
    private final Executor workers;
    private final ReentrantLock lock = new ReentrantLock();
    private final ReadWriteSplitter module;
    private volatile Deployment deployment;
    private final SendGate gate;
    private final Map<Long, Request> open = new HashMap<>();
    private LongFunction<Upstream> upstreams;
    private WriteLog writeLog = write -> { };
    private long lastId;

    public Balancer(Deployment deployment, long seed, Clock clock, Deadlines deadlines,
            Counters counters, Fleet fleet, Executor workers) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.fleet = fleet;
        this.workers = workers;
        this.deployment = deployment;
        module = new ReadWriteSplitter(deployment.settings(), seed);
        gate = new SendGate(counters, fleet);
    }

    /** Names who reaches each server; before the first list. */
    public void connect(LongFunction<Upstream> upstreams) {
        this.upstreams = upstreams;
    }

    public void listChanged(HostList list, boolean cached) {
        lock.lock();
        try {
            long stale = fleet.staleEntries();
            ListChanged change = fleet.take(list, cached);
            gate.told(change, clock.now());
            feed(change);
            counters.count(Counter.LISTS_TAKEN);
            counters.add(Counter.STALE_ENTRIES, fleet.staleEntries() - stale);
            change.lines().forEach(this::countTold);
        } finally {
            lock.unlock();
        }
    }

    /** From now on nothing is sent to any server until {@link #listConfirmed}. */
    public void awaitList() {
        awaitList(true);
    }

    /** Discovery has confirmed the list of servers. */
    public void listConfirmed() {
        awaitList(false);
    }

    private void awaitList(boolean yes) {
        lock.lock();
        try {
            gate.awaitList(yes);
        } finally {
            lock.unlock();
        }
    }

    private void countTold(Listing line) {
        if (line.availability() == Availability.DRAINING) {
            counters.count(Counter.DRAINS_TOLD);
        } else if (line.availability() == Availability.GONE) {
            counters.count(Counter.REMOVALS_TOLD);
        }
    }

    /** Names who hears of each write before its client sees the answer. */
    public void tellWritesTo(WriteLog log) {
        writeLog = log;
    }

    /** All sessions' writes that a second process of this pooler must know of. */
    public List<Written> writes() {
        lock.lock();
        try {
            return module.writes();
        } finally {
            lock.unlock();
        }
    }

    /** A write that another process of this pooler answered. */
    public void written(Written write) {
        lock.lock();
        try {
            feed(write);
        } finally {
            lock.unlock();
        }
    }

    /** What is in force for requests that come now. */
    public Deployment deployment() {
        return deployment;
    }

    /** Puts another deployment's settings in force; requests that are open keep what they came under. */
    public void retune(Deployment next) {
        lock.lock();
        try {
            List<Integer> was = next.classes().stream().map(deployment.classes()::indexOf).toList();
            feed(new Retuned(next.settings(), was));
            deployment = next;
        } finally {
            lock.unlock();
        }
    }

    /** Leaves out just these servers, named with the Unix time in milliseconds since when, from now on. */
    public void leaveOut(Map<String, Long> servers) {
        lock.lock();
        try {
            ListChanged change = fleet.leaveOut(servers, clock.now() / Clock.MS);
            gate.told(change, clock.now());
            feed(change);
            change.lines().stream().filter(line -> line.availability() == Availability.DRAINING)
                    .forEach(line -> closeIdle(line.store()));
        } finally {
            lock.unlock();
        }
    }

    /** A request that has come in whole; its life must be started, or be given up with {@link #left}. */
    public Request taken(Request.Call call) {
        lock.lock();
        try {
            counters.count(Counter.REQUESTS_TAKEN);
            Request request = new Request(++lastId, call);
            open.put(request.id, request);
            return request;
        } finally {
            lock.unlock();
        }
    }

    /**
     * The life of one request, from its arrival to its one final answer: the module is told of it, its sends are
     * carried out one at a time (it never has two out), and their outcomes go back before the client sees anything.
     */
    public void life(Request request, Statement statement, Client client) {
        boolean answering = false;
        try {
            arrived(request);
            while (true) {
                Request.Step step = request.next();
                if (step instanceof Request.Send send) {
                    Attempt attempt = send.attempt();
                    Deadlines.Deadline timeOut = deadlines.at(attempt.startedAt + attempt.limitNs,
                            () -> attempt.cut(Outcome.TIMEOUT));
                    Attempted attempted = carryOut(attempt, statement, client);
                    deadlines.cancel(timeOut);
                    answered(request, attempt, attempted.reply());
                    tellWrite(request.call, attempted.reply());
                    if (attempted.reply().outcome() == Outcome.OK) {
                        answering = true;
                        pass(attempted.value(), client);
                        return;
                    }
                } else if (step instanceof Request.End end && end.answer() instanceof Decline decline) {
                    answering = true;
                    counters.count(Counter.REFUSED);
                    client.refuse(decline.waitNs());
                    return;
                } else if (step instanceof Request.End) {
                    answering = true;
                    counters.count(Counter.FAILED);
                    client.fail();
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
            failHere(request, client, answering);
        } catch (RuntimeException | Error e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("request " + request.id + " failed here", e);
            failHere(request, client, answering);
        } finally {
            forget(request);
        }
    }

    /** A fault of this program ends the request, with its final answer where that has not begun. */
    private void failHere(Request request, Client client, boolean answering) {
        boolean gone = request.leftAt > 0;
        left(request); // what is out for it is given up
        if (answering || gone) {
            return;
        }
        try {
            counters.count(Counter.FAILED);
            client.fail();
        } catch (IOException e) {
            counters.count(Counter.ANSWERS_UNDELIVERED);
        } catch (RuntimeException | Error e) {
            gate.unanswered(request);
            throw e;
        }
    }

    /** The final answer of a request that has run: its value, or that it cannot be told. */
    private void pass(Value value, Client client) throws IOException {
        if (value == null) {
            counters.count(Counter.VALUES_UNFIT);
            counters.count(Counter.FAILED);
            client.fail();
            return;
        }
        try (value) {
            counters.count(Counter.SERVED);
            client.serve(value);
        }
    }

    private void arrived(Request request) {
        Request.Call call = request.call;
        lock.lock();
        try {
            if (request.over) {
                return; // the client left before its request was begun
            }
            long now = clock.now();
            long token = call.tokenPositionNs() == 0 ? 0 : Math.max(1, now - call.tokenPositionNs());
            // by name and under the lock, so that no number crosses a change of settings
            int index = deployment.classes().indexOf(call.className());
            if (index < 0 || deployment.settings().classes().get(index).consistency() != call.consistency()) {
                // its class went while it came in
                end(request.id, new Decline(request.id, 0, EndReason.CLASS_DROPPED), EndReason.CLASS_DROPPED);
                return;
            }
            request.effect = deployment.settings().classes().get(index).effect();
            feed(new Arrived(request.id, index, call.retry(), call.remainingNs(), token, 0,
                    call.session(), 0, call.group()));
        } finally {
            lock.unlock();
        }
    }

    private void answered(Request request, Attempt attempt, Reply reply) {
        lock.lock();
        try {
            counters.count(outcomeCounter(reply.outcome()));
            attempt.ended(reply.outcome());
            request.over |= reply.outcome() == Outcome.OK;
            feed(new Answered(request.id, attempt.store, attempt.number, request.over, reply.outcome(),
                    clock.now() - attempt.startedAt, reply.role(), reply.positionNs(), reply.report()));
        } finally {
            lock.unlock();
        }
    }

    /** Where its answer was not heard, a write may have taken effect up to now. */
    private void tellWrite(Request.Call call, Reply reply) {
        if (call.consistency() == Consistency.WRITE && !reply.outcome().neverRan) {
            boolean told = reply.outcome() == Outcome.OK && reply.positionNs() > 0;
            long position = told ? reply.positionNs() : clock.now() + Clock.MS;
            writeLog.written(new Written(call.group(), call.session(), position));
        }
    }

    /**
     * Gives every open request its final answer now: refused where that is true, else failed. Until then it is the
     * module's to say when; from here on this process ends, and an answer later than that is none.
     */
    public void giveUpAll() {
        lock.lock();
        try {
            List.copyOf(open.values()).stream().filter(request -> !request.over)
                    .forEach(request -> feed(new GiveUp(request.id)));
        } finally {
            lock.unlock();
        }
    }

    private static Counter outcomeCounter(Outcome outcome) {
        return Counter.valueOf("ATTEMPT_" + outcome.name());
    }

    /** The client has gone away, or wants no answer any more: what is still out for it is given up. */
    public void left(Request request) {
        lock.lock();
        try {
            if (!request.over) {
                request.over = true;
                request.leftAt = clock.now();
                feed(new ClientLeft(request.id));
                request.attempts.forEach(attempt -> attempt.cut(Outcome.CANCELLED));
                request.post(new Request.Left());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Carries out an attempt; a fault of ours on the way is the attempt's, not the program's. */
    private Attempted carryOut(Attempt attempt, Statement statement, Client client) {
        try {
            return upstreams.apply(attempt.store).attempt(attempt, statement, client.form());
        } catch (RuntimeException e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("an attempt failed here", e);
            return new Attempted(Reply.of(attempt.broken()), null);
        }
    }

    /** Drops a request whose life is over or could not be started. */
    public void forget(Request request) {
        lock.lock();
        try {
            open.remove(request.id);
        } finally {
            lock.unlock();
        }
    }

    private void wakeup(int handle) {
        lock.lock();
        try {
            feed(new Wakeup(handle));
        } finally {
            lock.unlock();
        }
    }

    private void checked(long store, Reply reply, long latencyNs) {
        lock.lock();
        try {
            feed(new Checked(store, reply.outcome(), latencyNs, reply.report()));
        } finally {
            lock.unlock();
        }
    }

    /** One event, at this moment; only with the lock held, and never from within the module. */
    private void feed(Event event) {
        try {
            module.handle(clock.now(), List.of(event), this::route);
        } catch (RuntimeException e) {
            // a fault in a decision fails the request it was about, not the program
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("the decision module failed on " + event, e);
            long id = event instanceof Arrived a ? a.id() : event instanceof Answered a ? a.id() : 0;
            if (event instanceof ListChanged) {
                throw e; // half of it may have been taken in: whoever told it must tell it again
            }
            if (open.containsKey(id)) {
                end(id, new RespondError(id, EndReason.INTERNAL_ERROR), EndReason.INTERNAL_ERROR);
            }
        }
    }

    private void route(Action action) {
        if (action instanceof Transmit t) {
            transmit(t);
        } else if (action instanceof Retract r) {
            Request request = open.get(r.id());
            if (request != null) {
                request.attempts.get(r.attempt()).cut(Outcome.CANCELLED);
            }
        } else if (action instanceof Decline d) {
            end(d.id(), d, d.reason());
        } else if (action instanceof RespondError e) {
            end(e.id(), e, e.reason());
        } else if (action instanceof Schedule s) {
            deadlines.after(s.afterNs(), () -> wakeup(s.handle()));
        } else if (action instanceof Inspect i) {
            inspect(i.store());
        } else if (action instanceof CloseIdle c) {
            closeIdle(c.store());
        } else if (action instanceof Remark r) {
            Log.info("module: " + r.words());
        }
        // Subscribe and ListAll: the watch runs from the start and needs no asking. MemoTo: there are no peers.
    }

    private void closeIdle(long store) {
        upstreams.apply(store).closeIdle(store);
    }

    private void transmit(Transmit t) {
        Request request = open.get(t.id());
        int number = request.attempts.size();
        Attempt attempt = new Attempt(t.store(), number, clock.now(), t.limitNs(), new Permit() {
            @Override
            public boolean mayWrite() {
                return Balancer.this.mayWrite(request, number);
            }

            @Override
            public void written() {
                wrote(request, number);
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
            return gate.permits(request, request.attempts.get(number), module.mayWrite(now, request.id, number),
                    goneIsAdvice(), now);
        } finally {
            lock.unlock();
        }
    }

    private void wrote(Request request, int number) {
        lock.lock();
        try {
            gate.written(request, request.attempts.get(number), goneIsAdvice(),
                    deployment.settings().rules().drainGraceNs(), clock.now());
        } finally {
            lock.unlock();
        }
    }

    private boolean mayProbe(Attempt probe) {
        lock.lock();
        try {
            return gate.permitsProbe(probe, goneIsAdvice(), clock.now());
        } finally {
            lock.unlock();
        }
    }

    private boolean goneIsAdvice() {
        return deployment.settings().rules().goneIsAdvice();
    }

    private void end(long id, Action answer, EndReason reason) {
        Request request = open.get(id);
        if (request != null && !request.over) {
            counters.count(Counter.ended(reason));
            request.over = true;
            // also where the module may not retract: on sockets an attempt is given up by closing, and the client waits
            request.attempts.forEach(attempt -> attempt.cut(Outcome.CANCELLED));
            request.post(new Request.End(answer));
        }
    }

    private void inspect(long store) {
        counters.count(Counter.PROBES);
        Attempt[] probe = new Attempt[1];
        Attempt attempt = new Attempt(store, 0, clock.now(), deployment.connectTimeoutNs(), () -> mayProbe(probe[0]));
        probe[0] = attempt;
        try {
            workers.execute(() -> probe(attempt));
        } catch (RejectedExecutionException e) {
            // our own lack of threads says nothing of the server: as if it had been too busy to tell
            deadlines.after(0, () -> checked(store, Reply.of(Outcome.FULL), 0));
        }
    }

    private void probe(Attempt attempt) {
        Deadlines.Deadline timeOut = deadlines.at(attempt.startedAt + attempt.limitNs,
                () -> attempt.cut(Outcome.TIMEOUT));
        Reply reply = Reply.of(Outcome.ERROR);
        try {
            reply = upstreams.apply(attempt.store).probe(attempt);
        } catch (RuntimeException e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("a probe failed here", e);
        }
        deadlines.cancel(timeOut);
        if (reply.outcome() != Outcome.OK) {
            counters.count(Counter.PROBES_FAILED);
        }
        checked(attempt.store, reply, clock.now() - attempt.startedAt);
    }
}
