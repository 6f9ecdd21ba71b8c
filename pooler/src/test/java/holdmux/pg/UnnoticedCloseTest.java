package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.statement.SqlState;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests attempts for clients whose close lies behind input that has not been read yet. */
@Timeout(20)
class UnnoticedCloseTest extends PoolerFixture {
    /** Input behind the request, which takes the pooler 0.4 s to discard. */
    private static final int INPUT_BYTES = 3 * MIB;
    /** When the server turns the first attempt away. */
    private static final long TURNED_AWAY_MS = 250;

    /** Sends a request and the beginning of a message that is far too long; all that came before is read, or a close would reset. */
    private static void sendRequestAndMuchMore(Socket client) throws IOException {
        send(client, PoolerFixture::startup);
        assertEquals("hello ", readTypes(client, 1));
        send(client, m -> query(m, WRITE));
        client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60 * MIB).array());
        client.getOutputStream().write(new byte[INPUT_BYTES]);
    }

    private void turnAwayTheFirstAttempt() {
        answerScript = m -> {
            answerScript = ok -> AnswerTest.result(ok, "v").readyForQuery();
            sleep(TURNED_AWAY_MS);
            m.error(false, SqlState.TOO_MANY_CONNECTIONS, "full", null).readyForQuery();
        };
    }

    /** Guards against a further attempt for a client that has gone: its close was noticed only once all its input was discarded. */
    @Test
    void noAttemptBeginsWhileTheCloseMayLieUnread() throws IOException {
        turnAwayTheFirstAttempt();
        try (Socket client = client()) {
            sendRequestAndMuchMore(client);
        }
        while (front.openClients() > 0) {
            sleep(1);
        }
        sleep(50);
        assertEquals(1, queries.size(), "attempts");
    }

    /** Guards against leaving a request without its answer if its client has not gone. */
    @Test
    void theRequestIsRefusedIfItsClientStays() throws IOException {
        turnAwayTheFirstAttempt();
        try (Socket client = client()) {
            sendRequestAndMuchMore(client);
            assertEquals("E53300ZE54000|", readTypes(client, 2));
        }
        assertEquals(1, queries.size(), "attempts");
    }
}
