package holdmux.app.demo;

import holdmux.Pooler;
import holdmux.app.demo.QuoteClient.Outcome;
import holdmux.config.Config;
import holdmux.core.Clock;
import holdmux.core.Workers;
import holdmux.flight.FlightExtension;
import holdmux.standins.StandIns;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;

/**
 * A complete deployment on one machine: three stand-in servers of both protocols, discovery, a pooler with both fronts, and
 * a small load over each front. Ends with a table of results by front and request class.
 */
public final class Demo {
    private static final int MEMORY_MB = 512, SOCKETS = 4_096, CLIENTS_PER_FRONT = 4;
    private static final int THINK_TIME_MS = 5;
    /** Latencies are recorded up to one minute, with three significant digits. */
    private static final long MAX_LATENCY_US = 60_000_000;
    /** Request classes and their share of the load in percent, a typical mix of a quote service. */
    private static final Map<String, Integer> CLASS_PERCENTAGES = new LinkedHashMap<>();

    static {
        CLASS_PERCENTAGES.put("rate-lookup", 36);
        CLASS_PERCENTAGES.put("my-quotes", 29);
        CLASS_PERCENTAGES.put("history", 28);
        CLASS_PERCENTAGES.put("quote-check", 1);
        CLASS_PERCENTAGES.put("save-quote", 6);
    }

    private final Duration duration;
    private final boolean stay;
    private final PrintStream out;

    /** Outcomes and latencies of one request class over one front. */
    private static final class ClassStats {
        private final Map<Outcome, AtomicLong> outcomes = new EnumMap<>(Outcome.class);
        private final Histogram servedLatencyUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);

        ClassStats() {
            for (Outcome outcome : Outcome.values()) {
                outcomes.put(outcome, new AtomicLong());
            }
        }

        void add(Outcome outcome, long latencyUs) {
            outcomes.get(outcome).incrementAndGet();
            if (outcome == Outcome.SERVED) {
                servedLatencyUs.recordValue(Math.min(latencyUs, MAX_LATENCY_US));
            }
        }

        long requestCount() {
            return outcomes.values().stream().mapToLong(AtomicLong::get).sum();
        }
    }

    /**
     * Creates a demo.
     *
     * @param duration how long the load lasts
     * @param stay     whether to keep serving after the load
     * @param out      where results are printed
     */
    public Demo(Duration duration, boolean stay, PrintStream out) {
        this.duration = duration;
        this.stay = stay;
        this.out = out;
    }

    /** Runs the demo. Returns exit code 0 if every class sent requests and no write ran more than once, otherwise 1. */
    public int run() throws Exception {
        int pgPort = StandIns.freePort();
        int flightPort = StandIns.freePort();
        try (StandIns standIns = new StandIns(); BufferAllocator allocator = new RootAllocator()) {
            standIns.start("s-1", StandIns.PG_KIND);
            standIns.start("s-2", StandIns.PG_KIND);
            standIns.start("s-3", StandIns.FLIGHT_KIND);
            Pooler pooler = pooler(standIns, pgPort, flightPort);
            out.println("A primary (s-1) and a replica (s-2) that speak PostgreSQL, a replica (s-3) that speaks Flight SQL.");
            out.println("PostgreSQL at 127.0.0.1:" + pgPort + ", Arrow Flight SQL at grpc://127.0.0.1:" + flightPort);
            out.println("  psql \"host=127.0.0.1 port=" + pgPort + " user=demo dbname=crm sslmode=disable\" -c \"SELECT data FROM"
                    + " facts WHERE code = '7f' /* id=1,c=history,d=1000,cluster=1 */\"");
            out.println("  jdbc:arrow-flight-sql://127.0.0.1:" + flightPort + "/?useEncryption=false&c=history&cluster=1   SELECT"
                    + " data FROM facts WHERE code = '7f'");
            Map<String, ClassStats> stats = new LinkedHashMap<>();
            runLoad(stats, pgPort, flightPort, allocator);
            printTable(stats, standIns);
            if (stay) {
                out.println("Serving until Ctrl-C.");
                Thread.currentThread().join();
            }
            pooler.fronts().stopAccepting();
            return stats.values().stream().allMatch(classStats -> classStats.requestCount() > 0)
                    && standIns.group().runCounts().entrySet().stream()
                            .noneMatch(run -> run.getKey().startsWith("w") && run.getValue() > 1) ? 0 : 1;
        }
    }

    /** Starts a pooler with both fronts in this process and waits until it is ready. */
    private static Pooler pooler(StandIns standIns, int pgPort, int flightPort) throws Exception {
        Path file = Files.createTempFile("holdmux-demo", ".json");
        try {
            Files.writeString(file, standIns.config(pgPort, MEMORY_MB, SOCKETS));
            Clock clock = new Clock();
            Config config = Config.load(Map.of("BALANCER_CONFIG", file.toString()), clock.now());
            Pooler pooler = new Pooler(config, List.of(new FlightExtension(new InetSocketAddress("127.0.0.1", flightPort),
                    Set.of(StandIns.FLIGHT_KIND))), clock);
            pooler.start();
            pooler.fronts().listen();
            pooler.warmUp();
            Workers.newThread("front", () -> {
                try {
                    pooler.run();
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }).start();
            pooler.awaitReady();
            return pooler;
        } finally {
            Files.delete(file);
        }
    }

    private void runLoad(Map<String, ClassStats> stats, int pgPort, int flightPort, BufferAllocator allocator) throws Exception {
        long endNs = System.nanoTime() + duration.toNanos();
        List<Thread> threads = new ArrayList<>();
        for (String front : List.of("PostgreSQL", "Flight SQL")) {
            for (String requestClass : CLASS_PERCENTAGES.keySet()) {
                stats.put(front + " " + requestClass, new ClassStats());
            }
            for (int i = 0; i < CLIENTS_PER_FRONT; i++) {
                Random random = new Random(i);
                QuoteClient client = front.equals("PostgreSQL") ? new PgClient(pgPort)
                        : new FlightQuoteClient(flightPort, allocator);
                Thread thread = new Thread(() -> runClient(client, random, front, stats, endNs), "demo client");
                thread.start();
                threads.add(thread);
            }
        }
        boolean terminal = System.console() != null;
        while (System.nanoTime() < endNs) {
            Thread.sleep(Math.max(1, Math.min(200, (endNs - System.nanoTime()) / 1_000_000)));
            if (terminal) {
                out.printf("\r%5.1f s to go, %d asked ", Math.max(0, (endNs - System.nanoTime()) / 1e9),
                        stats.values().stream().mapToLong(ClassStats::requestCount).sum());
                out.flush();
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        if (terminal) {
            out.print("\r");
        }
    }

    private static void runClient(QuoteClient client, Random random, String front, Map<String, ClassStats> stats, long endNs) {
        try (client) {
            while (System.nanoTime() < endNs) {
                int draw = random.nextInt(100);
                String requestClass = "history";
                for (Map.Entry<String, Integer> share : CLASS_PERCENTAGES.entrySet()) {
                    draw -= share.getValue();
                    if (draw < 0) {
                        requestClass = share.getKey();
                        break;
                    }
                }
                boolean write = requestClass.equals("save-quote");
                String requestComment = "/* id=" + (write ? "w" : "r") + UUID.randomUUID().toString().replace("-", "")
                        + ",c=" + requestClass + ",d=1000,cluster=1 */";
                String key = "k" + random.nextInt(50);
                String sql = write ? "INSERT INTO facts (code, data) VALUES ('" + key + "', '\\x9f03') RETURNING data " + requestComment
                        : "SELECT data FROM facts WHERE code = '" + key + "' " + requestComment;
                long startNs = System.nanoTime();
                Outcome outcome = client.execute(sql);
                stats.get(front + " " + requestClass).add(outcome, (System.nanoTime() - startNs) / 1_000);
                Thread.sleep(THINK_TIME_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void printTable(Map<String, ClassStats> stats, StandIns standIns) {
        out.printf("%-24s %8s %8s %8s %8s %9s %9s%n", "front and class", "asked", "served", "refused", "failed", "p50 ms",
                "p99 ms");
        stats.forEach((name, classStats) -> out.printf("%-24s %8d %8d %8d %8d %9.2f %9.2f%n", name, classStats.requestCount(),
                classStats.outcomes.get(Outcome.SERVED).get(), classStats.outcomes.get(Outcome.REFUSED).get(),
                classStats.outcomes.get(Outcome.FAILED).get(), classStats.servedLatencyUs.getValueAtPercentile(50) / 1e3,
                classStats.servedLatencyUs.getValueAtPercentile(99) / 1e3));
        long repeatedWrites = standIns.group().runCounts().entrySet().stream()
                .filter(run -> run.getKey().startsWith("w") && run.getValue() > 1).count();
        out.println("Writes that ran more than once: " + repeatedWrites);
    }
}
