package holdmux.app.bench;

import holdmux.standins.StandIns;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;

/**
 * Measures the overhead of Flight SQL as ratios within one run. The pooler is a separate process on loopback, stand-in servers
 * and clients run in this one. The two sides of each comparison alternate, so that drift of the machine affects both.
 */
public final class FlightBench {
    private static final int TABLE_MIB = 64;
    /** Rows of a 1 MiB batch: a row is a long, an int and a validity bit for each. */
    private static final int ROWS_PER_MIB = (1 << 20) * 8 / (64 + 32 + 2);
    private static final int SMALL_READS = 400;
    private static final int LOAD_CLIENTS = 8;
    private static final long LOAD_DURATION_NS = 2_000_000_000L;
    /** Rounds that are not measured, while the JIT compiles gRPC and Netty. */
    private static final int WARM_UP_ROUNDS = 4;
    private static final int MEMORY_MB = 1_024, SOCKETS = 8_192;

    private final int rounds;
    private final PrintStream out;
    private final BufferAllocator allocator = new RootAllocator();
    private int lastId;

    /** {@code rounds}: measured pairs of each comparison. */
    public FlightBench(int rounds, PrintStream out) {
        this.rounds = rounds;
        this.out = out;
    }

    /** A pooler process in front of the stand-in servers. */
    private static final class BenchPooler implements AutoCloseable {
        final int pgPort = StandIns.freePort();
        final int flightPort = StandIns.freePort();
        private final Process process;
        private final Path folder = Files.createTempDirectory("holdmux-bench");

        BenchPooler(StandIns standIns, boolean oneCore) throws IOException {
            Path config = folder.resolve("config.json");
            Files.writeString(config, standIns.config(pgPort, MEMORY_MB, SOCKETS));
            List<String> command = new ArrayList<>();
            if (oneCore) {
                command.addAll(List.of("taskset", "-c", "0"));
            }
            command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "--add-opens=java.base/java.nio=ALL-UNNAMED", "-XX:+UseSerialGC", "-Xmx512m"));
            if (oneCore) {
                command.add("-XX:TieredStopAtLevel=1"); // as in deploy/balancer.toml: one core has no room for C2
            }
            command.addAll(List.of("-cp",
                    System.getProperty("java.class.path"), "holdmux.app.Main", "serve", "--flight", "127.0.0.1:" + flightPort,
                    "--flight-kinds", StandIns.FLIGHT_KIND));
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(folder.resolve("log").toFile());
            builder.environment().put("BALANCER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.start();
        }

        /** CPU time that the process has used. */
        double cpuMs() {
            return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e6;
        }

        /** Resident memory of the process. */
        double residentMb() throws IOException {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmRSS")).mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")))
                    .sum() / 1_024;
        }

        @Override
        public void close() throws Exception {
            process.destroy();
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }

    /** Runs the part of that name (tables, reads, fronts, memory), or all parts if it is empty. Returns exit code 0. */
    public int run(String part) throws Exception {
        try (StandIns flight = new StandIns(); StandIns pg = new StandIns()) {
            for (String name : List.of("s-1", "s-2", "s-3")) {
                flight.start(name, StandIns.FLIGHT_KIND);
                pg.start(name, StandIns.PG_KIND);
            }
            boolean runAll = part.isEmpty();
            try (BenchPooler pooler = new BenchPooler(flight, false)) {
                if (runAll || part.equals("tables")) {
                    measureTableThroughput(flight, pooler);
                }
                if (runAll || part.equals("reads")) {
                    measureSmallReads(flight, pooler);
                }
            }
            if (runAll || part.equals("fronts")) {
                try (BenchPooler pooler = new BenchPooler(pg, true)) {
                    compareFronts(pooler);
                }
            }
            if (runAll || part.equals("memory")) {
                try (BenchPooler pooler = new BenchPooler(flight, false)) {
                    measureSlowReaders(pooler);
                }
            }
        }
        return 0;
    }

    /** Opens a connection, retrying until the pooler answers a read. */
    private FlightSqlClient connect(int port) throws Exception {
        for (int attempts = 0;; attempts++) {
            FlightSqlClient client = new FlightSqlClient(
                    FlightClient.builder(allocator, Location.forGrpcInsecure("127.0.0.1", port)).build());
            try {
                read(client, smallQuery());
                return client;
            } catch (FlightRuntimeException e) {
                client.close(); // the pooler is not ready yet
                if (attempts > 200) {
                    throw e;
                }
                Thread.sleep(50);
            }
        }
    }

    /** The comment with a new request id, class, deadline and group that the pooler reads. */
    private synchronized String requestComment() {
        return " /* id=b" + ++lastId + ",c=history,d=30000,cluster=1 */";
    }

    private String smallQuery() {
        return "SELECT data FROM facts WHERE code = 'k'" + requestComment();
    }

    private String tableQuery(int batches) {
        return "SELECT * FROM rates WHERE code = '" + batches + "x" + ROWS_PER_MIB + "'" + requestComment();
    }

    /** Reads a whole result. Returns its number of rows. */
    private static int read(FlightSqlClient client, String sql) {
        FlightInfo info = client.execute(sql);
        int rows = 0;
        try (FlightStream stream = client.getStream(info.getEndpoints().get(0).getTicket())) {
            while (stream.next()) {
                rows += stream.getRoot().getRowCount();
            }
            return rows;
        } catch (FlightRuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Compares the throughput of reading a large table through the pooler and directly from the server. */
    private void measureTableThroughput(StandIns standIns, BenchPooler pooler) throws Exception {
        try (FlightSqlClient directClient = connect(standIns.address("s-2").getPort());
                FlightSqlClient pooledClient = connect(pooler.flightPort)) {
            double[] ratios = new double[rounds];
            double[] mibPerSecond = new double[rounds];
            for (int i = -WARM_UP_ROUNDS; i < rounds; i++) {
                double directSeconds = timeTableRead(directClient);
                double pooledSeconds = timeTableRead(pooledClient);
                if (i >= 0) {
                    ratios[i] = directSeconds / pooledSeconds;
                    mibPerSecond[i] = TABLE_MIB / pooledSeconds;
                }
            }
            out.printf("table of %d MiB, through the pooler / straight: throughput %s (%.0f MiB/s through)%n", TABLE_MIB,
                    medianAndQuartiles(ratios), quantile(mibPerSecond, 0.5));
        }
    }

    /** Reads a table. Returns the seconds it took. */
    private double timeTableRead(FlightSqlClient client) {
        long startNs = System.nanoTime();
        if (read(client, tableQuery(TABLE_MIB)) != TABLE_MIB * ROWS_PER_MIB) {
            throw new IllegalStateException("the table has missing rows");
        }
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Measures the latency that the pooler adds to small reads. */
    private void measureSmallReads(StandIns standIns, BenchPooler pooler) throws Exception {
        try (FlightSqlClient directClient = connect(standIns.address("s-2").getPort());
                FlightSqlClient pooledClient = connect(pooler.flightPort)) {
            double[] addedMedianMs = new double[rounds];
            double[] addedP99Ms = new double[rounds];
            for (int i = -WARM_UP_ROUNDS; i < rounds; i++) {
                Histogram direct = latencies(directClient);
                Histogram pooled = latencies(pooledClient);
                if (i >= 0) {
                    addedMedianMs[i] = (pooled.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / 1e3;
                    addedP99Ms[i] = (pooled.getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / 1e3;
                }
            }
            out.printf("a small read, added by the pooler: median %s ms, p99 %s ms%n", medianAndQuartiles(addedMedianMs),
                    medianAndQuartiles(addedP99Ms));
        }
    }

    private Histogram latencies(FlightSqlClient client) {
        Histogram histogram = new Histogram(60_000_000, 3);
        for (int i = 0; i < SMALL_READS; i++) {
            long startNs = System.nanoTime();
            read(client, smallQuery());
            histogram.recordValue((System.nanoTime() - startNs) / 1_000);
        }
        return histogram;
    }

    /** Compares both fronts over PostgreSQL servers with the pooler on one core: request rate and CPU time of a request. */
    private void compareFronts(BenchPooler pooler) throws Exception {
        connect(pooler.flightPort).close();
        double[] rateRatios = new double[rounds];
        double[] cpuRatios = new double[rounds];
        double[] pgRates = new double[rounds];
        double[] pgCpuMs = new double[rounds];
        for (int i = -WARM_UP_ROUNDS; i < rounds; i++) {
            double[] pg = measureLoad(pooler, () -> new Clients.PgReader(pooler.pgPort));
            double[] flight = measureLoad(pooler, () -> new Clients.FlightReader(connect(pooler.flightPort)));
            if (i >= 0) {
                rateRatios[i] = flight[0] / pg[0];
                cpuRatios[i] = flight[1] / pg[1];
                pgRates[i] = pg[0];
                pgCpuMs[i] = pg[1];
            }
        }
        out.printf("on one core, Flight SQL / PostgreSQL: requests a second %s, CPU a request %s (PostgreSQL: %.0f a second, "
                + "%.0f us)%n", medianAndQuartiles(rateRatios), medianAndQuartiles(cpuRatios), quantile(pgRates, 0.5),
                quantile(pgCpuMs, 0.5) * 1e3);
    }

    /** Runs a load. Returns requests per second and the pooler's CPU time for each request in milliseconds. */
    private double[] measureLoad(BenchPooler pooler, Callable<Clients.Reader> openReader) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(LOAD_CLIENTS);
        try {
            List<Clients.Reader> readers = new ArrayList<>();
            for (int i = 0; i < LOAD_CLIENTS; i++) {
                readers.add(openReader.call());
            }
            double cpuBeforeMs = pooler.cpuMs();
            long startNs = System.nanoTime();
            List<Callable<Integer>> tasks = new ArrayList<>();
            for (Clients.Reader reader : readers) {
                tasks.add(() -> {
                    int count = 0;
                    while (System.nanoTime() - startNs < LOAD_DURATION_NS) {
                        reader.read(smallQuery());
                        count++;
                    }
                    return count;
                });
            }
            int count = 0;
            for (Future<Integer> future : executor.invokeAll(tasks)) {
                count += future.get();
            }
            double seconds = (System.nanoTime() - startNs) / 1e9;
            double cpuUsedMs = pooler.cpuMs() - cpuBeforeMs;
            for (Clients.Reader reader : readers) {
                reader.close();
            }
            return new double[] {count / seconds, cpuUsedMs / count};
        } finally {
            executor.shutdown();
        }
    }

    /** Measures the pooler's memory while 1, 100 and 1000 streams are open whose clients stop reading after one batch. */
    private void measureSlowReaders(BenchPooler pooler) throws Exception {
        connect(pooler.flightPort).close();
        Thread.sleep(500);
        out.printf("memory: %.0f MB at rest", pooler.residentMb());
        for (int streamCount : new int[] {1, 100, 1_000}) {
            List<FlightStream> openStreams = new ArrayList<>();
            List<FlightSqlClient> clients = new ArrayList<>();
            double peakMb = 0;
            int refused = 0;
            for (int i = 0; i < streamCount; i++) {
                if (i % 50 == 0) {
                    clients.add(connect(pooler.flightPort));
                }
                FlightSqlClient client = clients.get(clients.size() - 1);
                try {
                    openStreams.add(client.getStream(client.execute(tableQuery(TABLE_MIB)).getEndpoints().get(0).getTicket()));
                } catch (FlightRuntimeException e) {
                    refused++;
                }
                peakMb = Math.max(peakMb, i % 20 == 0 ? pooler.residentMb() : 0);
            }
            long deadlineNs = System.nanoTime() + 3_000_000_000L;
            while (System.nanoTime() < deadlineNs) {
                peakMb = Math.max(peakMb, pooler.residentMb());
                Thread.sleep(50);
            }
            out.printf(", %.0f MB with %d open streams to slow readers%s", peakMb, streamCount,
                    refused > 0 ? " (" + refused + " refused)" : "");
            for (FlightStream stream : openStreams) {
                stream.cancel("enough", null);
                stream.close();
            }
            for (FlightSqlClient client : clients) {
                client.close();
            }
            Thread.sleep(500);
        }
        out.println();
    }

    /** Formats the median and, in brackets, the lower and upper quartile. */
    private static String medianAndQuartiles(double[] values) {
        return String.format("%.2f (%.2f to %.2f)", quantile(values, 0.5), quantile(values, 0.25), quantile(values, 0.75));
    }

    private static double quantile(double[] values, double fraction) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.round(fraction * (sorted.length - 1))];
    }
}
