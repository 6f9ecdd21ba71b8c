package holdmux.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import org.junit.jupiter.api.Test;

class ListTrustTest {
    private final ListTrust trust = new ListTrust();

    /** A readable answer that was requested before an unreadable one may be older than the changes in that. */
    @Test
    void onlyALaterRequestedAnswerRestoresTrust() {
        assertTrue(trust.tryTrust());
        trust.markUnreadable(7, 100);
        trust.markReadable(7);
        assertTrue(trust.isAtRisk());
        trust.markUnreadable(9, 500);
        trust.markReadable(8);
        assertEquals(100 + 1_200 * Clock.MS - 600, trust.remainingNs(600), "the time counts from the first unreadable answer");
        trust.distrust();
        assertFalse(trust.tryTrust());
        trust.markReadable(10);
        assertTrue(trust.tryTrust() && trust.isTrusted());
        assertFalse(trust.isAtRisk());
    }
}
