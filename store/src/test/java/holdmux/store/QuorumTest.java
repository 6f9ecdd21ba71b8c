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

/** When a pooler may count what it knows as confirmed. */
class QuorumTest {
    @Test
    void theOldestOfTheNewestMajorityCounts() {
        Quorum quorum = new Quorum();
        List<String> members = List.of("n1", "n2", "n3");
        quorum.answered("n1", 5);
        assertFalse(quorum.isMajority(members));
        quorum.answered("n9", 9);
        assertFalse(quorum.isMajority(members), "n9 is no member");
        quorum.answered("n3", 7);
        assertTrue(quorum.isMajority(members));
        assertEquals(5, quorum.confirmedNs(members));
        quorum.answered("n1", 3); // come late
        quorum.answered("n2", 8);
        assertEquals(7, quorum.confirmedNs(members));
    }

    /**
     * Entries reach single logs in any order and pace, are in the store once a majority holds them, and are applied later
     * still; members are asked, and their answers come much later, as from a process that was stopped. Whatever a pooler
     * counts as confirmed at a moment, no entry that was in the store before that moment is unknown to it.
     */
    @Property(tries = 500, seed = "20261203")
    void nothingFromBeforeAConfirmedMomentIsUnknown(@ForAll long seed) {
        Random random = new Random(seed);
        int size = random.nextBoolean() ? 3 : 5;
        List<String> members = new ArrayList<>();
        for (int m = 0; m < size; m++) {
            members.add("n" + m);
        }
        int[] logged = new int[size];
        int[] applied = new int[size];
        List<Long> inStoreAt = new ArrayList<>(); // entry i + 1
        record Answer(int member, long asked, int known, boolean settled) {}
        List<Answer> underWay = new ArrayList<>();
        Quorum quorum = new Quorum();
        int known = 0;
        for (long now = 1; now < 400; now++) {
            int m = random.nextInt(size);
            switch (random.nextInt(4)) {
                case 0 -> {
                    // one more entry at most is on its way to the logs
                    logged[m] = Math.min(logged[m] + 1, inStoreAt.size() + 1);
                    int[] sorted = logged.clone();
                    Arrays.sort(sorted);
                    if (sorted[size / 2] > inStoreAt.size()) {
                        inStoreAt.add(now);
                    }
                }
                case 1 -> applied[m] = Math.min(logged[m], inStoreAt.size());
                case 2 -> underWay.add(new Answer(m, now - random.nextInt(3), applied[m], applied[m] == logged[m]));
                default -> {
                    if (!underWay.isEmpty()) {
                        Collections.shuffle(underWay, random);
                        Answer answer = underWay.remove(0);
                        known = Math.max(known, answer.known());
                        if (answer.settled()) {
                            quorum.answered("n" + answer.member(), answer.asked());
                        }
                    }
                }
            }
            if (quorum.isMajority(members)) {
                long confirmed = quorum.confirmedNs(members);
                long before = inStoreAt.stream().filter(at -> at < confirmed).count();
                assertTrue(known >= before, "knows " + known + " of " + before + " in the store before " + confirmed);
            }
        }
    }
}
