package holdmux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Leased shares of a limit: fair, and never more than the limit together. */
class LeasesTest {
    private static final long S = 1_000_000_000L;

    @Test
    void whoWantsLittleGetsItAndTheOthersDivideTheRest() {
        LeaseAllocator book = new LeaseAllocator(100, 10 * S, -10 * S);
        assertEquals(10, book.acquire("small", 10, 0));
        assertEquals(90, book.acquire("large", 500, 0), "nobody else has asked yet");
        assertEquals(0, book.acquire("late", 500, S), "all is out");
        assertEquals(45, book.acquire("large", 500, 2 * S), "its share now; the larger lease is in use until it lapses");
        assertEquals(0, book.acquire("late", 500, 3 * S));
        assertEquals(50, book.acquire("late", 500, 10 * S), "the large lease and the small one have lapsed: two share it");
    }

    /** A member that was killed has forgotten what it granted: for one lease it grants nothing. */
    @Test
    void aMemberThatHasJustStartedGrantsNothing() {
        LeaseAllocator book = new LeaseAllocator(100, 10 * S, 5 * S);
        assertEquals(0, book.acquire("p", 10, 15 * S - 1));
        assertEquals(10, book.acquire("p", 10, 15 * S));
        for (int i = 0; i < 2 * LeaseAllocator.MAX_HOLDERS; i++) {
            book.acquire("flood" + i, 1, 16 * S);
        }
        assertTrue(book.outstanding(16 * S) <= 100);
        assertEquals(0, book.outstanding(30 * S), "all lapses");
    }

    /** An answer that comes late or out of order never gives more than the last question's. */
    @Test
    void aLeaseCountsFromItsQuestion() {
        LeaseHolder holder = new LeaseHolder(100, 0.2, 10, 10 * S);
        assertEquals(2, holder.available(0), "the static share");
        holder.granted("n1", 30, S);
        holder.granted("n1", 50, 0); // an older question's answer, come late
        holder.granted("n2", 5, 2 * S);
        assertEquals(37, holder.available(3 * S));
        assertEquals(7, holder.available(11 * S), "the lease of n1 ends before it ends at n1");
        assertEquals(2, holder.available(12 * S));
    }

    /**
     * Poolers with changing wants ask members over links that lose and delay questions and answers; members are killed and
     * start anew, poolers too; clocks stand anywhere and run up to half a percent apart. At no moment may all poolers
     * together use more than the limit.
     */
    @Property(tries = 200, seed = "20261204")
    void allTogetherNeverUseMoreThanTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        int members = 3;
        int poolers = 2 + random.nextInt(8);
        double limit = 100;
        double staticPart = 0.2;
        long lease = 4 * S;
        double[] memberRate = new double[members];
        long[] memberOffset = new long[members];
        LeaseAllocator[] books = new LeaseAllocator[members];
        for (int m = 0; m < members; m++) {
            memberRate[m] = 0.995 + random.nextDouble() * 0.01;
            memberOffset[m] = random.nextLong(100 * S);
            books[m] = new LeaseAllocator(limit * (1 - staticPart) / members, lease, memberOffset[m]);
        }
        double[] rate = new double[poolers];
        long[] offset = new long[poolers];
        LeaseHolder[] holders = new LeaseHolder[poolers];
        for (int p = 0; p < poolers; p++) {
            rate[p] = 0.995 + random.nextDouble() * 0.01;
            offset[p] = random.nextLong(100 * S);
            holders[p] = new LeaseHolder(limit, staticPart, poolers, lease);
        }
        record Word(boolean question, int pooler, int member, double amount, long askedNs, long arrives, LeaseHolder to) {}
        List<Word> underWay = new ArrayList<>();
        for (long now = 0; now < 60 * S; now += S / 20) {
            int p = random.nextInt(poolers);
            int m = random.nextInt(members);
            if (random.nextInt(400) == 0) {
                books[m] = new LeaseAllocator(limit * (1 - staticPart) / members, lease,
                        memberOffset[m] + (long) (now * memberRate[m]));
            }
            if (random.nextInt(400) == 0) {
                holders[p] = new LeaseHolder(limit, staticPart, poolers, lease);
            }
            if (random.nextInt(5) > 0) {
                long delay = random.nextInt(20) == 0 ? random.nextLong(6 * S) : random.nextLong(S / 5);
                underWay.add(new Word(true, p, m, random.nextDouble() * 60, offset[p] + (long) (now * rate[p]), now + delay,
                        holders[p]));
            }
            List<Word> arrived = new ArrayList<>();
            for (Word word : underWay) {
                if (word.arrives() <= now) {
                    arrived.add(word);
                }
            }
            underWay.removeAll(arrived);
            for (Word word : arrived) {
                if (random.nextInt(10) == 0) {
                    continue; // lost
                }
                if (word.question()) {
                    long at = memberOffset[word.member()] + (long) (now * memberRate[word.member()]);
                    double granted = books[word.member()].acquire("p" + word.pooler(), word.amount(), at);
                    underWay.add(new Word(false, word.pooler(), word.member(), granted, word.askedNs(),
                            now + random.nextLong(S), word.to()));
                } else {
                    word.to().granted("n" + word.member(), word.amount(), word.askedNs());
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
