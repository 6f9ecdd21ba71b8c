package holdmux.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.app.soak.DrainPlay.Result;
import holdmux.app.soak.DrainPlay.Trouble;
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

/** Each way by which a drain that was told may not be in force, alone and in pairs, on real processes. */
class DrainPlayTest {
    /** Plays at once: each is a process that mostly waits. */
    private static final int AT_ONCE = Integer.getInteger("plays.at.once", 8);
    /** Pairs in each run; {@code -Dplays.pairs=1000} plays all. */
    private static final int PAIRS = Integer.getInteger("plays.pairs", 16);
    private static final long SEED = Long.getLong("plays.seed", 20261202L);

    @TempDir
    Path folder;

    @Test
    @Timeout(value = 5, unit = TimeUnit.MINUTES)
    void aDrainHoldsUnderEachTrouble() throws Exception {
        List<Set<Trouble>> singles = new ArrayList<>();
        for (Trouble trouble : Trouble.values()) {
            singles.add(EnumSet.of(trouble));
        }
        assertGood(singles);
    }

    @Test
    @Timeout(value = 15, unit = TimeUnit.MINUTES)
    void aDrainHoldsUnderTwoTroublesAtOnce() throws Exception {
        List<Set<Trouble>> pairs = new ArrayList<>();
        for (Trouble one : Trouble.values()) {
            for (Trouble other : EnumSet.range(one, Trouble.MOVE_BY_HALF_A_FILE)) {
                if (DrainPlay.goTogether(one, other)) {
                    pairs.add(EnumSet.of(one, other));
                }
            }
        }
        Collections.shuffle(pairs, new Random(SEED));
        assertGood(pairs.subList(0, Math.min(PAIRS, pairs.size())));
    }

    private void assertGood(List<Set<Trouble>> all) throws Exception {
        ExecutorService lanes = Executors.newFixedThreadPool(AT_ONCE);
        try {
            List<Future<Result>> results = new ArrayList<>();
            for (Set<Trouble> troubles : all) {
                Path own = Files.createDirectories(folder.resolve("play-" + results.size()));
                results.add(lanes.submit(() -> DrainPlay.play(troubles, own)));
            }
            List<Result> broken = new ArrayList<>();
            for (Future<Result> result : results) {
                System.out.println("drain play: " + result.get());
                if (!result.get().isGood()) {
                    broken.add(result.get());
                }
            }
            assertEquals(List.of(), broken);
        } finally {
            lanes.shutdownNow();
        }
    }
}
