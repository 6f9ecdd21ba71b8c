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
import org.junit.jupiter.api.Timeout;

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

    /** Guards against checks that name what is bad: servers void what no client sends, and the request was answered as served. */
    @Test
    void rejectsStatementsInNoFormOfTheProtocol() {
        for (String select : List.of("SELECT data FROM other WHERE code = '7f3a'", "SELECT secret FROM facts WHERE code = '7f3a'",
                "SELECT data FROM facts '7f3a'", "SELECT data FROM facts WHERE code = '7f3a' OR 'a' = 'a'",
                "SELECT data FROM facts WHERE code = '7f3a' junk", "SELECT )(* '7f3a'", "SELECT data FROM facts WHERE code = '7f3a' -- x",
                "SELECT data FROM facts WHERE code = '7f\0003a'", "SELECT data FROM facts WHERE code = '7f3a' '7f3a'",
                "SELECT data FROM factsWHERE code = '7f3a'", "SELECT data FROM facts WHERE code = ''7f3a''")) {
            assertRejected(SqlState.SYNTAX_ERROR, READ.replace("SELECT data FROM facts WHERE code = '7f3a'", select));
        }
        for (String insert : List.of("VALUES ('7f3a', '\\xzz') RETURNING data", "VALUES ('7f3a', '\\xabc') RETURNING data",
                "VALUES ('7f3a', 'ab') RETURNING data", "VALUES ('7f3a') RETURNING data", "VALUES ('7f3a', '\\x9f03')",
                "VALUES ('7f3a', '\\x9f03', 'x') RETURNING data", "VALUES ('7f3a', '\\x9f03') RETURNING code",
                "VALUES ('7f3a', '\\x9fé3') RETURNING data", "VALUES ('7f3a', '') RETURNING data")) {
            assertRejected(SqlState.SYNTAX_ERROR, WRITE.replace("VALUES ('7f3a', '\\x9f03') RETURNING data", insert));
        }
        for (String comment : List.of("id=1,c=basket,d=480,cluster=2 */ junk /* t=1", "id=1,c=basket,d=480,cluster=2,=1")) {
            assertRejected(SqlState.SYNTAX_ERROR, "SELECT data FROM facts WHERE code = '7f3a' /* " + comment + " */");
        }
        for (String value : List.of("d=+480", "d=0480", "cluster=+2", "cluster=02", "after=+1", "r=x", "id=a b", "id=<>",
                "id=" + "a".repeat(900))) {
            String name = value.substring(0, value.indexOf('='));
            assertRejected(SqlState.INVALID_PARAMETER_VALUE,
                    READ.replace(" */", ",r=0 */").replaceFirst("\\b" + name + "=[0-9a-f]+", value));
        }
    }

    /** What clients of any deployment may send: tenants, keys of requests, marks of retries, white space, any key and an empty value. */
    @Test
    void acceptsTheFormsOfTheProtocol() throws StatementException {
        assertTrue(parse(READ.replace(",d=", ",t=acme,r=1,k=5c0f,d=")).retry);
        assertEquals("7f''; DROP -- /* \u00fc", parse(READ.replace("7f3a", "7f''; DROP -- /* \u00fc")).key);
        assertEquals("", parse(READ.replace("7f3a", "")).key);
        assertEquals(READ.replace("d=480", "d=5"), textSent(parse(READ), 5));
        parse(READ.replace("SELECT data FROM facts WHERE code = ", "select  data\nfrom facts\twhere code="));
        parse(WRITE.replace("(code, data) VALUES ('7f3a', ", "( code,data )values('7f3a',"));
        parse(WRITE.replace("9f03", "9F0a"));
        parse(WRITE.replace("9f03", ""));
        assertEquals("550e8400-e29b-41d4-a716-446655440000",
                parse(READ.replace("9b1f03aa5c7e2d41", "550e8400-e29b-41d4-a716-446655440000")).id);
    }

    /** Guards against time that grows with the square of the length: one statement kept a core busy for 22 s. */
    @Test
    @Timeout(5)
    void longTextOfDoubledQuotesIsRejectedAtOnce() {
        String quotes = "''".repeat(4 * 1024 * 1024);
        assertRejected(SqlState.PROGRAM_LIMIT_EXCEEDED, READ.replace("7f3a", quotes));
        assertRejected(SqlState.SYNTAX_ERROR, WRITE.replace("\\x9f03", quotes.substring(8)));
    }

    private static String abbreviated(String text) {
        return text.substring(0, Math.min(text.length(), 200));
    }

    private static void assertRejected(String sqlState, String text) {
        StatementException e = assertThrows(StatementException.class, () -> parse(text), abbreviated(text));
        assertEquals(sqlState, e.sqlState, abbreviated(text) + ": " + e.getMessage());
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
