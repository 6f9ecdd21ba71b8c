package holdmux.app.bench;

import holdmux.app.demo.PgClient;
import holdmux.app.drill.PolicyFleet;
import holdmux.app.drill.PoolerProcess;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the fleet policy on a small fleet of local processes: the time from a proposal until the last pooler serves the new
 * version, the effect of the store on request latency (alternating between a pooler that follows the store and one that reads
 * its policy from its file), and how long a pooler that was stopped takes to catch up.
 */
public final class PolicyBench {
    private static final int MEMBERS = 3, FOLLOWERS = 3, CHANGES = 30, WARM_UP_REQUESTS = 2_000, REQUESTS = 1_500, CATCH_UPS = 3;
    private static final long STOPPED_MS = 60_000;

    private final int rounds;
    private final PrintStream out;

    /** {@code rounds}: measured pairs of the latency comparison. */
    public PolicyBench(int rounds, PrintStream out) {
        this.rounds = rounds;
        this.out = out;
    }

    /** Runs all measurements. Returns exit code 0. */
    public int run() throws Exception {
        PolicyFleet fleet = new PolicyFleet(MEMBERS, FOLLOWERS, 60_000);
        try (fleet) {
            fleet.startAll();
            fleet.changePolicy(0);
            fleet.requireAgreement();
            measurePropagation(fleet);
            compareLatency(fleet);
            measureCatchUp(fleet);
        }
        fleet.deleteFiles();
        return 0;
    }

    /** Measures the time from a proposal until the last pooler serves the new version. */
    private void measurePropagation(PolicyFleet fleet) throws Exception {
        Histogram durationUs = new Histogram(3);
        for (int i = 0; i < CHANGES; i++) {
            long startNs = System.nanoTime();
            fleet.changePolicy(0);
            fleet.requireAgreement();
            durationUs.recordValue((System.nanoTime() - startNs) / 1_000);
        }
        out.printf("propose to the last of %d poolers on the new version, no delay asked, %d changes: p50 %d ms, p99 %d ms, "
                + "most %d ms%n", MEMBERS + FOLLOWERS, CHANGES, durationUs.getValueAtPercentile(50) / 1_000,
                durationUs.getValueAtPercentile(99) / 1_000, durationUs.getMaxValue() / 1_000);
    }

    /** Ratios of p50 and p99 latency with and without the store, one pair per round in random order. */
    private void compareLatency(PolicyFleet fleet) throws Exception {
        PoolerProcess withStore = fleet.follower();
        PoolerProcess withoutStore = fleet.startStandalone();
        measureLatency(withStore, WARM_UP_REQUESTS);
        measureLatency(withoutStore, WARM_UP_REQUESTS);
        Random random = new Random(1);
        List<Double> p50Ratios = new ArrayList<>();
        List<Double> p99Ratios = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            Map<PoolerProcess, Histogram> latencies = new HashMap<>();
            List<PoolerProcess> order = new ArrayList<>(List.of(withStore, withoutStore));
            Collections.shuffle(order, random);
            for (PoolerProcess pooler : order) {
                latencies.put(pooler, measureLatency(pooler, REQUESTS));
            }
            p50Ratios.add(latencies.get(withStore).getValueAtPercentile(50)
                    / (double) latencies.get(withoutStore).getValueAtPercentile(50));
            p99Ratios.add(latencies.get(withStore).getValueAtPercentile(99)
                    / (double) latencies.get(withoutStore).getValueAtPercentile(99));
        }
        out.println("a read's time with the store on against off, " + rounds + " pairs: p50 " + medianAndRange(p50Ratios) + ", p99 "
                + medianAndRange(p99Ratios));
    }

    /** Sends reads one after the other. Returns their latencies in microseconds. */
    private static Histogram measureLatency(PoolerProcess pooler, int requests) throws Exception {
        Histogram latencyUs = new Histogram(3);
        try (PgClient client = pooler.connect()) {
            for (int i = 0; i < requests; i++) {
                long startNs = System.nanoTime();
                client.query("SELECT data FROM facts WHERE code = 'k1' /* id=b" + i + ",c=rate-lookup,d=1000,cluster=1 */",
                        new HashMap<>());
                latencyUs.recordValue((System.nanoTime() - startNs) / 1_000);
            }
        }
        return latencyUs;
    }

    /** Formats the median and, in brackets, the smallest and largest ratio. */
    private static String medianAndRange(List<Double> ratios) {
        List<Double> sorted = ratios.stream().sorted().toList();
        return String.format("%.3f (%.3f to %.3f)", sorted.get(sorted.size() / 2), sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    /** Measures how long a pooler takes to serve the new version after it was stopped for a minute. */
    private void measureCatchUp(PolicyFleet fleet) throws Exception {
        List<Long> durationsMs = new ArrayList<>();
        for (int i = 0; i < CATCH_UPS; i++) {
            PoolerProcess stopped = fleet.follower();
            stopped.signal("STOP");
            long stoppedNs = System.nanoTime();
            fleet.changePolicy(0);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, STOPPED_MS * 1_000_000 - (System.nanoTime() - stoppedNs)));
            long resumedNs = System.nanoTime();
            stopped.signal("CONT");
            fleet.requireAgreement();
            durationsMs.add((System.nanoTime() - resumedNs) / 1_000_000);
        }
        out.println("on the new version after a minute stopped: " + durationsMs.stream().sorted().toList() + " ms");
    }
}
