package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Deadlines;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the close of connections whose clients have not read the last answer yet, though the system has taken it. */
@Timeout(20)
class SlowReaderTest extends PoolerFixture {
    /** Small enough for the system to take it, and too large for the client's receive window. */
    private static final int VALUE_BYTES = 2 * MIB;
    /** Longer than any client needs that has received all. */
    private static final long WAIT_MS = 300;

    /** Why the connection is closed behind the answer. */
    private enum Cause {
        DRAIN {
            @Override
            void apply(PoolerFixture test, Socket client) {
                test.front.closeWhenIdle();
            }
        },
        EVACUATION {
            @Override
            void apply(PoolerFixture test, Socket client) {
                test.front.setEvacuating(true);
                sleep(500); // its clients are left alone at first
            }
        },
        BAD_INPUT {
            @Override
            void apply(PoolerFixture test, Socket client) throws IOException {
                send(client, m -> m.begin('P').put("extended").end());
            }
        },
        BROKEN_ANSWER {
            @Override
            void apply(PoolerFixture test, Socket client) throws IOException {
                test.pieces = new byte[][] {Arrays.copyOf(longRow(MIB), 100_000), null};
                test.nextPiece.release();
                send(client, m -> query(m, WRITE));
            }
        };

        abstract void apply(PoolerFixture test, Socket client) throws IOException;
    }

    /** Guards against a close that takes the answer along: input that comes behind it resets what is still to be sent. */
    @ParameterizedTest
    @EnumSource
    void anAnswerThatIsReadSlowlySurvivesTheClose(Cause cause) throws Exception {
        byte[] answer = longRow(VALUE_BYTES);
        pieces = new byte[][] {answer};
        nextPiece.release();
        try (Socket client = client()) {
            send(client, PoolerFixture::startup);
            assertEquals("hello ", readTypes(client, 1));
            send(client, m -> query(m, WRITE));
            for (int i = 0; i < 300 && front.idleClients() == 0; i++) {
                sleep(10);
            }
            assertEquals(1, front.idleClients(), "the system has taken the answer");
            cause.apply(this, client);
            sleep(WAIT_MS);
            send(client, m -> query(m, WRITE)); // crosses the close
            sleep(WAIT_MS);
            assertEquals(answer.length, client.getInputStream().readNBytes(answer.length).length, "bytes of the answer");
        }
        assertEquals(cause == Cause.BROKEN_ANSWER ? 2 : 1, queries.size(), "the query that crosses the close is not forwarded");
    }

    /** Guards against holding a connection for ever whose client reads nothing, and against holding one longer that has received all. */
    @Test
    void theTimeToReadIsBounded() throws IOException {
        AtomicLong nanos = new AtomicLong();
        Deadlines deadlines = new Deadlines(new Clock(() -> 0, nanos::get));
        ClientOutput out = new ClientOutput(OutputStream.nullOutputStream(), deadlines, () -> { });
        out.write(new byte[1_000]);
        assertTrue(out.remainingReadNs() < 10 * Clock.MS);
        out.write(new byte[MIB]);
        long longest = out.remainingReadNs();
        assertTrue(longest > 4_000 * Clock.MS, "1 MiB at 256 KB/s");
        nanos.addAndGet(1_000 * Clock.MS);
        assertEquals(longest - 1_000 * Clock.MS, out.remainingReadNs());
        for (int i = 0; i < 64; i++) {
            out.write(new byte[MIB]);
        }
        assertTrue(out.remainingReadNs() < 17_000 * Clock.MS, "the system holds 4 MiB at most");
        nanos.addAndGet(60_000 * Clock.MS);
        assertEquals(0, out.remainingReadNs());
    }
}
