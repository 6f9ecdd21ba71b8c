package holdmux.app.soak;

import holdmux.standins.QuoteGroup;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** Lets all replicas fall behind by seconds from time to time, often while the primary changes; the schedule follows from a seed. */
final class ReplicaLag {
    private static final int MIN_PAUSE_MS = 500, MAX_PAUSE_MS = 2_500, MIN_PERIOD_MS = 1_500, MAX_PERIOD_MS = 4_000;
    private static final long MIN_LAG_MS = 1_000, MAX_LAG_MS = 5_000;
    /** Time between two changes of the primary within a period. */
    private static final int PROMOTION_INTERVAL_MS = 900;

    private final QuoteGroup group;
    private final Map<String, Long> usualLagMs;
    private final IntConsumer promotion;
    private final SplittableRandom random;
    private int periods;

    /** Creates a schedule; {@code promotion} makes another server the primary, chosen by the number it is given. */
    ReplicaLag(QuoteGroup group, Map<String, Long> usualLagMs, IntConsumer promotion, long seed) {
        this.group = group;
        this.usualLagMs = usualLagMs;
        this.promotion = promotion;
        random = new SplittableRandom(~seed);
    }

    /** Runs until {@code finished}; the replicas have their usual lag in the end. */
    Void run(BooleanSupplier finished) throws InterruptedException {
        while (!finished.getAsBoolean()) {
            Thread.sleep(random.nextInt(MIN_PAUSE_MS, MAX_PAUSE_MS));
            long lagMs = random.nextLong(MIN_LAG_MS, MAX_LAG_MS);
            usualLagMs.keySet().forEach(server -> group.setLag(server, lagMs));
            int periodMs = random.nextInt(MIN_PERIOD_MS, MAX_PERIOD_MS);
            for (int elapsed = 0; elapsed < periodMs; elapsed += PROMOTION_INTERVAL_MS) {
                Thread.sleep(Math.min(PROMOTION_INTERVAL_MS, periodMs - elapsed));
                promotion.accept(random.nextInt(Integer.MAX_VALUE));
            }
            usualLagMs.forEach(group::setLag);
            periods++;
        }
        return null;
    }

    /** Returns how many periods of lag there were. */
    int periods() {
        return periods;
    }
}
