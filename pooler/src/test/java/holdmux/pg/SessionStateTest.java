package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.pg.SessionState.Offer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Walks every state of a connection against every kind of close. */
class SessionStateTest {
    private static final ClientCommand COMMAND = ClientCommand.of(ClientCommand.Kind.EMPTY_QUERY);
    private static final ClientCommand REFUSAL = ClientCommand.of(ClientCommand.Kind.INVALID);

    /** A state, and whether each kind of close may end the connection in it. */
    private enum Situation {
        STARTING(state -> { }, true, true),
        WAITING(state -> state.awaitMessage(false), true, true),
        MESSAGE_BUFFERED(state -> state.awaitMessage(true), false, true),
        READING(SessionState::beginMessage, false, true),
        RECEIVED(Situation::receive, false, false),
        QUEUED(state -> state.offer(COMMAND, false), false, false),
        REFUSED(state -> state.offerRefusal(false), false, false),
        ANSWERING(state -> {
            state.offer(COMMAND, false);
            state.nextCommand();
        }, false, false),
        ANSWERING_WHILE_READING(state -> {
            state.offer(COMMAND, false);
            state.nextCommand();
            state.beginMessage();
        }, false, false),
        LAST_COMMAND_QUEUED(state -> state.offerFinal(COMMAND), false, false),
        /** Answered before the reading thread came to the next message: the close that this answer waited for must not be missed. */
        ANSWERED(state -> {
            receive(state);
            state.offer(COMMAND, false);
            state.nextCommand();
            state.nextCommand();
        }, true, true),
        REFUSAL_ANSWERED(state -> {
            receive(state);
            state.offerRefusal(false);
            state.nextCommand();
            state.nextCommand();
        }, true, true),
        ANSWERED_WITH_THE_NEXT_MESSAGE_BUFFERED(state -> {
            receive(state);
            state.offer(COMMAND, true);
            state.nextCommand();
            state.nextCommand();
        }, false, true),
        ANSWERED_WHILE_READING(state -> {
            state.offer(COMMAND, false);
            state.nextCommand();
            state.beginMessage();
            state.nextCommand();
        }, false, true),
        CLOSED(SessionState::end, false, false);

        private final Consumer<SessionState> path;
        private final boolean endsIfIdle, endsUnlessOwed;

        Situation(Consumer<SessionState> path, boolean endsIfIdle, boolean endsUnlessOwed) {
            this.path = path;
            this.endsIfIdle = endsIfIdle;
            this.endsUnlessOwed = endsUnlessOwed;
        }

        private static void receive(SessionState state) {
            state.beginMessage();
            state.messageReceived();
        }

        SessionState reach() {
            SessionState state = new SessionState(REFUSAL);
            path.accept(state);
            return state;
        }
    }

    private static void assertEnds(boolean expected, Situation situation, Predicate<SessionState> close) {
        SessionState state = situation.reach();
        assertEquals(expected, close.test(state));
        assertEquals(expected || situation == Situation.CLOSED, state.isClosed());
        boolean isOpen = !state.isClosed();
        assertEquals(isOpen, state.beginMessage(), "further input is accepted while the connection is open");
        assertEquals(isOpen, state.offer(COMMAND, false) != Offer.DROPPED);
    }

    /** An idle close, at the cap or in an evacuation, a drain or an upgrade, takes no message along of which something was read. */
    @ParameterizedTest
    @EnumSource
    void idleCloses(Situation situation) {
        assertEnds(situation.endsIfIdle, situation, SessionState::endIfIdle);
        assertEnds(situation.endsIfIdle, situation, state -> state.endIfRequested(true));
        assertEnds(false, situation, state -> state.endIfRequested(false));
        assertEnds(situation.endsIfIdle, situation, state -> {
            state.requestClose();
            return state.endIfRequested(false);
        });
    }

    /** A close that makes room for a newcomer takes no message along that was read to its end. */
    @ParameterizedTest
    @EnumSource
    void closesForNewcomers(Situation situation) {
        assertEnds(situation.endsUnlessOwed, situation, SessionState::endUnlessOwed);
    }

    /** The client's own end, a stall or a broken answer ends every state; what was not answered is handed back to be released. */
    @ParameterizedTest
    @EnumSource
    void endsAtOnce(Situation situation) {
        assertEnds(situation != Situation.CLOSED, situation, state -> state.end().first());
        SessionState state = situation.reach();
        assertEquals(situation == Situation.QUEUED ? 1 : 0, state.end().commands().size());
        assertNull(state.nextCommand());
    }

    /** A connection whose reading has stopped is closed behind its last answer, even if the order to close it is taken back meanwhile. */
    @Test
    void stopsReadingOnlyBehindCommandsThatAreAnswered() {
        SessionState state = Situation.ANSWERED.reach();
        assertFalse(state.stopReading(), "an idle connection is closed at once, or reads one more command");
        state.offer(COMMAND, false);
        assertTrue(state.stopReading());
        assertEquals(COMMAND, state.nextCommand());
        assertFalse(state.endIfRequested(false), "the command is being answered");
        assertNull(state.nextCommand());
        assertTrue(state.endIfRequested(false));
    }

    @Test
    void commandsAreAnsweredInOrderAndTheFinalOneLast() {
        SessionState state = new SessionState(REFUSAL);
        assertEquals(Offer.TO_ANSWER, state.offer(COMMAND, false));
        for (int i = 1; i < SessionState.MAX_QUEUED; i++) {
            assertTrue(state.canQueue());
            assertEquals(Offer.QUEUED, state.offer(COMMAND, false));
        }
        assertFalse(state.canQueue());
        assertEquals(Offer.QUEUED, state.offerRefusal(false));
        ClientCommand last = ClientCommand.of(ClientCommand.Kind.TERMINATE);
        assertEquals(Offer.QUEUED, state.offerFinal(last));
        for (int i = 0; i < SessionState.MAX_QUEUED; i++) {
            assertEquals(COMMAND, state.nextCommand());
        }
        assertEquals(REFUSAL, state.nextCommand());
        assertEquals(last, state.nextCommand());
        assertNull(state.nextCommand());
        assertTrue(state.canQueue(), "the queue is empty again");
    }
}
