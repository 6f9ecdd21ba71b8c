package holdmux.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * What one pooler may use of one limit: its static share, which is always its own, and what members have leased to it. A
 * lease counts from when it was asked for, so that it ends here before it ends at the member, however long the answer
 * took. No clock and no I/O: times are nanoseconds of the pooler's own monotonic clock. Not thread-safe.
 */
public final class LeaseHolder {
    /** Two clocks that run apart by less than this part never make a lease last longer here than where it was granted. */
    static final double CLOCK_DRIFT_MARGIN = 0.02;

    private record Lease(double amount, long requestedNs) {}

    private final double staticShare;
    private final long durationNs;
    private final Map<String, Lease> leasesByMember = new HashMap<>();

    /**
     * @param limit      the whole limit
     * @param staticPart the part of it that is not leased but divided evenly, 0 to 1: what a cut-off pooler lives on
     * @param poolers    how many poolers the fleet is told to have; where there are more, the limit is passed by at most
     *                   {@code limit * staticPart * (actual / poolers - 1)}
     * @param leaseNs    how long a lease lasts at the member
     */
    public LeaseHolder(double limit, double staticFraction, int poolers, long leaseNs) {
        staticShare = limit * staticFraction / Math.max(1, poolers);
        durationNs = (long) (leaseNs * (1 - CLOCK_DRIFT_MARGIN));
    }

    /** A member answered a question asked then. An answer to an older question than the last one here counts for nothing. */
    public void granted(String member, double amount, long requestedNs) {
        leasesByMember.merge(member, new Lease(amount, requestedNs), (oldLease, newLease) -> newLease.requestedNs() - oldLease.requestedNs() > 0 ? newLease : oldLease);
    }

    /** What may be used now. */
    public double available(long nowNs) {
        leasesByMember.values().removeIf(lease -> nowNs - lease.requestedNs() >= durationNs);
        return staticShare + leasesByMember.values().stream().mapToDouble(Lease::amount).sum();
    }
}
