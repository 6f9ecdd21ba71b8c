package holdmux.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class BufferPoolTest {
    /** The budget is enforced, and halved while another process shares it. */
    @Test
    void enforcesTheBudget() throws Exception {
        boolean[] halved = {false};
        BufferPool buffers = new BufferPool(10 * BufferPool.BUFFER_SIZE, () -> halved[0]);
        List<byte[]> taken = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            taken.add(buffers.acquire());
        }
        assertThrows(BufferPool.ExhaustedException.class, buffers::acquire);
        halved[0] = true;
        taken.subList(0, 4).forEach(buffers::release);
        assertThrows(BufferPool.ExhaustedException.class, buffers::acquire);
        buffers.release(taken.get(4));
        buffers.release(taken.get(5));
        assertEquals(BufferPool.BUFFER_SIZE, buffers.acquire().length);
    }

    /** A text in several buffers reads as it would in one array, wherever a multi-byte character is split. */
    @Property(tries = 60, seed = "61")
    void chunkedTextReadsLikeOneArray(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        byte[] bytes = new byte[BufferPool.BUFFER_SIZE + random.nextInt(2 * BufferPool.BUFFER_SIZE)];
        Arrays.fill(bytes, (byte) 'a');
        byte[] sequence = new byte[][] {{'b'}, "\u00fc".getBytes(StandardCharsets.UTF_8),
            "\uD83D\uDE00".getBytes(StandardCharsets.UTF_8), {(byte) 0xc3, 'x'}, {(byte) 0xff}}[random.nextInt(5)];
        int at = BufferPool.BUFFER_SIZE - 4 + random.nextInt(8);
        System.arraycopy(sequence, 0, bytes, at, sequence.length);
        bytes[bytes.length - 1] = '\'';
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += BufferPool.BUFFER_SIZE) {
            parts.add(Arrays.copyOfRange(bytes, from, from + BufferPool.BUFFER_SIZE));
        }
        ChunkedText text = new ChunkedText(parts, bytes.length, true);
        assertEquals(bytes.length - 1, text.indexOfOrEnd('\'', random.nextInt(bytes.length)));
        assertEquals(bytes.length - 1, text.withoutLastByte().indexOfOrEnd('\'', 3), "the length where not found");
        assertEquals(bytes[at], text.byteAt(at));
        assertEquals(new String(bytes, at - 9, 20, StandardCharsets.UTF_8), text.substring(at - 9, at + 11));
        boolean valid = true;
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
        } catch (CharacterCodingException e) {
            valid = false;
        }
        assertEquals(valid, text.isUtf8());
    }
}
