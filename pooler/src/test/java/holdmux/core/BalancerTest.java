package holdmux.core;

import holdmux.config.Deployment;
import holdmux.config.HostList;
import holdmux.config.HostList.Host;
import holdmux.core.Counters.Counter;
import holdmux.decision.SplitterApi.*;
import holdmux.statement.Statement;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;


@Timeout(20)
class BalancerTest {
    private static final int READ = 0, WRITE = 1;

    /** A front and an upstream that return the given outcomes in order and record the client's answers. */
    private class ScriptedExchange implements Responder, Upstream {
        final List<String> answers = new ArrayList<>();
        final List<Long> sentTo = new ArrayList<>();
        private final List<Outcome> outcomes;

        ScriptedExchange(Outcome... outcomes) {
            this.outcomes = new ArrayList<>(List.of(outcomes));
        }

        @Override
        public AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape) {
            if (fault != null) {
                throw fault;
            }
            assertTrue(attempt.mayWrite());
            sentTo.add(attempt.serverId);
            attempt.attachConnection(() -> { });
            attempt.markWritten();
            Outcome outcome = outcomes.remove(0);
            return new AttemptResult(Reply.of(outcome), outcome == Outcome.OK ? result : null);
        }

        @Override
        public Reply probe(Attempt attempt) {
            return Reply.of(Outcome.FULL);
        }

        @Override
        public void closeIdle(long store) { }

        @Override
        public QueryResult.Shape resultShape() {
            return QueryResult.Shape.CELL;
        }

        @Override
        public void serve(QueryResult value) {
            answers.add("served");
        }

        @Override
        public void refuse(long waitNs) {
            answers.add("refused " + waitNs);
        }

        @Override
        public void fail() {
            answers.add("failed");
        }
    }

    /** The upstream that runs attempts now, the error it throws, and its result with the number of times that was closed. */
    private ScriptedExchange upstream = new ScriptedExchange();
    private Error fault;
    private int closed;
    private QueryResult result = () -> closed++;
    private final Clock clock = new Clock();
    private final Deadlines deadlines = new Deadlines(clock);
    private final Counters counters = new Counters();
    private final ServerRegistry registry = new ServerRegistry(List.of("north"), List.of("std"));
    private final Balancer balancer = new Balancer(deployment(settings(), "history", "save-quote"), 1, clock, deadlines, counters, registry,
            work -> { });

    BalancerTest() {
        balancer.setUpstreams(store -> upstream);
        balancer.listChanged(list(true, host("s-1", true, Availability.READY), host("s-2", false, Availability.READY)),
                true);
    }

    private static Deployment deployment(Settings settings, String... classes) {
        return new Deployment(settings, List.of(classes), List.of(), List.of(), List.of("x0"), 15_000 * Clock.MS,
                250 * Clock.MS);
    }

    private static Settings settings() {
        List<RequestClass> classes = List.of(
                new RequestClass(Consistency.ANY, 0, 300 * Clock.MS, 1_000 * Clock.MS, 1, 0, Effect.IDEMPOTENT,
                        Scope.ALL, 0),
                new RequestClass(Consistency.WRITE, 0, 1_500 * Clock.MS, 5_000 * Clock.MS, 3, 0.5,
                        Effect.AT_MOST_ONCE, Scope.ALL, 0));
        return new Settings(0, 1, 0, 5 * Clock.MS, classes, List.of(), 1, Guards.OFF, 0, 0, true, true, false,
                new Rules(20 * Clock.MS, 2_000 * Clock.MS, 0.15, 13_000 * Clock.MS, 2, 1_500 * Clock.MS, false, 0),
                new Limits(6, true, true, true, true, 500 * Clock.MS, false), 0, 1, -1, 2, 3);
    }

    private static Host host(String name, boolean primary, Availability availability) {
        return new Host(name, new InetSocketAddress("127.0.0.1", 5500), "north", "std", 2, availability, 4, 0, primary);
    }

    private static HostList list(boolean whole, Host... hosts) {
        return new HostList(1, whole, List.of(hosts));
    }

    private Request open(Request.Spec spec) {
        return balancer.openRequest(spec, null, ClientWatch.IMMEDIATE);
    }

    private void execute(Request request, ScriptedExchange script) {
        upstream = script;
        balancer.execute(request, null, script);
    }

    private ScriptedExchange run(int classIndex, Outcome... outcomes) {
        ScriptedExchange script = new ScriptedExchange(outcomes);
        Request.Spec spec = new Request.Spec(classIndex == READ ? "history" : "save-quote",
                classIndex == READ ? Consistency.ANY : Consistency.WRITE, false, 900 * Clock.MS, 0, 7, 2);
        execute(open(spec), script);
        return script;
    }

    @Test
    void resetReadIsRetriedOnAnotherServer() {
        ScriptedExchange script = run(READ, Outcome.RESET, Outcome.OK);
        assertEquals(List.of("served"), script.answers);
        assertEquals(2, script.sentTo.stream().distinct().count());
    }

    /** A save-quote request must not run twice: it fails after any outcome that does not prove that it never ran. */
    @Test
    void writeThatMayHaveRunIsNotRetried() {
        ScriptedExchange script = run(WRITE, Outcome.RESET);
        assertEquals(List.of("failed"), script.answers);
        assertEquals(1, script.sentTo.size());
        assertEquals(1, counters.get(Counter.FAILED));
    }

    /** Guards against refusing a write as harmless to repeat whose last byte went out just before its client became uncertain. */
    @Test
    void aWriteThatIsRecheckedBehindItsLastByteIsNotRefused() {
        long[] unnoticedNs = {0};
        ScriptedExchange script = new ScriptedExchange(Outcome.OK) {
            @Override
            public AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape) {
                AttemptResult written = super.attempt(attempt, statement, shape);
                unnoticedNs[0] = 1_000 * Clock.MS;
                attempt.recheckWrite(); // as a check does that had begun before
                return attempt.complete() ? written : new AttemptResult(Reply.of(attempt.failDisconnected()), null);
            }
        };
        Request.Spec spec = new Request.Spec("save-quote", Consistency.WRITE, false, 900 * Clock.MS, 0, 7, 2);
        execute(balancer.openRequest(spec, null, now -> unnoticedNs[0]), script);
        assertEquals(List.of("served"), script.answers);
    }

    /** A result is closed after it was sent; one that no front supports is answered as a failure, since the request has run. */
    @Test
    void resultIsClosedAndUnsupportedResultFails() {
        assertEquals(List.of("served"), run(READ, Outcome.OK).answers);
        assertEquals(1, closed);
        result = null;
        assertEquals(List.of("failed"), run(WRITE, Outcome.OK).answers);
        assertEquals(1, counters.get(Counter.VALUES_UNFIT));
        assertEquals(1, counters.get(Counter.SERVED));
    }

    /** An internal error in an upstream fails the attempt; the client still gets exactly one answer. */
    @Test
    void exceptionInUpstreamFailsOnlyItsRequest() {
        ScriptedExchange script = new ScriptedExchange() {
            @Override
            public AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape) {
                attempt.markWritten();
                throw new IllegalStateException("planted");
            }
        };
        execute(open(new Request.Spec("save-quote", Consistency.WRITE, false, 900 * Clock.MS, 0, 7, 2)), script);
        assertEquals(List.of("failed"), script.answers);
        assertEquals(List.of("served"), run(READ, Outcome.OK).answers);
    }

    @Test
    void clientThatLeftGetsNoAnswer() {
        Request request = open(new Request.Spec("history", Consistency.ANY, false, 900 * Clock.MS, 0, 7, 2));
        balancer.clientLeft(request);
        ScriptedExchange script = new ScriptedExchange();
        execute(request, script);
        assertEquals(List.of(), script.answers);
        assertEquals(1, counters.get(Counter.CLIENTS_LEFT));
    }

    /** A request that no server can run in time is refused, with the time after which to retry. */
    @Test
    void requestWithoutServerIsRefusedWithRetryTime() {
        balancer.listChanged(list(true, host("s-2", false, Availability.DRAINING)), false);
        ScriptedExchange script = new ScriptedExchange();
        Request request = open(new Request.Spec("history", Consistency.ANY, false, Clock.MS, 0, 7, 2));
        Thread sweeper = Workers.newThread("sweeper", deadlines::run);
        sweeper.start();
        execute(request, script);
        assertEquals(List.of("refused " + 500 * Clock.MS), script.answers);
    }

    /** Guards against waiting for an abandoned attempt where the settings forbid cancelling: it must be aborted at once. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void abandonedRequestAbortsItsAttemptAtOnce(boolean clientLeft) {
        Limits noCancel = new Limits(6, true, false, true, true, 500 * Clock.MS, false);
        balancer.reconfigure(deployment(with(settings(), settings().classes(), noCancel), "history", "save-quote"));
        Request request = open(new Request.Spec("save-quote", Consistency.WRITE, false, 900 * Clock.MS, 0, 7, 2));
        List<LastWrite> written = new ArrayList<>();
        balancer.setWriteListener(written::add);
        ScriptedExchange script = new ScriptedExchange() {
            @Override
            public AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape) {
                attempt.attachConnection(() -> closed++);
                attempt.markWritten();
                if (clientLeft) {
                    balancer.clientLeft(request);
                } else {
                    balancer.giveUpAll();
                }
                assertEquals(1, closed, "connections closed");
                return new AttemptResult(Reply.of(attempt.failDisconnected()), null);
            }
        };
        execute(request, script);
        assertEquals(clientLeft ? List.of() : List.of("failed"), script.answers);
        // it may have committed at any time before the abort, which a second process of this pooler must know
        assertEquals(1, written.size());
        assertTrue(written.get(0).positionNs() >= clock.now() - 1_000 * Clock.MS);
    }

    @Test
    void wholeListRemovesOmittedServersAndUpdatesAddresses() {
        long first = registry.apply(list(false, host("s-1", true, Availability.READY)), false).lines().get(0).store();
        Host moved = new Host("s-2", new InetSocketAddress("127.0.0.1", 5599), "north", "std", 2, Availability.READY, 4,
                1_000, false);
        Listing line = registry.apply(list(true, moved), false).lines().get(0);
        assertNull(registry.address(first));
        assertEquals(5599, registry.address(line.store()).getPort());
        assertEquals(1_000 * Clock.MS, line.startedAt());
        assertTrue(registry.hasGroup(2) && !registry.hasGroup(3));
    }

    /** A list from discovery must not undo an exclusion; a readmitted server counts as restarted and cold. */
    @Test
    void excludedServerDrainsWhateverTheListSays() {
        Listing excluded = registry.setExcluded(Map.of("s-1", 10L), 20).lines().get(0);
        assertEquals(Availability.DRAINING, excluded.availability());
        HostList update = list(true, host("s-1", true, Availability.READY), host("s-2", false, Availability.READY));
        assertEquals(Availability.DRAINING, registry.apply(update, false).lines().get(0).availability());
        assertEquals(List.of(), registry.setExcluded(Map.of("s-1", 10L), 25).lines(), "the same exclusion again changes nothing");
        Listing readmitted = registry.setExcluded(Map.of(), 30).lines().get(0);
        assertEquals(Availability.READY, readmitted.availability());
        assertEquals(30 * Clock.MS, readmitted.startedAt());
        assertTrue(registry.contains("s-1") && !registry.contains("s-9"));
    }

    @Test
    void nothingIsSentToAnExcludedServer() {
        balancer.setExcluded(Map.of("s-2", 10L));
        for (int i = 0; i < 20; i++) {
            ScriptedExchange script = run(READ, Outcome.OK);
            assertEquals(List.of(registry.apply(list(false, host("s-1", true, Availability.READY)), false).lines().get(0).store()),
                    script.sentTo);
        }
    }

    /** Requests of new classes follow the new settings; a request whose class was dropped while it was received is refused. */
    @Test
    void newSettingsApplyToLaterRequests() {
        Settings old = settings();
        RequestClass read = old.classes().get(READ);
        RequestClass write = old.classes().get(WRITE);
        RequestClass safe = new RequestClass(Consistency.WRITE, 0, write.onTimeNs(), write.deadlineNs(), 3, 0.5,
                Effect.IDEMPOTENT, Scope.ALL, 0);
        Request open = open(new Request.Spec("history", Consistency.ANY, false, 900 * Clock.MS, 0, 7, 2));
        balancer.reconfigure(deployment(with(old, List.of(safe, read), old.limits()), "save-quote", "history-r2"));
        ScriptedExchange dropped = new ScriptedExchange();
        execute(open, dropped);
        assertEquals(List.of("refused 0"), dropped.answers);
        ScriptedExchange again = run(WRITE, Outcome.RESET, Outcome.OK);
        assertEquals(List.of("served"), again.answers);
        assertEquals(2, again.sentTo.size(), "the class is safe to repeat now");
    }

    private static Settings with(Settings s, List<RequestClass> classes, Limits limits) {
        return new Settings(s.me(), s.balancers(), s.zone(), s.stepNs(), classes, s.quotas(), s.overShareWorth(),
                s.guards(), s.waitNs(), s.zeroNs(), s.remembered(), s.showsRole(), s.mustSubscribe(), s.rules(),
                limits, s.positionField(), s.primaryField(), s.queueField(), s.inflightField(), s.utilField());
    }

    /** The write listener must be notified before the client is answered. */
    @Test
    void listenerIsToldOfWriteBeforeClientIsAnswered() {
        List<String> order = new ArrayList<>();
        balancer.setWriteListener(write -> order.add("told " + write.session()));
        ScriptedExchange script = new ScriptedExchange(Outcome.OK) {
            @Override
            public void serve(QueryResult value) {
                order.add("served");
            }
        };
        execute(open(new Request.Spec("save-quote", Consistency.WRITE, false, 900 * Clock.MS, 0, 7, 2)),
                script);
        assertEquals(List.of("told 7", "served"), order);
        assertTrue(balancer.writes().stream().anyMatch(w -> w.session() == 7 && w.positionNs() > 0));
    }

    /** Guards against an internal error, an Error included, ending a request's thread without an answer to its client. */
    @Test
    void internalErrorIsAnsweredAsFailed() {
        fault = new StackOverflowError();
        ScriptedExchange script = new ScriptedExchange();
        execute(open(new Request.Spec("history", Consistency.ANY, false, 1_000 * Clock.MS, 0, 0, 2)), script);
        assertEquals(List.of("failed"), script.answers);
        assertEquals(1, counters.get(Counter.INTERNAL_ERRORS));
    }

    /** Each send asks for permission first, and none breaks a rule. */
    @Test
    void retriedRequestBreaksNoRule() {
        ScriptedExchange script = new ScriptedExchange(Outcome.RESET, Outcome.OK);
        execute(open(new Request.Spec("history", Consistency.ANY, false, 1_000 * Clock.MS, 0, 0, 2)), script);
        assertEquals(List.of("served"), script.answers);
        assertEquals(0, counters.get(Counter.VIOLATIONS_UNPERMITTED));
        assertEquals(1, counters.get(Counter.RETRIES));
    }
}
