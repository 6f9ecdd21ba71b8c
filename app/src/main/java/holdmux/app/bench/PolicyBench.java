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
 * What the fleet's policy costs and how fast it takes hold, on a small fleet of real processes here: the time from a
 * proposal to the last pooler on the new version, the store's part of a request's time (two poolers in turn, one under the
 * store and one under its file alone), and how long one that was stopped for a while takes to catch up.
 */
public final class PolicyBench {
    private static final int MEMBERS = 3, FOLLOWERS = 3, CHANGES = 30, WARM = 2_000, REQUESTS = 1_500, CATCH_UPS = 3;
    private static final long STOPPED_MS = 60_000;

    private final int rounds;
    private final PrintStream out;

    /** {@code rounds}: pairs of the comparison of request times. */
    public PolicyBench(int rounds, PrintStream out) {
        this.rounds = rounds;
        this.out = out;
    }

    public int run() throws Exception {
        PolicyFleet fleet = new PolicyFleet(MEMBERS, FOLLOWERS, 60_000);
        try (fleet) {
            fleet.startAll();
            fleet.change(0);
            fleet.awaitAll();
            takesHold(fleet);
            requests(fleet);
            catchUp(fleet);
        }
        fleet.forget();
        return 0;
    }

    private void takesHold(PolicyFleet fleet) throws Exception {
        Histogram us = new Histogram(3);
        for (int i = 0; i < CHANGES; i++) {
            long start = System.nanoTime();
            fleet.change(0);
            fleet.awaitAll();
            us.recordValue((System.nanoTime() - start) / 1_000);
        }
        out.printf("propose to the last of %d poolers on the new version, no delay asked, %d changes: p50 %d ms, p99 %d ms, "
                + "most %d ms%n", MEMBERS + FOLLOWERS, CHANGES, us.getValueAtPercentile(50) / 1_000,
                us.getValueAtPercentile(99) / 1_000, us.getMaxValue() / 1_000);
    }

    /** Ratios of p50 and p99 with the store and without, a pair a round, in an order drawn anew each time. */
    private void requests(PolicyFleet fleet) throws Exception {
        PoolerProcess with = fleet.follower();
        PoolerProcess without = fleet.alone();
        measure(with, WARM);
        measure(without, WARM);
        Random random = new Random(1);
        List<Double> p50 = new ArrayList<>();
        List<Double> p99 = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            Map<PoolerProcess, Histogram> us = new HashMap<>();
            List<PoolerProcess> order = new ArrayList<>(List.of(with, without));
            Collections.shuffle(order, random);
            for (PoolerProcess pooler : order) {
                us.put(pooler, measure(pooler, REQUESTS));
            }
            p50.add(us.get(with).getValueAtPercentile(50) / (double) us.get(without).getValueAtPercentile(50));
            p99.add(us.get(with).getValueAtPercentile(99) / (double) us.get(without).getValueAtPercentile(99));
        }
        out.println("a read's time with the store on against off, " + rounds + " pairs: p50 " + spread(p50) + ", p99 "
                + spread(p99));
    }

    private static Histogram measure(PoolerProcess pooler, int requests) throws Exception {
        Histogram us = new Histogram(3);
        try (PgClient talk = pooler.talk()) {
            for (int i = 0; i < requests; i++) {
                long start = System.nanoTime();
                talk.query("SELECT data FROM facts WHERE code = 'k1' /* id=b" + i + ",c=rate-lookup,d=1000,cluster=1 */",
                        new HashMap<>());
                us.recordValue((System.nanoTime() - start) / 1_000);
            }
        }
        return us;
    }

    private static String spread(List<Double> ratios) {
        List<Double> sorted = ratios.stream().sorted().toList();
        return String.format("%.3f (%.3f to %.3f)", sorted.get(sorted.size() / 2), sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    private void catchUp(PolicyFleet fleet) throws Exception {
        List<Long> ms = new ArrayList<>();
        for (int i = 0; i < CATCH_UPS; i++) {
            PoolerProcess stopped = fleet.follower();
            stopped.signal("STOP");
            long began = System.nanoTime();
            fleet.change(0);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, STOPPED_MS * 1_000_000 - (System.nanoTime() - began)));
            long start = System.nanoTime();
            stopped.signal("CONT");
            fleet.awaitAll();
            ms.add((System.nanoTime() - start) / 1_000_000);
        }
        out.println("on the new version after a minute stopped: " + ms.stream().sorted().toList() + " ms");
    }
}
