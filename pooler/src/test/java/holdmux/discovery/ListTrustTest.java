package holdmux.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import org.junit.jupiter.api.Test;

class ListTrustTest {
    private final ListTrust trust = new ListTrust();

    /** An answer that was asked for before an unreadable one may be older than what that had to tell. */
    @Test
    void onlyAnAnswerAskedForLaterEndsTheRisk() {
        assertTrue(trust.trust());
        trust.unreadable(7, 100);
        trust.readable(7);
        assertTrue(trust.isAtRisk());
        trust.unreadable(9, 500);
        trust.readable(8);
        assertEquals(100 + 1_200 * Clock.MS - 600, trust.leftNs(600), "it counts from the first");
        trust.distrust();
        assertFalse(trust.trust());
        trust.readable(10);
        assertTrue(trust.trust() && trust.isTrusted());
        assertFalse(trust.isAtRisk());
    }
}
