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
 * The same scripts over both fronts and both kinds of server: what clients are told, what the counters say and how often
 * each id ran must be the same in all four ways. Guards against a second way in that skips rules the first one keeps.
 */
class ParityTest {
    /** One request: its id is its name; the faults its runs meet, and whether its client leaves once it was asked. */
    private record Step(String id, String sql, boolean disconnects, Fault... faults) {}

    private record Scenario(String name, List<Step> steps) {}

    /** What one way of playing a scenario came to. */
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
     * A client's wait in milliseconds. The module holds what no server fits for a tenth of it, a probe's time: nothing
     * but a fault may use that up, however slow the machine. Silence has to use up the whole wait, so there it is shorter.
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
            all.add(new Scenario("a read meets " + name, List.of(read("r1", "history", fault), read("r2", "history"))));
            all.add(new Scenario("a write meets " + name, List.of(write("w1", fault))));
            if (fault.kind() != Kind.SILENT) {
                all.add(new Scenario("a session's read behind its write meets " + name,
                        List.of(write("w1"), read("r1", "my-quotes", fault))));
            }
        }
        Fault reset = Fault.of(Kind.RESET, Phase.AFTER_RUN);
        Fault full = Fault.of(Kind.FULL, Phase.BEFORE_RUN);
        all.add(new Scenario("nothing goes wrong", List.of(write("w1"), read("r1", "my-quotes"), read("r2", "history"),
                read("r3", "rate-lookup"), read("r4", "quote-check"))));
        all.add(new Scenario("a read meets two resets", List.of(read("r1", "history", reset, reset))));
        all.add(new Scenario("a write is too much once", List.of(write("w1", full, reset))));
        all.add(new Scenario("a client leaves its silent read",
                List.of(disconnecting(read("r1", "history", Fault.of(Kind.SILENT, Phase.AFTER_RUN))))));
        all.add(new Scenario("a client leaves its silent write",
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
                assertEquals(first, results.get(pair).get(), PROTOCOL_PAIRS.get(pair) + " beside " + PROTOCOL_PAIRS.get(0));
            }
            first.runs().forEach((id, runs) -> assertTrue(id.startsWith("r") || runs <= 1, id + " ran twice"));
        }));
    }

    private static Result play(Scenario scenario, String kind, boolean overFlight) {
        try (FlightFixture rig = new FlightFixture(kind)) {
            List<String> answers = new ArrayList<>();
            for (Step step : scenario.steps()) {
                rig.standIns.group().planFaults(step.id(), step.faults());
                if (step.disconnects()) {
                    Runnable awaitReceived = () -> FlightFixture.await(() -> rig.standIns.group().runCounts().containsKey(step.id()));
                    answers.add(overFlight ? rig.queryFlightAndCancel(step.sql(), awaitReceived) : rig.queryPgAndDisconnect(step.sql(), awaitReceived));
                } else {
                    answers.add(overFlight ? rig.queryFlight(step.sql()) : rig.queryPg(step.sql()));
                }
                rig.awaitIdle();
            }
            Map<String, Long> counters = new TreeMap<>();
            COMPARED_COUNTERS.forEach(counter -> counters.put(counter.toString(), rig.counter(counter)));
            return new Result(answers, counters, new TreeMap<>(rig.standIns.group().runCounts()));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
