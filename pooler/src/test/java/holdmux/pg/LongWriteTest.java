package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests long statements to a server that stops reading in the middle of one. */
@Timeout(20)
class LongWriteTest extends PoolerFixture {
    /** Window within which the servers drop a repeat of a keyed write. */
    private static final long WINDOW_MS = 2_000;
    /** Value of the insert, which is far larger than the buffers between pooler and server. */
    private static final int VALUE_BYTES = 4 * MIB;

    @Override
    String settings(String sample) {
        return sample.replace("\"effect\":\"at_most_once\"", "\"dedup-scope\":\"all\",\"effect\":\"deduplicated\",\"window-ns\":"
                + WINDOW_MS * Clock.MS);
    }

    private String askWithLongValue() throws IOException {
        String insert = WRITE.replace("id=9b,", "id=w" + LAST_ID.incrementAndGet() + ",k=key1,")
                .replace("\\x9f", "\\x" + "9f".repeat(VALUE_BYTES));
        byte[] text = insert.getBytes(StandardCharsets.UTF_8);
        try (Socket client = client()) {
            send(client, PoolerFixture::startup);
            client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(text.length + 5).array());
            client.getOutputStream().write(text);
            client.getOutputStream().write(0);
            return readTypes(client, 2);
        }
    }

    /** Guards against a repeat of a keyed write that comes whole only after the key is forgotten, so that it is applied twice. */
    @Test
    void aRepeatThatBlocksPastItsWindowIsGivenUp() throws IOException {
        answerScript = null; // each connection ends once its request has come whole
        AtomicInteger longMessages = new AtomicInteger();
        AtomicLong firstAt = new AtomicLong();
        beforeBody = length -> {
            if (length < VALUE_BYTES) {
                return;
            } else if (longMessages.incrementAndGet() == 1) {
                firstAt.set(System.nanoTime());
            } else {
                sleep(Math.max(0, WINDOW_MS + 300 - (System.nanoTime() - firstAt.get()) / Clock.MS));
            }
        };
        String answer = askWithLongValue();
        for (int i = 0; i < 300 && cutOff.get() == 0 && queries.size() < 2; i++) {
            sleep(10);
        }
        assertEquals(1, queries.size(), "attempts that came whole");
        assertEquals("hello E53300Z", answer, "the key makes a further request harmless");
        assertEquals(2, longMessages.get());
    }

    /** Guards against a server that works on after its client has given up, since the time it was told was not what was left. */
    @Test
    void theTimeToldIsWhatIsLeftWhenTheStatementEnds() throws IOException {
        long pauseMs = 800;
        beforeBody = length -> sleep(length < VALUE_BYTES ? 0 : pauseMs);
        assertEquals("hello TDCZ", askWithLongValue());
        long told = Long.parseLong(queries.get(0).replaceAll("(?s).*,d=(\\d+),.*", "$1"));
        assertTrue(told <= 3_000 - pauseMs + 150, "told " + told + " ms");
    }
}
