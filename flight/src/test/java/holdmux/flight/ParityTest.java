package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Counters.Counter;
import holdmux.standins.Fault;
import holdmux.standins.Fault.Kind;
import holdmux.standins.Fault.Phase;
import holdmux.standins.StandIns;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs the same scenarios over both fronts and both kinds of server. Answers, counters and how often each request ran
 * must be the same for all four pairs. Guards against one protocol bypassing rules that the other enforces.
 */
class ParityTest {
    /** A request by its id: the faults that its runs encounter, and whether the client disconnects once a server has received it. */
    private record Step(String id, String sql, boolean disconnects, Fault... faults) {}

    /** Requests that are sent one after another. */
    private record Scenario(String name, List<Step> steps) {}

    /** The result of running a scenario over one pair of protocols. */
    private record Result(List<String> answers, Map<String, Long> counters, Map<String, Integer> runs) {}

    private static final List<String> PROTOCOL_PAIRS = List.of("PostgreSQL to PostgreSQL", "Flight SQL to PostgreSQL",
            "PostgreSQL to Flight SQL", "Flight SQL to Flight SQL");

    private final ExecutorService threads = Executors.newFixedThreadPool(PROTOCOL_PAIRS.size());

    private static final List<Counter> COMPARED_COUNTERS = List.of(Counter.REQUESTS_TAKEN, Counter.SERVED, Counter.REFUSED,
            Counter.FAILED, Counter.CLIENTS_LEFT, Counter.ATTEMPTS, Counter.ATTEMPT_OK, Counter.ATTEMPT_ERROR,
            Counter.ATTEMPT_FULL, Counter.ATTEMPT_TIMEOUT, Counter.ATTEMPT_CONNECT_FAILED, Counter.ATTEMPT_RESET,
            Counter.ATTEMPT_CANCELLED, Counter.ATTEMPT_MOOT, Counter.ATTEMPT_MISS, Counter.BAD_INPUT,
            Counter.VALUES_UNFIT, Counter.INTERNAL_ERRORS);

    /**
     * The client's time-out in milliseconds. While no server is eligible, the decision module holds a request for a tenth
     * of it, enough for a probe; only an injected fault may exhaust that, however slow the machine. With a silent server
     * the whole time-out has to elapse, so it is shorter there.
     */
    private static int waitMs(Fault... faults) {
        return Stream.of(faults).anyMatch(fault -> fault.kind() == Kind.SILENT) ? 2_500 : 20_000;
    }

    private static Step read(String id, String requestClass, Fault... faults) {
        return new Step(id, "SELECT data FROM facts WHERE code = 'k1' /* id=" + id + ",c=" + requestClass
                + ",d=" + waitMs(faults) + ",cluster=1 */", false, faults);
    }

    private static Step write(String id, Fault... faults) {
        return new Step(id, "INSERT INTO facts (code, data) VALUES ('k1', '\\x9f') RETURNING data /* id=" + id
                + ",c=save-quote,d=" + waitMs(faults) + ",cluster=1 */", false, faults);
    }

    private static Step disconnecting(Step step) {
        return new Step(step.id(), step.sql(), true, step.faults());
    }

    private static List<Fault> faults() {
        List<Fault> faults = new ArrayList<>();
        for (Kind kind : List.of(Kind.SILENT, Kind.RESET)) {
            for (Phase phase : Phase.values()) {
                faults.add(Fault.of(kind, phase));
            }
        }
        faults.add(Fault.of(Kind.SPOILT, Phase.BEFORE_RUN));
        faults.add(Fault.of(Kind.SPOILT, Phase.AFTER_RUN));
        faults.add(Fault.of(Kind.ERROR, Phase.BEFORE_RUN));
        faults.add(Fault.of(Kind.ERROR, Phase.AFTER_RUN));
        faults.add(Fault.of(Kind.FULL, Phase.BEFORE_RUN));
        faults.add(Fault.of(Kind.MISS, Phase.BEFORE_RUN));
        return faults;
    }

    private static List<Scenario> scenarios() {
        List<Scenario> all = new ArrayList<>();
        for (Fault fault : faults()) {
            String name = fault.kind() + " " + fault.phase();
            all.add(new Scenario("a read encounters " + name, List.of(read("r1", "history", fault), read("r2", "history"))));
            all.add(new Scenario("a write encounters " + name, List.of(write("w1", fault))));
            if (fault.kind() != Kind.SILENT) {
                all.add(new Scenario("a session's read after its write encounters " + name,
                        List.of(write("w1"), read("r1", "my-quotes", fault))));
            }
        }
        Fault reset = Fault.of(Kind.RESET, Phase.AFTER_RUN);
        Fault full = Fault.of(Kind.FULL, Phase.BEFORE_RUN);
        all.add(new Scenario("no faults", List.of(write("w1"), read("r1", "my-quotes"), read("r2", "history"),
                read("r3", "rate-lookup"), read("r4", "quote-check"))));
        all.add(new Scenario("a read encounters two resets", List.of(read("r1", "history", reset, reset))));
        all.add(new Scenario("a write is refused once by a full server", List.of(write("w1", full, reset))));
        all.add(new Scenario("a client disconnects from an unanswered read",
                List.of(disconnecting(read("r1", "history", Fault.of(Kind.SILENT, Phase.AFTER_RUN))))));
        all.add(new Scenario("a client disconnects from an unanswered write",
                List.of(disconnecting(write("w1", Fault.of(Kind.SILENT, Phase.AFTER_RUN))))));
        all.add(new Scenario("bad input", List.of(read("r1", "no-such-class"),
                new Step("r2", "SELECT data FROM facts WHERE code = 'k1' /* id=r2,c=history,d=x,cluster=1 */", false),
                new Step("r3", "SELECT data FROM facts WHERE code = 'k1' /* id=r3,c=history,d=5,cluster=9 */", false),
                new Step("r4", "DROP TABLE facts /* id=r4,c=history,d=5,cluster=1 */", false),
                new Step("r5", "SELECT data FROM facts WHERE code = 'k1' /* id=r5,c=save-quote,d=50,cluster=1 */",
                        false))));
        return all;
    }

    @TestFactory
    Stream<DynamicTest> allProtocolPairsAgree() {
        List<Scenario> scenarios = scenarios();
        assertTrue(scenarios.size() >= 25);
        return scenarios.stream().map(scenario -> DynamicTest.dynamicTest(scenario.name(), () -> {
            List<CompletableFuture<Result>> results = new ArrayList<>();
            for (String kind : List.of(StandIns.PG_KIND, StandIns.FLIGHT_KIND)) {
                results.add(CompletableFuture.supplyAsync(() -> play(scenario, kind, false), threads));
                results.add(CompletableFuture.supplyAsync(() -> play(scenario, kind, true), threads));
            }
            Result first = results.get(0).get();
            for (int pair = 1; pair < PROTOCOL_PAIRS.size(); pair++) {
                assertEquals(first, results.get(pair).get(), PROTOCOL_PAIRS.get(pair) + " differs from " + PROTOCOL_PAIRS.get(0));
            }
            first.runs().forEach((id, runs) -> assertTrue(id.startsWith("r") || runs <= 1, id + " ran twice"));
        }));
    }

    private static Result play(Scenario scenario, String kind, boolean overFlight) {
        try (FlightFixture fixture = new FlightFixture(kind)) {
            List<String> answers = new ArrayList<>();
            for (Step step : scenario.steps()) {
                fixture.standIns.group().planFaults(step.id(), step.faults());
                if (step.disconnects()) {
                    Runnable awaitReceived = () -> FlightFixture.await(() -> fixture.standIns.group().runCounts().containsKey(step.id()));
                    answers.add(overFlight ? fixture.queryFlightAndCancel(step.sql(), awaitReceived)
                            : fixture.queryPgAndDisconnect(step.sql(), awaitReceived));
                } else {
                    answers.add(overFlight ? fixture.queryFlight(step.sql()) : fixture.queryPg(step.sql()));
                }
                fixture.awaitIdle();
            }
            Map<String, Long> counters = new TreeMap<>();
            COMPARED_COUNTERS.forEach(counter -> counters.put(counter.toString(), fixture.counter(counter)));
            return new Result(answers, counters, new TreeMap<>(fixture.standIns.group().runCounts()));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
