package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.RequestIds.Verdict;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestIdsTest {
    private final RequestIds ids = new RequestIds();

    private static RequestId id(long number) {
        return RequestId.of(Long.toHexString(number));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anIdIsUsedOnceWhileItsRequestMayRun(boolean repeatable) {
        assertEquals(Verdict.GRANTED, ids.claim(id(1), repeatable, 0));
        assertEquals(Verdict.IN_USE, ids.claim(id(1), repeatable, 3_600_000 * Clock.MS), "open requests are never forgotten");
        ids.retain(id(1), 0);
        long retention = repeatable ? RequestIds.RETENTION_NS : RequestIds.UNREPEATABLE_RETENTION_NS;
        assertEquals(Verdict.IN_USE, ids.claim(id(1), true, retention - 1));
        assertEquals(Verdict.GRANTED, ids.claim(id(1), repeatable, retention));
        ids.release(id(1));
        assertEquals(Verdict.GRANTED, ids.claim(id(1), repeatable, retention), "nothing ran");
    }

    /** Guards against memory that grows with ever new ids, and against a flood that makes the id of a write forgotten. */
    @Test
    void aFloodOfIdsIsBoundedAndForgetsNoWrite() {
        ids.claim(id(-1), false, 0);
        ids.retain(id(-1), 0);
        for (int i = 0; i < 200_000; i++) {
            assertEquals(Verdict.GRANTED, ids.claim(id(i), true, i));
            ids.retain(id(i), i);
        }
        assertEquals(RequestIds.MAX_RETAINED + 1, ids.size());
        assertEquals(Verdict.IN_USE, ids.claim(id(-1), false, 200_000));
        assertEquals(Verdict.IN_USE, ids.claim(id(199_999), true, 200_000), "the oldest are dropped first");
        for (int i = 0; i < RequestIds.MAX_UNREPEATABLE_RETAINED - 1; i++) {
            ids.claim(id(1_000_000 + i), false, 200_000);
            ids.retain(id(1_000_000 + i), 200_000);
        }
        assertEquals(Verdict.FULL, ids.claim(id(2_000_000), false, 200_001));
        assertEquals(Verdict.GRANTED, ids.claim(id(2_000_001), true, 200_001));
        assertEquals(Verdict.GRANTED, ids.claim(id(2_000_000), false, RequestIds.UNREPEATABLE_RETENTION_NS));
    }

    @Test
    void theOtherProcessGivesBackItsOwnIdsOnly() {
        ids.claim(id(1), false, 0);
        ids.releaseForPeer(id(1));
        assertEquals(Verdict.IN_USE, ids.claimForPeer(id(1), false, 0));
        assertEquals(Verdict.GRANTED, ids.claimForPeer(id(2), false, 0));
        assertEquals(Verdict.IN_USE, ids.claim(id(2), false, 0));
        ids.releaseForPeer(id(2));
        assertEquals(Verdict.GRANTED, ids.claim(id(2), false, 0));
    }

    @Test
    void similarIdsHaveOtherHashes() {
        Set<RequestId> hashes = new HashSet<>();
        Set<Long> high = new HashSet<>();
        Set<Long> low = new HashSet<>();
        int count = 100_000;
        for (int i = 0; i < count; i++) {
            RequestId hash = RequestId.of("9b1f03aa5c" + Integer.toHexString(i));
            hashes.add(hash);
            high.add(hash.high());
            low.add(hash.low());
        }
        assertEquals(count, hashes.size());
        assertTrue(high.size() == count && low.size() == count, high.size() + " and " + low.size());
        assertNotEquals(RequestId.of("ab"), RequestId.of("ba"));
    }
}
