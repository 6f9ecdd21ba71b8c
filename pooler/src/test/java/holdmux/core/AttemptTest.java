package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.Outcome;
import org.junit.jupiter.api.Test;

class AttemptTest {
    private boolean closed;

    private Attempt attempt(boolean written, Outcome cut) {
        Attempt attempt = new Attempt(1, 0, 0, 1_000, () -> true);
        assertTrue(attempt.attachConnection(() -> closed = true));
        if (written) {
            attempt.markWritten();
        }
        if (cut != null) {
            attempt.abort(cut);
        }
        return attempt;
    }

    /** The protocol's table: before the last byte nothing ran, after it the request may have. */
    @Test
    void aBreakMeansWhatWasWritten() {
        assertEquals(Outcome.CONNECT_FAILED, attempt(false, null).failDisconnected());
        assertEquals(Outcome.RESET, attempt(true, null).failDisconnected());
        assertEquals(Outcome.CONNECT_FAILED, attempt(false, Outcome.TIMEOUT).failDisconnected());
        assertEquals(Outcome.TIMEOUT, attempt(true, Outcome.TIMEOUT).failDisconnected());
        assertEquals(Outcome.MOOT, attempt(false, Outcome.CANCELLED).failDisconnected());
        assertEquals(Outcome.CANCELLED, attempt(true, Outcome.CANCELLED).failDisconnected());
        assertEquals(Outcome.MOOT, attempt(false, null).failLocally());
        assertEquals(Outcome.CANCELLED, attempt(true, null).failLocally());
    }

    @Test
    void aCutClosesTheConnectionOnce() {
        Attempt attempt = attempt(true, Outcome.TIMEOUT);
        assertTrue(closed);
        attempt.abort(Outcome.CANCELLED);
        assertEquals(Outcome.TIMEOUT, attempt.failDisconnected(), "the first cause stands");
        assertFalse(attempt.attachConnection(() -> { }), "nothing is carried on after a cut");
    }

    /** Guards against a late time-out closing a connection that is back in the pool. */
    @Test
    void aCutAfterTheAnswerTouchesNothing() {
        Attempt attempt = attempt(true, null);
        assertTrue(attempt.complete());
        attempt.abort(Outcome.TIMEOUT);
        assertFalse(closed);
        assertFalse(attempt(true, Outcome.TIMEOUT).complete(), "a cut connection is not clean");
    }

    /** Guards against a write sent twice: a connect time-out already on its way cut it off behind its last byte. */
    @Test
    void aConnectTimeOutThatComesLateNeitherCutsNorProvesAnything() {
        Attempt attempt = attempt(false, null);
        attempt.markConnected();
        attempt.abort(Outcome.CONNECT_FAILED);
        assertFalse(closed);
        attempt.markWritten();
        attempt.abort(Outcome.TIMEOUT);
        assertEquals(Outcome.TIMEOUT, attempt.failDisconnected());
        assertEquals(Outcome.RESET, attempt(true, Outcome.CONNECT_FAILED).failDisconnected(), "its last byte was written");
    }
}
