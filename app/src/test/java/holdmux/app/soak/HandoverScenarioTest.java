package holdmux.app.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.app.soak.HandoverScenario.Result;
import holdmux.app.soak.HandoverScenario.StatementLoss;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs {@link HandoverScenario} on real processes. */
class HandoverScenarioTest {
    /** Scenarios run in parallel: each is a process that mostly waits. */
    private static final int CONCURRENCY = 4;
    private static final int RUNS = Integer.getInteger("handover.runs", 1);

    @TempDir
    Path folder;

    /** Guards against reads of old data at a former primary whose statement of its new role was lost. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    @Timeout(value = 2, unit = TimeUnit.MINUTES)
    void noReadIsServedFromOldDataAfterALostStatement(boolean statusInEveryAnswer) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(CONCURRENCY);
        try {
            List<Future<Result>> results = new ArrayList<>();
            for (int run = 0; run < RUNS; run++) {
                for (StatementLoss loss : StatementLoss.values()) {
                    Path directory = Files.createDirectories(folder.resolve("run-" + results.size()));
                    results.add(executor.submit(() -> HandoverScenario.runScenario(loss, statusInEveryAnswer, directory)));
                }
            }
            List<Result> failures = new ArrayList<>();
            for (Future<Result> result : results) {
                System.out.println("handover, status in every answer " + statusInEveryAnswer + ": " + result.get());
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
