package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.Outcome;
import org.junit.jupiter.api.Test;

class AttemptTest {
    private boolean closed;

    private Attempt attempt(boolean written, Outcome abortOutcome) {
        Attempt attempt = new Attempt(1, 0, 0, 1_000, () -> true);
        assertTrue(attempt.attachConnection(() -> closed = true));
        if (written) {
            attempt.markWritten();
        }
        if (abortOutcome != null) {
            attempt.abort(abortOutcome);
        }
        return attempt;
    }

    /** Before the last byte was written nothing has run; after it the request may have. */
    @Test
    void outcomeOfBrokenConnectionDependsOnWhatWasWritten() {
        assertEquals(Outcome.CONNECT_FAILED, attempt(false, null).failDisconnected());
        assertEquals(Outcome.RESET, attempt(true, null).failDisconnected());
        assertEquals(Outcome.CONNECT_FAILED, attempt(false, Outcome.TIMEOUT).failDisconnected());
        assertEquals(Outcome.TIMEOUT, attempt(true, Outcome.TIMEOUT).failDisconnected());
        assertEquals(Outcome.MOOT, attempt(false, Outcome.CANCELLED).failDisconnected());
        assertEquals(Outcome.CANCELLED, attempt(true, Outcome.CANCELLED).failDisconnected());
        assertEquals(Outcome.MOOT, attempt(false, null).failLocally());
        assertEquals(Outcome.CANCELLED, attempt(true, null).failLocally());
    }

    /** Guards against taking a message that was given up half-way for one that ran, and one written to its end for one that did not. */
    @Test
    void onlyAnUnfinishedMessageIsGivenUp() {
        Attempt unfinished = attempt(false, null);
        unfinished.abandonWrite();
        assertTrue(closed);
        assertFalse(unfinished.complete(), "its connection is not reusable");
        assertEquals(Outcome.MOOT, unfinished.failDisconnected());
        closed = false;
        Attempt written = attempt(true, null);
        written.abandonWrite();
        assertFalse(closed);
        Attempt writtenMeanwhile = attempt(false, null);
        writtenMeanwhile.abandonWrite();
        writtenMeanwhile.markWritten();
        assertEquals(Outcome.RESET, writtenMeanwhile.failDisconnected());
    }

    @Test
    void abortClosesTheConnectionOnce() {
        Attempt attempt = attempt(true, Outcome.TIMEOUT);
        assertTrue(closed);
        attempt.abort(Outcome.CANCELLED);
        assertEquals(Outcome.TIMEOUT, attempt.failDisconnected(), "the first abort decides");
        assertFalse(attempt.attachConnection(() -> { }), "no connection is attached after an abort");
    }

    /** Guards against a late time-out closing a connection that is back in the pool. */
    @Test
    void abortAfterTheAnswerIsIgnored() {
        Attempt attempt = attempt(true, null);
        assertTrue(attempt.complete());
        attempt.abort(Outcome.TIMEOUT);
        assertFalse(closed);
        assertFalse(attempt(true, Outcome.TIMEOUT).complete(), "an aborted connection is not reusable");
    }

    /** Guards against running a write twice: a connect time-out that fires late must not abort a write already sent. */
    @Test
    void lateConnectTimeOutIsIgnored() {
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
