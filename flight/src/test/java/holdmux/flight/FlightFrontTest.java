package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Counters.Counter;
import holdmux.core.Services;
import holdmux.decision.SplitterApi.Role;
import holdmux.standins.Fault;
import holdmux.standins.Fault.Kind;
import holdmux.standins.Fault.Phase;
import holdmux.standins.StandIns;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.arrow.flight.CallOption;
import org.apache.arrow.flight.FlightCallHeaders;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStatusCode;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.HeaderCallOption;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.flight.sql.impl.FlightSql.SqlInfo;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the Flight SQL front over sockets, with Arrow's client and stand-in servers. */
@Timeout(90)
class FlightFrontTest {
    private static String writeStatement(String id, int waitMs) {
        return "INSERT INTO facts (code, data) VALUES ('k" + id + "', '\\x9f') RETURNING data /* id=" + id
                + ",c=save-quote,d=" + waitMs + ",cluster=1 */";
    }

    private static String ratesQuery(String id, String size) {
        return "SELECT * FROM rates WHERE code = '" + size + "' /* id=" + id + ",c=history,d=1500,cluster=1 */";
    }

    private static String valueQuery(String id, String key) {
        return "SELECT data FROM facts WHERE code = '" + key + "' /* id=" + id + ",c=history,d=1500,cluster=1 */";
    }

    /** Guards against a copy of an open request that comes by the same or the other protocol: it ran twice. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCopyOfAnOpenRequestIsRefusedByBothFronts(boolean openedOverFlight) throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            fixture.standIns.group().planFaults("w1", Fault.of(Kind.SILENT, Phase.AFTER_RUN));
            String write = writeStatement("w1", 1_500);
            ExecutorService pool = Executors.newSingleThreadExecutor();
            try (FlightSqlClient other = fixture.connect()) {
                Future<String> open = pool.submit(() -> openedOverFlight ? fixture.queryFlight(write) : fixture.queryPg(write));
                FlightFixture.await(() -> fixture.standIns.group().runCounts().containsKey("w1"));
                assertEquals(FlightFixture.BAD, fixture.queryPg(write));
                assertEquals(FlightFixture.BAD, redeem(other, ticket(other.execute(write)), new AtomicInteger()));
                assertEquals(FlightFixture.FAILED, open.get());
                assertEquals(FlightFixture.BAD, fixture.queryPg(write), "it may still run at its server");
            } finally {
                pool.shutdown();
            }
            assertEquals(Map.of("w1", 1), fixture.standIns.group().runCounts());
            assertEquals(3, fixture.counter(Counter.IDS_REUSED));
        }
    }

    private static Ticket ticket(FlightInfo info) {
        return info.getEndpoints().get(0).getTicket();
    }

    /** Redeems a ticket; returns how that ended and counts the batches received. */
    private static String redeem(FlightSqlClient client, Ticket ticket, AtomicInteger batchCount) throws Exception {
        try (FlightStream stream = client.getStream(ticket)) {
            while (stream.next()) {
                batchCount.incrementAndGet();
            }
            return FlightFixture.SERVED;
        } catch (FlightRuntimeException e) {
            return e.status().code() == FlightStatusCode.NOT_FOUND ? "used" : FlightFixture.resultOf(e);
        }
    }

    private static <T> List<T> runConcurrently(int threads, List<Callable<T>> tasks) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<T> results = new ArrayList<>();
            for (Future<T> future : pool.invokeAll(tasks)) {
                results.add(future.get());
            }
            return results;
        } finally {
            pool.shutdown();
        }
    }

    /** A write ticket runs once, even if many threads on several connections redeem it concurrently. */
    @Test
    void twoHundredThreadsRedeemOneWriteTicketOnce() throws Exception {
        int threads = 200;
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            Ticket ticket = ticket(fixture.client().execute(writeStatement("w1", 3_000)));
            List<FlightSqlClient> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                clients.add(fixture.connect());
            }
            CyclicBarrier start = new CyclicBarrier(threads);
            List<Callable<String>> tasks = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                FlightSqlClient client = clients.get(i % clients.size());
                tasks.add(() -> {
                    start.await();
                    return redeem(client, ticket, new AtomicInteger());
                });
            }
            List<String> results = runConcurrently(threads, tasks);
            assertEquals(1, results.stream().filter(FlightFixture.SERVED::equals).count());
            assertEquals(threads - 1, results.stream().filter("used"::equals).count());
            assertEquals(Map.of("w1", 1), fixture.standIns.group().runCounts());
            assertEquals(1, fixture.counter(Counter.REQUESTS_TAKEN));
            for (FlightSqlClient client : clients) {
                client.close();
            }
        }
    }

    /** If the server fails in the middle of a table, the client gets an error or a complete table from a retry, never a truncated one. */
    @Test
    void truncatedTableIsNeverServedAsComplete() throws Exception {
        int batches = 200;
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            List<Callable<String>> tasks = new ArrayList<>();
            for (int i = 0; i < batches; i++) {
                String id = "r" + i;
                fixture.standIns.group().planFaults(id, new Fault(i % 2 == 0 ? Kind.RESET : Kind.ERROR, Phase.MIDWAY, i));
                tasks.add(() -> {
                    AtomicInteger received = new AtomicInteger();
                    String result = redeem(fixture.client(), ticket(fixture.client().execute(ratesQuery(id, "200x5"))), received);
                    return result.equals(FlightFixture.SERVED) ? "served " + received : result;
                });
            }
            List<String> results = runConcurrently(2, tasks);
            assertTrue(results.stream().allMatch(e -> e.equals("served 200") || e.equals(FlightFixture.FAILED)
                    || e.equals(FlightFixture.REFUSED)), results.toString());
            assertTrue(results.stream().filter(FlightFixture.FAILED::equals).count() > batches / 2, results.toString());
            assertEquals(0, fixture.counter(Counter.INTERNAL_ERRORS));
        }
    }

    /** A table that is not a single value cannot be returned to a PostgreSQL client: the request fails and is counted, never truncated. */
    @Test
    void tableThatIsNotOneValueFailsOnThePostgresFront() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            assertEquals(FlightFixture.FAILED, fixture.queryPg(valueQuery("r1", "2x5")));
            assertEquals(FlightFixture.FAILED, fixture.queryPg(valueQuery("r2", "300x5000"))); // longer than the buffer for single values
            assertEquals(2, fixture.counter(Counter.VALUES_UNFIT));
            assertEquals(2, fixture.counter(Counter.ATTEMPTS));
            FlightFixture.await(() -> fixture.extension.streamBytes() == 0); // a probe in progress holds some for its answer
        }
    }

    /** Columns, values and dictionaries of a table are relayed unchanged, and its schema is cached for later plans. */
    @Test
    void tableIsRelayedUnchanged() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            FlightInfo info = fixture.client().execute(ratesQuery("r1", "7x100"));
            long sum = 0;
            try (FlightStream stream = fixture.client().getStream(ticket(info))) {
                while (stream.next()) {
                    VectorSchemaRoot root = stream.getRoot();
                    for (int row = 0; row < root.getRowCount(); row++) {
                        sum += (long) root.getVector("number").getObject(row);
                        assertEquals(row % 3, root.getVector("lender").getObject(row));
                    }
                    assertEquals("lender 2", stream.getDictionaryProvider().lookup(1).getVector().getObject(2).toString());
                }
            }
            assertEquals(700 * 699 / 2, sum);
            assertEquals(List.of("number", "lender"), fixture.client().execute(ratesQuery("r2", "9x9")).getSchemaOptional()
                    .orElseThrow().getFields().stream().map(Field::getName).toList());
        }
    }

    /**
     * A write never runs twice when the primary stops answering in any phase of it (one write in four here). The client
     * always gets an answer. The bound of five times its deadline allows for a busy machine, so this does not show that
     * every answer is in time.
     */
    @Test
    void writeRunsAtMostOnceWhenThePrimaryStopsAnswering() throws Exception {
        int writes = 1_000;
        int waitMs = 400;
        Random random = new Random(42);
        for (String kind : List.of(StandIns.FLIGHT_KIND, StandIns.PG_KIND)) {
            try (FlightFixture fixture = new FlightFixture(kind)) {
                List<Callable<String>> tasks = new ArrayList<>();
                for (int i = 0; i < writes / 2; i++) {
                    String id = "w" + i;
                    int draw = random.nextInt(12); // one write in four gets no answer; with more, no server would be left to try
                    if (draw < 3) {
                        fixture.standIns.group().planFaults(id, Fault.of(Kind.SILENT, Phase.values()[draw]));
                    }
                    tasks.add(() -> {
                        long startNs = System.nanoTime();
                        String result = fixture.queryFlight(writeStatement(id, waitMs));
                        long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
                        return elapsedMs < 5 * waitMs ? result : "late";
                    });
                }
                List<String> results = runConcurrently(16, tasks);
                assertTrue(results.stream().allMatch(
                        e -> List.of(FlightFixture.SERVED, FlightFixture.FAILED, FlightFixture.REFUSED).contains(e)), results.toString());
                Map<String, Integer> runs = fixture.standIns.group().runCounts();
                assertTrue(runs.values().stream().allMatch(n -> n == 1), runs.toString());
                for (int i = 0; i < results.size(); i++) {
                    assertTrue(!results.get(i).equals(FlightFixture.SERVED) || runs.containsKey("w" + i));
                    assertTrue(!results.get(i).equals(FlightFixture.REFUSED) || !runs.containsKey("w" + i), "refused but has run");
                }
            }
        }
    }

    /** A client that stops reading must not hold a thread and memory forever: its connection is closed, others continue. */
    @Test
    void clientThatStopsReadingIsDisconnected() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND); FlightSqlClient slow = fixture.connect()) {
            try (FlightStream stalled = slow.getStream(ticket(slow.execute(ratesQuery("r1", "400x20000"))))) {
                FlightFixture.await(() -> fixture.counter(Counter.READERS_CUT) == 1);
                assertEquals(FlightFixture.SERVED, fixture.queryFlight(ratesQuery("r2", "3x3")));
                assertThrows(FlightRuntimeException.class, () -> {
                    while (stalled.next()) {
                        // batches received before the connection was closed
                    }
                });
            }
        }
    }

    /** Guards against a former primary that is trusted on, although it stated its new role behind the table that it was sending. */
    @Test
    void theRoleBehindATableCounts() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND); FlightSqlClient client = fixture.connect()) {
            assertEquals(FlightFixture.SERVED, fixture.queryFlight(writeStatement("w1", 1_500)));
            String fresh = ratesQuery("r1", "400x2000").replace("c=history", "c=quote-check");
            try (FlightStream table = client.getStream(ticket(client.execute(fresh)))) {
                assertTrue(table.next());
                assertEquals(List.of("s-1"), fixture.standIns.group().executedOn("r1"));
                fixture.standIns.group().promote("s-2");
                while (table.next()) {
                    // up to the trailers, which state the role
                }
            }
            Services services = fixture.pooler.services();
            FlightFixture.await(() -> services.balancer().roles().known().stream().filter(known -> known.role() == Role.PRIMARY)
                    .map(known -> services.registry().name(known.store())).noneMatch("s-1"::equals));
        }
    }

    /** Calls over the limit are refused immediately and run nothing; later calls succeed once others have ended. */
    @Test
    void callsOverTheLimitAreRefusedImmediately() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND, 64)) { // 64 MB allow 32 concurrent calls
            Fault silent = Fault.of(Kind.SILENT, Phase.BEFORE_RUN);
            List<Ticket> tickets = new ArrayList<>();
            for (int i = 0; i < 48; i++) {
                String id = "r" + i;
                fixture.standIns.group().planFaults(id, silent, silent, silent, silent, silent, silent);
                tickets.add(ticket(fixture.client().execute(ratesQuery(id, "1x1").replace("d=1500", "d=3000"))));
            }
            List<Callable<String>> tasks = new ArrayList<>();
            tickets.forEach(ticket -> tasks.add(() -> redeem(fixture.client(), ticket, new AtomicInteger())));
            List<String> results = runConcurrently(tasks.size(), tasks);
            assertTrue(fixture.counter(Counter.CALLS_TURNED_AWAY) > 0, fixture.pooler.services().counters().toString());
            assertTrue(results.stream().allMatch(
                    e -> List.of(FlightFixture.SERVED, FlightFixture.REFUSED, FlightFixture.FAILED).contains(e)), results.toString());
            assertEquals(tasks.size(), fixture.counter(Counter.REQUESTS_TAKEN) + fixture.counter(Counter.CALLS_TURNED_AWAY),
                    fixture.pooler.services().counters().toString());
            FlightFixture.await(() -> fixture.queryFlight(ratesQuery("after", "1x1")).equals(FlightFixture.SERVED));
        }
    }

    /** Request attributes may come in call headers, for drivers that strip comments; comment and headers must not contradict. */
    @Test
    void requestAttributesMayComeInHeaders() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.PG_KIND)) {
            FlightCallHeaders headers = new FlightCallHeaders();
            headers.insert("c", "history");
            headers.insert("cluster", "1");
            CallOption option = new HeaderCallOption(headers);
            String sql = "SELECT data FROM facts WHERE code = 'k1'";
            assertEquals(FlightFixture.SERVED,
                    redeem(fixture.client(), ticket(fixture.client().execute(sql, option)), new AtomicInteger()));
            FlightRuntimeException e = assertThrows(FlightRuntimeException.class,
                    () -> fixture.client().execute(sql + " /* id=r1,c=my-quotes,cluster=1 */", option));
            assertEquals(FlightStatusCode.INVALID_ARGUMENT, e.status().code());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {StandIns.PG_KIND, StandIns.FLIGHT_KIND})
    void updatesAndPreparedStatementsWithParameters(String kind) throws Exception {
        try (FlightFixture fixture = new FlightFixture(kind)) {
            assertEquals(1, fixture.client().executeUpdate(writeStatement("w1", 900)));
            String attributes = " /* c=save-quote,d=900,cluster=1 */";
            try (FlightSqlClient.PreparedStatement insert = fixture.client()
                    .prepare("INSERT INTO facts (code, data) VALUES (?, ?) RETURNING data" + attributes);
                    VectorSchemaRoot row = VectorSchemaRoot.create(new Schema(List.of(
                            Field.nullable("a", ArrowType.Utf8.INSTANCE), Field.nullable("b", ArrowType.Utf8.INSTANCE))),
                            fixture.allocator)) {
                assertEquals(2, insert.getParameterSchema().getFields().size());
                ((VarCharVector) row.getVector(0)).setSafe(0, "it's".getBytes());
                ((VarCharVector) row.getVector(1)).setSafe(0, "\\x01".getBytes());
                row.setRowCount(1);
                insert.setParameters(row);
                assertEquals(1, insert.executeUpdate());
                assertEquals(1, insert.executeUpdate(), "each execution is a request of its own");
            }
            assertEquals(2, fixture.standIns.group().writeCount("it's"));
            try (FlightSqlClient.PreparedStatement read = fixture.client()
                    .prepare("SELECT data FROM facts WHERE code = 'it''s' /* c=my-quotes,cluster=1 */")) {
                assertEquals(FlightFixture.SERVED, redeem(fixture.client(), ticket(read.execute()), new AtomicInteger()));
            }
        }
    }

    @Test
    void catalogsSqlInfoAndCountersAreAnsweredByThePooler() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.PG_KIND)) {
            FlightSqlClient client = fixture.client();
            AtomicInteger batches = new AtomicInteger();
            for (FlightInfo info : List.of(client.getCatalogs(), client.getSchemas(null, null), client.getTableTypes(),
                    client.getTables(null, null, "fact%", null, true), client.getPrimaryKeys(
                            org.apache.arrow.flight.sql.util.TableRef.of(null, null, "facts")),
                    client.getSqlInfo(SqlInfo.FLIGHT_SQL_SERVER_TRANSACTION), client.execute("show stats"))) {
                assertEquals(FlightFixture.SERVED, redeem(client, ticket(info), batches));
            }
            assertEquals(7, batches.get());
            assertEquals(0, fixture.counter(Counter.ATTEMPTS));
            FlightRuntimeException e = assertThrows(FlightRuntimeException.class,
                    () -> client.beginTransaction());
            assertEquals(FlightStatusCode.UNIMPLEMENTED, e.status().code());
        }
    }

    /** A drain sends GOAWAY and completes the calls already accepted; evacuating clients can be revoked. */
    @Test
    void acceptedRequestsAreAnsweredDuringADrain() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            Ticket ticket = ticket(fixture.client().execute(ratesQuery("r1", "50x2000")));
            fixture.pooler.fronts().setEvacuating(true);
            // the client may not have received GOAWAY yet
            FlightFixture.await(() -> fixture.queryFlight(ratesQuery("r2", "1x1")).contains("UNAVAILABLE"));
            fixture.pooler.fronts().setEvacuating(false);
            FlightFixture.await(() -> fixture.queryFlight(ratesQuery("r3", "1x1")).equals(FlightFixture.SERVED));
            AtomicInteger batches = new AtomicInteger();
            try (FlightStream stream = fixture.client().getStream(ticket)) {
                stream.next();
                fixture.pooler.fronts().announceShutdown(3_000_000_000L);
                fixture.pooler.fronts().stopAccepting();
                while (stream.next()) {
                    batches.incrementAndGet();
                }
            }
            assertEquals(49, batches.get());
            FlightFixture.await(() -> fixture.pooler.fronts().openClients() == 0);
        }
    }

    /** A write whose outcome might come only after the process ends is refused with UNAVAILABLE. */
    @Test
    void writeThatMayOutliveTheProcessIsRefused() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            fixture.pooler.fronts().announceShutdown(1_000_000_000L);
            FlightRuntimeException e = assertThrows(FlightRuntimeException.class, () -> {
                try (FlightStream stream = fixture.client().getStream(ticket(fixture.client().execute(writeStatement("w1", 3_000))))) {
                    stream.next();
                }
            });
            assertEquals(FlightStatusCode.UNAVAILABLE, e.status().code());
            assertEquals(Map.of(), fixture.standIns.group().runCounts());
        }
    }
}
