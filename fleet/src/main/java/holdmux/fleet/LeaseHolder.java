package holdmux.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * The part of a fleet-wide limit that one pooler may use: its static share, which is always available, plus the leases
 * granted by members. A lease is timed from its request, so it expires here before it expires at the member, however long
 * the answer took. Performs no I/O and reads no clock; times are nanoseconds of the pooler's monotonic clock. Not
 * thread-safe.
 */
public final class LeaseHolder {
    /** Fraction by which leases are shortened here, so that clock drift below it never outlasts the member's lease. */
    static final double CLOCK_DRIFT_MARGIN = 0.02;

    private record Lease(double amount, long requestedNs) {}

    private final double staticShare;
    private final long durationNs;
    private final Map<String, Lease> leasesByMember = new HashMap<>();

    /**
     * @param limit          the fleet-wide limit
     * @param staticFraction the fraction of the limit, 0 to 1, that is divided evenly instead of leased: all that a
     *                       disconnected pooler can use
     * @param poolers        the configured number of poolers; with more, the limit is exceeded by at most
     *                       {@code limit * staticFraction * (actual / poolers - 1)}
     * @param leaseNs        lease duration at the member
     */
    public LeaseHolder(double limit, double staticFraction, int poolers, long leaseNs) {
        staticShare = limit * staticFraction / Math.max(1, poolers);
        durationNs = (long) (leaseNs * (1 - CLOCK_DRIFT_MARGIN));
    }

    /** Records a member's answer to a request sent at {@code requestedNs}; answers to older requests are ignored. */
    public void granted(String member, double amount, long requestedNs) {
        leasesByMember.merge(member, new Lease(amount, requestedNs),
                (oldLease, newLease) -> newLease.requestedNs() - oldLease.requestedNs() > 0 ? newLease : oldLease);
    }

    /** The amount that may be used now. */
    public double available(long nowNs) {
        leasesByMember.values().removeIf(lease -> nowNs - lease.requestedNs() >= durationNs);
        return staticShare + leasesByMember.values().stream().mapToDouble(Lease::amount).sum();
    }
}
