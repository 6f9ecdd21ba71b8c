package holdmux.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class StatementTest {
    private static final String READ = "SELECT data FROM facts WHERE code = '7f3a' "
            + "/* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */";
    private static final String WRITE = "INSERT INTO facts (code, data) VALUES ('7f3a', '\\x9f03') RETURNING data "
            + "/* id=9b1f03aa5c7e2d41,c=order,d=4800,cluster=2,k=17 */";

    private static Statement parse(String text) throws StatementException {
        return parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Statement parse(byte[] text) throws StatementException {
        return Statement.parse(ChunkedText.of(Arrays.copyOf(text, text.length + 9), text.length)); // longer than the text, as buffers are
    }

    private static String textSent(Statement statement, long limitMs) {
        List<ByteBuffer> parts = statement.text(limitMs);
        ByteBuffer bytes = ByteBuffer.allocate(parts.stream().mapToInt(ByteBuffer::remaining).sum());
        parts.forEach(bytes::put);
        return new String(bytes.array(), StandardCharsets.UTF_8);
    }

    @Test
    void parsesRequestValues() throws StatementException {
        Statement read = parse(READ);
        assertFalse(read.write);
        assertEquals("basket", read.className);
        assertEquals(480, read.timeoutMs);
        assertEquals(2, read.group);
        assertEquals(1767225600123L, read.positionMs);
        Statement write = parse(WRITE);
        assertTrue(write.write);
        assertEquals(read.session(), write.session(), "reads and writes of one key belong to one session");
        assertNotEquals(read.session(), parse(READ.replace("7f3a", "7f3b")).session());
    }

    /** Servers reject a statement that no client sent: only the value of d may be rewritten. */
    @Test
    void onlyTheTimeoutIsRewritten() throws StatementException {
        assertEquals(WRITE.replace("d=4800", "d=77"), textSent(parse(WRITE), 77));
        String spaced = READ.replace("d=480,", " d = 480 ,").replace("7f3a", "d=480''ü/*");
        assertEquals(spaced.replace("d = 480", "d = 3"), textSent(parse(spaced), 3));
    }

    @Test
    void rejectsMalformedStatements() {
        assertRejected(SqlState.SYNTAX_ERROR, "DROP TABLE facts");
        assertRejected(SqlState.SYNTAX_ERROR, READ.replace(" */", ""));
        assertRejected(SqlState.SYNTAX_ERROR, READ + "; " + READ);
        assertRejected(SqlState.SYNTAX_ERROR, READ.replace("c=basket", "c"));
        assertRejected(SqlState.SYNTAX_ERROR, READ.replace("id=9b1f03aa5c7e2d41,", ""));
        assertRejected(SqlState.SYNTAX_ERROR, READ.replace("c=basket", "d=480"));
        assertRejected(SqlState.INVALID_PARAMETER_VALUE, READ.replace("d=480", "d=-1"));
        assertRejected(SqlState.INVALID_PARAMETER_VALUE, READ.replace("cluster=2", "cluster=99999"));
        assertRejected(SqlState.PROGRAM_LIMIT_EXCEEDED, WRITE.replace("9f03", "ab".repeat(4 * 1024 * 1024 + 1)));
        StatementException e = assertThrows(StatementException.class, () -> parse(new byte[] {'S', (byte) 0xff}));
        assertEquals(SqlState.CHARACTER_NOT_IN_REPERTOIRE, e.sqlState);
    }

    @Test
    void acceptsLargeValues() throws StatementException {
        String largest = WRITE.replace("9f03", "ab".repeat(64 * 1024));
        assertEquals(largest.replace("d=4800", "d=4000"), textSent(parse(largest), 4000));
    }

    private static void assertRejected(String sqlState, String text) {
        StatementException e = assertThrows(StatementException.class, () -> parse(text), text);
        assertEquals(sqlState, e.sqlState, e.getMessage());
    }

    @Property(tries = 300, seed = "11")
    void truncatedStatementsAreRejected(@ForAll boolean write, @ForAll @IntRange(max = 200) int at) {
        byte[] text = (write ? WRITE : READ).getBytes(StandardCharsets.UTF_8);
        byte[] cut = Arrays.copyOf(text, Math.min(at, text.length - 1));
        assertThrows(StatementException.class, () -> parse(cut));
    }

    /** Garbage may be refused with a StatementException but must not throw anything else. */
    @Property(tries = 500, seed = "12")
    void garbageThrowsOnlyStatementException(@ForAll byte[] garbage, @ForAll @IntRange(max = 100) int at) {
        byte[] text = READ.getBytes(StandardCharsets.UTF_8);
        System.arraycopy(garbage, 0, text, at, Math.min(garbage.length, text.length - at));
        for (byte[] input : new byte[][] {garbage, text}) {
            try {
                assertTrue(parse(input).timeoutMs > 0);
            } catch (StatementException e) {
                assertEquals(5, e.sqlState.length());
            }
        }
    }
}
