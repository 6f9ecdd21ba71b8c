package holdmux.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leases one member's share of a fleet-wide limit to poolers. Each member grants only from its own share, so members need
 * no agreement: under any partition, the sum of all grants never exceeds the limit. Performs no I/O and reads no clock;
 * times are nanoseconds of the member's monotonic clock. Not thread-safe.
 */
public final class LeaseAllocator {
    /**
     * Maximum number of poolers holding a lease at once: the largest supported fleet, since each request scans all holders.
     * Further poolers are granted nothing and use their static share only.
     */
    static final int MAX_HOLDERS = 1_000;

    /** A granted amount that the pooler may be using until it expires, whether or not the answer has reached it. */
    private record Lease(double amount, long untilNs) {}

    private static final class Holder {
        final List<Lease> leases = new ArrayList<>();
        double demand;

        /** The largest unexpired lease: a smaller renewal takes effect only once it arrives, so the older may be in use. */
        double outstanding() {
            return leases.stream().mapToDouble(Lease::amount).max().orElse(0);
        }
    }

    private final double share;
    private final long leaseNs;
    private final long startupGraceUntilNs;
    private final Map<String, Holder> holders = new HashMap<>();

    /**
     * @param share   this member's share of the limit, in the limit's unit
     * @param leaseNs lease duration on this member's clock
     * @param startNs when the member started; nothing is granted for one lease duration from then, because leases granted
     *                before a restart may still be in use
     */
    public LeaseAllocator(double share, long leaseNs, long startNs) {
        if (!(share >= 0) || leaseNs <= 0) {
            throw new IllegalArgumentException("invalid share " + share + " or lease duration " + leaseNs + " ns");
        }
        this.share = share;
        this.leaseNs = leaseNs;
        startupGraceUntilNs = startNs + leaseNs;
    }

    /**
     * Grants a pooler a lease from now on that replaces its previous one, given the demand it measured. Grants are max-min
     * fair: a pooler that demands less than an equal share gets all of it, and the others divide the remainder equally.
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

    /** The max-min fair cap per pooler when total demand exceeds this member's share. */
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

    /** The total of unexpired grants, which never exceeds this member's share. */
    public double outstanding(long nowNs) {
        removeExpired(nowNs);
        return holders.values().stream().mapToDouble(Holder::outstanding).sum();
    }
}
