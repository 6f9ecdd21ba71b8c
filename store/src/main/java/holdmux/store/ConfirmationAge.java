package holdmux.store;

import holdmux.store.wire.LastGood;

/**
 * Computes, at a pooler's start, the age of its last good version, including the time the pooler was down. Within one boot
 * of the machine it uses the monotonic clock, which all processes share; after a reboot the wall clock, and if that went
 * backwards the maximum age. Reads no clock; times are passed in.
 */
public final class ConfirmationAge {
    private ConfirmationAge() {}

    /**
     * @param lastGood the stored version and when it was last confirmed
     * @param bootId   the machine's current boot ID, empty if unknown
     * @param nowNs    the monotonic clock
     * @param unixMs   the wall clock
     * @param maxNs    the result if the age cannot be determined
     * @return nanoseconds since the stored version was confirmed
     */
    public static long ageNs(LastGood lastGood, String bootId, long nowNs, long unixMs, long maxNs) {
        if (!bootId.isEmpty() && bootId.equals(lastGood.getBoot())) {
            return Math.max(0, nowNs - lastGood.getHeardNs());
        }
        long ageMs = unixMs - lastGood.getHeardUnixMs();
        return ageMs < 0 || ageMs > maxNs / 1_000_000 ? maxNs : ageMs * 1_000_000;
    }
}
