package holdmux.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Workers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class BuffersTest {
    /** Long messages that are all half read when the budget is spent must not wait for each other for good. */
    @Test
    void halfReadMessagesDoNotLockEachOtherOut() throws Exception {
        Buffers buffers = new Buffers(16 * Buffers.SIZE, 8 * Buffers.SIZE, () -> false);
        CountDownLatch whole = new CountDownLatch(6);
        CountDownLatch halfway = new CountDownLatch(1);
        for (int i = 0; i < 6; i++) {
            Object reader = new Object();
            Workers.thread("reader", () -> {
                try {
                    List<byte[]> parts = new ArrayList<>();
                    parts.add(buffers.takeFor(reader, () -> false));
                    halfway.await();
                    while (parts.size() < 8) {
                        parts.add(buffers.takeFor(reader, () -> false));
                    }
                    buffers.wholeFor(reader);
                    parts.forEach(buffers::give);
                    whole.countDown();
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }).start();
        }
        halfway.countDown();
        assertTrue(whole.await(10, TimeUnit.SECONDS));
    }

    /** The budget holds, is halved while another process has its share, and a client that left waits no more. */
    @Test
    void theBudgetHolds() throws Exception {
        boolean[] halved = {false};
        Buffers buffers = new Buffers(10 * Buffers.SIZE, Buffers.SIZE, () -> halved[0]);
        List<byte[]> taken = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            taken.add(buffers.take());
        }
        assertThrows(Buffers.NoneFree.class, buffers::take);
        assertThrows(IOException.class, () -> buffers.takeFor(this, () -> true));
        halved[0] = true;
        taken.subList(0, 4).forEach(buffers::give);
        assertThrows(Buffers.NoneFree.class, buffers::take);
        buffers.give(taken.get(4));
        buffers.give(taken.get(5));
        assertEquals(Buffers.SIZE, buffers.take().length);
    }

    /** A text in a chain of buffers reads as it would in one array, wherever a letter of several bytes is cut. */
    @Property(tries = 60, seed = "61")
    void aChainReadsAsOne(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        byte[] bytes = new byte[Buffers.SIZE + random.nextInt(2 * Buffers.SIZE)];
        Arrays.fill(bytes, (byte) 'a');
        byte[] letter = new byte[][] {{'b'}, "\u00fc".getBytes(StandardCharsets.UTF_8),
            "\uD83D\uDE00".getBytes(StandardCharsets.UTF_8), {(byte) 0xc3, 'x'}, {(byte) 0xff}}[random.nextInt(5)];
        int at = Buffers.SIZE - 4 + random.nextInt(8);
        System.arraycopy(letter, 0, bytes, at, letter.length);
        bytes[bytes.length - 1] = '\'';
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += Buffers.SIZE) {
            parts.add(Arrays.copyOfRange(bytes, from, from + Buffers.SIZE));
        }
        Text text = new Text(parts, bytes.length, true);
        assertEquals(bytes.length - 1, text.find('\'', random.nextInt(bytes.length)));
        assertEquals(bytes.length - 1, text.butLast().find('\'', 3), "not found is the length");
        assertEquals(bytes[at], text.at(at));
        assertEquals(new String(bytes, at - 9, 20, StandardCharsets.UTF_8), text.string(at - 9, at + 11));
        boolean valid = true;
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
        } catch (CharacterCodingException e) {
            valid = false;
        }
        assertEquals(valid, text.isUtf8());
    }
}
