package holdmux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Leases are shared fairly, and the total in use never exceeds the limit. */
class LeasesTest {
    private static final long S = 1_000_000_000L;

    @Test
    void sharesAreMaxMinFair() {
        LeaseAllocator allocator = new LeaseAllocator(100, 10 * S, -10 * S);
        assertEquals(10, allocator.acquire("small", 10, 0));
        assertEquals(90, allocator.acquire("large", 500, 0), "no other pooler has requested a lease yet");
        assertEquals(0, allocator.acquire("late", 500, S), "the whole share is leased");
        assertEquals(45, allocator.acquire("large", 500, 2 * S), "its fair share; the larger lease counts until it expires");
        assertEquals(0, allocator.acquire("late", 500, 3 * S));
        assertEquals(50, allocator.acquire("late", 500, 10 * S), "the earlier leases have expired, so two poolers share the limit");
    }

    /** A restarted member has lost its record of grants that may still be in use, so it grants nothing for one lease. */
    @Test
    void nothingIsGrantedForOneLeaseAfterStart() {
        LeaseAllocator allocator = new LeaseAllocator(100, 10 * S, 5 * S);
        assertEquals(0, allocator.acquire("p", 10, 15 * S - 1));
        assertEquals(10, allocator.acquire("p", 10, 15 * S));
        for (int i = 0; i < 2 * LeaseAllocator.MAX_HOLDERS; i++) {
            allocator.acquire("flood" + i, 1, 16 * S);
        }
        assertTrue(allocator.outstanding(16 * S) <= 100);
        assertEquals(0, allocator.outstanding(30 * S), "all leases have expired");
    }

    /** Guards against a lease that outlasts the member's because its answer arrived late or out of order. */
    @Test
    void leaseRunsFromTheTimeOfTheRequest() {
        LeaseHolder holder = new LeaseHolder(100, 0.2, 10, 10 * S);
        assertEquals(2, holder.available(0), "the static share");
        holder.granted("n1", 30, S);
        holder.granted("n1", 50, 0); // a late answer to an older request
        holder.granted("n2", 5, 2 * S);
        assertEquals(37, holder.available(3 * S));
        assertEquals(7, holder.available(11 * S), "the lease of n1 expires here before it expires at n1");
        assertEquals(2, holder.available(12 * S));
    }

    /**
     * Poolers with changing demand request leases over links that lose and delay messages; members and poolers restart;
     * clocks have arbitrary offsets and drift by up to half a percent. The poolers' total must never exceed the limit.
     */
    @Property(tries = 200, seed = "20261204")
    void totalUseNeverExceedsTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        int members = 3;
        int poolers = 2 + random.nextInt(8);
        double limit = 100;
        double staticFraction = 0.2;
        long lease = 4 * S;
        double[] memberRate = new double[members];
        long[] memberOffset = new long[members];
        LeaseAllocator[] allocators = new LeaseAllocator[members];
        for (int m = 0; m < members; m++) {
            memberRate[m] = 0.995 + random.nextDouble() * 0.01;
            memberOffset[m] = random.nextLong(100 * S);
            allocators[m] = new LeaseAllocator(limit * (1 - staticFraction) / members, lease, memberOffset[m]);
        }
        double[] rate = new double[poolers];
        long[] offset = new long[poolers];
        LeaseHolder[] holders = new LeaseHolder[poolers];
        for (int p = 0; p < poolers; p++) {
            rate[p] = 0.995 + random.nextDouble() * 0.01;
            offset[p] = random.nextLong(100 * S);
            holders[p] = new LeaseHolder(limit, staticFraction, poolers, lease);
        }
        record Message(boolean question, int pooler, int member, double amount, long askedNs, long arrives, LeaseHolder to) {}
        List<Message> inFlight = new ArrayList<>();
        for (long now = 0; now < 60 * S; now += S / 20) {
            int p = random.nextInt(poolers);
            int m = random.nextInt(members);
            if (random.nextInt(400) == 0) {
                allocators[m] = new LeaseAllocator(limit * (1 - staticFraction) / members, lease,
                        memberOffset[m] + (long) (now * memberRate[m]));
            }
            if (random.nextInt(400) == 0) {
                holders[p] = new LeaseHolder(limit, staticFraction, poolers, lease);
            }
            if (random.nextInt(5) > 0) {
                long delay = random.nextInt(20) == 0 ? random.nextLong(6 * S) : random.nextLong(S / 5);
                inFlight.add(new Message(true, p, m, random.nextDouble() * 60, offset[p] + (long) (now * rate[p]), now + delay,
                        holders[p]));
            }
            List<Message> arrived = new ArrayList<>();
            for (Message message : inFlight) {
                if (message.arrives() <= now) {
                    arrived.add(message);
                }
            }
            inFlight.removeAll(arrived);
            for (Message message : arrived) {
                if (random.nextInt(10) == 0) {
                    continue; // lost
                }
                if (message.question()) {
                    long at = memberOffset[message.member()] + (long) (now * memberRate[message.member()]);
                    double granted = allocators[message.member()].acquire("p" + message.pooler(), message.amount(), at);
                    inFlight.add(new Message(false, message.pooler(), message.member(), granted, message.askedNs(),
                            now + random.nextLong(S), message.to()));
                } else {
                    message.to().granted("n" + message.member(), message.amount(), message.askedNs());
                }
            }
            double used = 0;
            for (int i = 0; i < poolers; i++) {
                used += holders[i].available(offset[i] + (long) (now * rate[i]));
            }
            assertTrue(used <= limit + 1e-6, used + " of " + limit + " in use at " + now);
        }
    }
}
