package holdmux.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Up to which time a pooler's knowledge counts as confirmed. */
class QuorumTest {
    @Test
    void confirmedTimeIsTheMajoritysOldestRequest() {
        Quorum quorum = new Quorum();
        List<String> members = List.of("n1", "n2", "n3");
        quorum.answered("n1", 5);
        assertFalse(quorum.isMajority(members));
        quorum.answered("n9", 9);
        assertFalse(quorum.isMajority(members), "n9 is no member");
        quorum.answered("n3", 7);
        assertTrue(quorum.isMajority(members));
        assertEquals(5, quorum.confirmedNs(members));
        quorum.answered("n1", 3); // arrives late
        quorum.answered("n2", 8);
        assertEquals(7, quorum.confirmedNs(members));
    }

    /**
     * Entries reach the members' logs at different times, are committed once a majority has them and applied later still;
     * answers may arrive long after the question, as from a paused process. Every entry committed before the confirmed time
     * must be known.
     */
    @Property(tries = 500, seed = "20261203")
    void everyEntryCommittedBeforeTheConfirmedTimeIsKnown(@ForAll long seed) {
        Random random = new Random(seed);
        int size = random.nextBoolean() ? 3 : 5;
        List<String> members = new ArrayList<>();
        for (int m = 0; m < size; m++) {
            members.add("n" + m);
        }
        int[] logged = new int[size];
        int[] applied = new int[size];
        List<Long> committedAt = new ArrayList<>(); // entry i + 1
        record Answer(int member, long asked, int known, boolean settled) {}
        List<Answer> inFlight = new ArrayList<>();
        Quorum quorum = new Quorum();
        int known = 0;
        for (long now = 1; now < 400; now++) {
            int m = random.nextInt(size);
            switch (random.nextInt(4)) {
                case 0 -> {
                    // at most one uncommitted entry is being replicated
                    logged[m] = Math.min(logged[m] + 1, committedAt.size() + 1);
                    int[] sorted = logged.clone();
                    Arrays.sort(sorted);
                    if (sorted[size / 2] > committedAt.size()) {
                        committedAt.add(now);
                    }
                }
                case 1 -> applied[m] = Math.min(logged[m], committedAt.size());
                case 2 -> inFlight.add(new Answer(m, now - random.nextInt(3), applied[m], applied[m] == logged[m]));
                default -> {
                    if (!inFlight.isEmpty()) {
                        Collections.shuffle(inFlight, random);
                        Answer answer = inFlight.remove(0);
                        known = Math.max(known, answer.known());
                        if (answer.settled()) {
                            quorum.answered("n" + answer.member(), answer.asked());
                        }
                    }
                }
            }
            if (quorum.isMajority(members)) {
                long confirmed = quorum.confirmedNs(members);
                long committedBefore = committedAt.stream().filter(at -> at < confirmed).count();
                assertTrue(known >= committedBefore, "knows " + known + " of " + committedBefore + " committed before " + confirmed);
            }
        }
    }
}
