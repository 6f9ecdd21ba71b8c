package holdmux.store;

import holdmux.store.wire.LastGood;

/**
 * How old what a pooler kept is at its next start; the time it was down counts. Within one boot of the machine by its
 * monotonic clock, which all processes share; after another boot by the wall clock, and where that went back it is as old
 * as can be. No clock: times are passed in.
 */
public final class ConfirmationAge {
    private ConfirmationAge() {}

    /**
     * @param boot   the machine's present boot, empty where it is not told
     * @param nowNs  the monotonic clock
     * @param unixMs the wall clock
     * @param mostNs what to tell where nothing can be known
     * @return nanoseconds since what was kept was confirmed
     */
    public static long ageNs(LastGood lastGood, String bootId, long nowNs, long unixMs, long maxNs) {
        if (!bootId.isEmpty() && bootId.equals(lastGood.getBoot())) {
            return Math.max(0, nowNs - lastGood.getHeardNs());
        }
        long ageMs = unixMs - lastGood.getHeardUnixMs();
        return ageMs < 0 || ageMs > maxNs / 1_000_000 ? maxNs : ageMs * 1_000_000;
    }
}
