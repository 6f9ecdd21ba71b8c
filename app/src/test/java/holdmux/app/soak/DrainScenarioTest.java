package holdmux.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.app.soak.DrainScenario.FaultType;
import holdmux.app.soak.DrainScenario.Result;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs {@link DrainScenario} with each fault alone and with pairs of faults, on real processes: a pooler that misses the drain in
 * a discovery answer, or loses it, sends requests to the draining server after the grace period.
 */
class DrainScenarioTest {
    /** Scenarios run in parallel: each is a process that mostly waits. */
    private static final int CONCURRENCY = Integer.getInteger("plays.at.once", 8);
    /** Pairs in each run; {@code -Dplays.pairs=1000} runs all of them. */
    private static final int PAIRS = Integer.getInteger("plays.pairs", 16);
    private static final long SEED = Long.getLong("plays.seed", 20261202L);

    @TempDir
    Path folder;

    @Test
    @Timeout(value = 5, unit = TimeUnit.MINUTES)
    void drainIsKeptUnderEachFault() throws Exception {
        List<Set<FaultType>> singles = new ArrayList<>();
        for (FaultType fault : FaultType.values()) {
            singles.add(EnumSet.of(fault));
        }
        assertAllPass(singles);
    }

    @Test
    @Timeout(value = 15, unit = TimeUnit.MINUTES)
    void drainIsKeptUnderPairsOfFaults() throws Exception {
        List<Set<FaultType>> pairs = new ArrayList<>();
        for (FaultType one : FaultType.values()) {
            for (FaultType other : EnumSet.range(one, FaultType.MOVE_BY_HALF_A_FILE)) {
                if (DrainScenario.areCompatible(one, other)) {
                    pairs.add(EnumSet.of(one, other));
                }
            }
        }
        Collections.shuffle(pairs, new Random(SEED));
        assertAllPass(pairs.subList(0, Math.min(PAIRS, pairs.size())));
    }

    private void assertAllPass(List<Set<FaultType>> faultSets) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(CONCURRENCY);
        try {
            List<Future<Result>> results = new ArrayList<>();
            for (Set<FaultType> faults : faultSets) {
                Path directory = Files.createDirectories(folder.resolve("play-" + results.size()));
                results.add(executor.submit(() -> DrainScenario.runScenario(faults, directory)));
            }
            List<Result> failures = new ArrayList<>();
            for (Future<Result> result : results) {
                System.out.println("drain play: " + result.get());
                if (!result.get().isPassed()) {
                    failures.add(result.get());
                }
            }
            assertEquals(List.of(), failures);
        } finally {
            executor.shutdownNow();
        }
    }
}
