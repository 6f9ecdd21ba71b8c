package holdmux.app.demo;

import holdmux.Pooler;
import holdmux.app.demo.QuoteClient.Ending;
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
 * The whole of it on one machine: three stand-in servers of each protocol's kind, discovery, a pooler with both fronts,
 * and a small load over both; at the end a table by front and class.
 */
public final class Demo {
    private static final int MEMORY_MB = 512, SOCKETS = 4_096, CLIENTS = 4;
    private static final int PAUSE_MS = 5;
    /** Latencies up to a minute, to three digits. */
    private static final long MOST_US = 60_000_000;
    /** Classes with how many of 100 requests are theirs, as in a quote service on a usual day. */
    private static final Map<String, Integer> SHARES = new LinkedHashMap<>();

    static {
        SHARES.put("rate-lookup", 36);
        SHARES.put("my-quotes", 29);
        SHARES.put("history", 28);
        SHARES.put("quote-check", 1);
        SHARES.put("save-quote", 6);
    }

    private final Duration length;
    private final boolean stay;
    private final PrintStream out;

    /** What came of one class over one front. */
    private static final class Row {
        private final Map<Ending, AtomicLong> endings = new EnumMap<>(Ending.class);
        private final Histogram served = new ConcurrentHistogram(MOST_US, 3);

        Row() {
            for (Ending ending : Ending.values()) {
                endings.put(ending, new AtomicLong());
            }
        }

        void add(Ending ending, long us) {
            endings.get(ending).incrementAndGet();
            if (ending == Ending.SERVED) {
                served.recordValue(Math.min(us, MOST_US));
            }
        }

        long asked() {
            return endings.values().stream().mapToLong(AtomicLong::get).sum();
        }
    }

    /** {@code stay}: goes on serving after the load. */
    public Demo(Duration length, boolean stay, PrintStream out) {
        this.length = length;
        this.stay = stay;
        this.out = out;
    }

    /** Runs it; the exit code is 0 when every request had its answer, else 1. */
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
            Map<String, Row> rows = new LinkedHashMap<>();
            load(rows, pgPort, flightPort, allocator);
            print(rows, standIns);
            if (stay) {
                out.println("Serving until Ctrl-C.");
                Thread.currentThread().join();
            }
            pooler.fronts().stopAccepting();
            return rows.values().stream().allMatch(row -> row.asked() > 0)
                    && standIns.group().runCounts().entrySet().stream()
                            .noneMatch(run -> run.getKey().startsWith("w") && run.getValue() > 1) ? 0 : 1;
        }
    }

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

    private void load(Map<String, Row> rows, int pgPort, int flightPort, BufferAllocator allocator) throws Exception {
        long end = System.nanoTime() + length.toNanos();
        List<Thread> threads = new ArrayList<>();
        for (String front : List.of("PostgreSQL", "Flight SQL")) {
            for (String type : SHARES.keySet()) {
                rows.put(front + " " + type, new Row());
            }
            for (int i = 0; i < CLIENTS; i++) {
                Random random = new Random(i);
                QuoteClient client = front.equals("PostgreSQL") ? new PgClient(pgPort)
                        : new FlightQuoteClient(flightPort, allocator);
                Thread thread = new Thread(() -> ask(client, random, front, rows, end), "demo client");
                thread.start();
                threads.add(thread);
            }
        }
        boolean terminal = System.console() != null;
        while (System.nanoTime() < end) {
            Thread.sleep(Math.max(1, Math.min(200, (end - System.nanoTime()) / 1_000_000)));
            if (terminal) {
                out.printf("\r%5.1f s to go, %d asked ", Math.max(0, (end - System.nanoTime()) / 1e9),
                        rows.values().stream().mapToLong(Row::asked).sum());
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

    private static void ask(QuoteClient client, Random random, String front, Map<String, Row> rows, long end) {
        try (client) {
            while (System.nanoTime() < end) {
                int draw = random.nextInt(100);
                String type = "history";
                for (Map.Entry<String, Integer> share : SHARES.entrySet()) {
                    draw -= share.getValue();
                    if (draw < 0) {
                        type = share.getKey();
                        break;
                    }
                }
                boolean write = type.equals("save-quote");
                String figures = "/* id=" + (write ? "w" : "r") + UUID.randomUUID().toString().replace("-", "") + ",c=" + type
                        + ",d=1000,cluster=1 */";
                String key = "k" + random.nextInt(50);
                String sql = write ? "INSERT INTO facts (code, data) VALUES ('" + key + "', '\\x9f03') RETURNING data " + figures
                        : "SELECT data FROM facts WHERE code = '" + key + "' " + figures;
                long from = System.nanoTime();
                Ending ending = client.ask(sql);
                rows.get(front + " " + type).add(ending, (System.nanoTime() - from) / 1_000);
                Thread.sleep(PAUSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void print(Map<String, Row> rows, StandIns standIns) {
        out.printf("%-24s %8s %8s %8s %8s %9s %9s%n", "front and class", "asked", "served", "refused", "failed", "p50 ms",
                "p99 ms");
        rows.forEach((name, row) -> out.printf("%-24s %8d %8d %8d %8d %9.2f %9.2f%n", name, row.asked(),
                row.endings.get(Ending.SERVED).get(), row.endings.get(Ending.REFUSED).get(),
                row.endings.get(Ending.FAILED).get(), row.served.getValueAtPercentile(50) / 1e3,
                row.served.getValueAtPercentile(99) / 1e3));
        long twice = standIns.group().runCounts().entrySet().stream()
                .filter(run -> run.getKey().startsWith("w") && run.getValue() > 1).count();
        out.println("Writes that ran more than once: " + twice);
    }
}
