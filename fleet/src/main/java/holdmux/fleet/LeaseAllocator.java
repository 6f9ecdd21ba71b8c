package holdmux.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One granting member's part of one limit, leased to poolers for a while. Each member grants from a part of its own, so
 * members need not agree on anything: whoever is cut off from whom, what all of them have granted is at most the limit.
 * No clock and no I/O: times are nanoseconds of the member's own monotonic clock. Not thread-safe.
 */
public final class LeaseAllocator {
    /**
     * Poolers that hold something of one limit at once, the largest fleet planned for: each question looks at all of them.
     * Further ones get nothing and live on their static share.
     */
    static final int MAX_HOLDERS = 1_000;

    /** What a pooler may still be using of an answer that it may or may not have had. */
    private record Lease(double amount, long untilNs) {}

    private static final class Holder {
        final List<Lease> leases = new ArrayList<>();
        double demand;

        /** A renewal that is smaller binds only once it has arrived: until the older lease lapses both may be in use. */
        double outstanding() {
            return leases.stream().mapToDouble(Lease::amount).max().orElse(0);
        }
    }

    private final double share;
    private final long leaseNs;
    private final long startupGraceUntilNs;
    private final Map<String, Holder> holders = new HashMap<>();

    /**
     * @param part    this member's part of the limit, in the limit's own unit
     * @param leaseNs how long a lease lasts here
     * @param startNs the member's start: for one lease from then on nothing is granted, as what it granted before its
     *                start may still be in use
     */
    public LeaseAllocator(double share, long leaseNs, long startNs) {
        if (!(share >= 0) || leaseNs <= 0) {
            throw new IllegalArgumentException("a part of " + share + " for " + leaseNs + " ns");
        }
        this.share = share;
        this.leaseNs = leaseNs;
        startupGraceUntilNs = startNs + leaseNs;
    }

    /**
     * A pooler asks, having measured that it wants so much; what it is granted for a lease from now, in place of what it
     * had here. Shares are max-min fair: who wants less than an equal share gets all it wants, the others divide the rest.
     */
    public double acquire(String pooler, double demand, long nowNs) {
        removeExpired(nowNs);
        if (nowNs - startupGraceUntilNs < 0 || !(demand > 0) || holders.size() >= MAX_HOLDERS && !holders.containsKey(pooler)) {
            return 0;
        }
        Holder holder = holders.computeIfAbsent(pooler, name -> new Holder());
        holder.demand = demand;
        double othersOutstanding = holders.values().stream().filter(h -> h != holder).mapToDouble(Holder::outstanding).sum();
        double granted = Math.max(0, Math.min(Math.min(demand, fairShare()), share - othersOutstanding));
        holder.leases.add(new Lease(granted, nowNs + leaseNs));
        return granted;
    }

    /** The water level: the most that anybody gets where the part does not cover all that is wanted. */
    private double fairShare() {
        double[] demands = holders.values().stream().mapToDouble(h -> h.demand).sorted().toArray();
        double remaining = share;
        for (int i = 0; i < demands.length; i++) {
            double equalShare = remaining / (demands.length - i);
            if (demands[i] > equalShare) {
                return equalShare;
            }
            remaining -= demands[i];
        }
        return share;
    }

    private void removeExpired(long nowNs) {
        holders.values().removeIf(holder -> {
            holder.leases.removeIf(lease -> nowNs - lease.untilNs() >= 0);
            return holder.leases.isEmpty();
        });
    }

    /** What may be in use now of what was granted here: never more than the part. */
    public double outstanding(long nowNs) {
        removeExpired(nowNs);
        return holders.values().stream().mapToDouble(Holder::outstanding).sum();
    }
}
