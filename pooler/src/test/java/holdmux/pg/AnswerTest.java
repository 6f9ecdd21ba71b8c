package holdmux.pg;

import holdmux.core.Reply;
import holdmux.core.ServerStatus;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import holdmux.statement.BufferPool;
import holdmux.statement.SqlState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;


class AnswerTest {
    private static final long MS = 1_000_000L;
    private static final long ZERO_S = 1_767_225_000L;
    private static final ServerStatus.ReportFormat REPORT_FORMAT =
            new ServerStatus.ReportFormat(List.of("x0", "x1", "outstanding", "utilization"), ZERO_S * 1_000 * MS);

    static byte[] bytes(Consumer<MessageBuilder> composer) {
        MessageBuilder message = new MessageBuilder(new byte[1_024]);
        composer.accept(message);
        byte[] bytes = new byte[message.bytes().remaining()];
        message.bytes().get(bytes);
        return bytes;
    }

    /** Composes a result with one row, up to CommandComplete. */
    static MessageBuilder result(MessageBuilder message, String value) {
        byte[] data = value.getBytes(StandardCharsets.UTF_8);
        return message.begin('T').putShort(1).put("data").put(0).putShort(0).put(17).putShort(-1).put(-1).putShort(1)
                .end().begin('D').putShort(1).put(data.length).put(data, 0, data.length).end()
                .begin('C').put("SELECT 1").end();
    }

    private static final byte[] SERVED = bytes(m -> result(m, "v1").parameterStatus("replication_role", "standby")
            .parameterStatus("log_position", "1767225600123")
            .parameterStatus("pressure", "x0=1767225599.5,x1=0,inflight=7,util=0.61").readyForQuery());

    private static Answer answer(byte[] bytes) throws ProtocolException {
        Answer answer = new Answer(Arrays.copyOf(bytes, 2_048), REPORT_FORMAT);
        answer.parse(bytes.length);
        return answer;
    }

    private static Outcome errorOutcome(String sqlState) throws ProtocolException {
        return answer(bytes(m -> m.error(false, sqlState, "no", null).readyForQuery())).reply().outcome();
    }

    @Test
    void aServedAnswerCarriesRolePositionAndReport() throws ProtocolException, IOException {
        Answer answer = answer(SERVED);
        assertTrue(answer.endedCleanly());
        Reply reply = answer.reply();
        assertEquals(Outcome.OK, reply.outcome());
        assertEquals(Role.REPLICA, reply.role());
        assertEquals(1_767_225_600_123L * MS, reply.positionNs());
        assertArrayEquals(new float[] {599.5f, 0, 7, 0.61f}, reply.report());
        ByteArrayOutputStream client = new ByteArrayOutputStream();
        answer.writeTo(client);
        assertArrayEquals(bytes(m -> result(m, "v1").readyForQuery()), client.toByteArray(), "the row is forwarded unchanged");
        Answer full = new Answer(bytes(m -> result(m, "v1")), REPORT_FORMAT); // the buffer ends with the row, as after a broken connection
        full.parse(full.buffer.length);
        ByteArrayOutputStream other = new ByteArrayOutputStream();
        full.writeTo(other);
        assertArrayEquals(client.toByteArray(), other.toByteArray());
    }

    @Test
    void sqlStatesMapToOutcomes() throws ProtocolException {
        assertEquals(Outcome.MISS, errorOutcome("25006"));
        assertEquals(Outcome.MISS, errorOutcome("72000"));
        assertEquals(Outcome.FULL, errorOutcome("53300"));
        assertEquals(Outcome.ERROR, errorOutcome("XX000"));
        assertEquals(Outcome.ERROR, errorOutcome("08P01"), "the request may have run unless the SQLSTATE rules it out");
    }

    @Test
    void aProbeReadsItsRowAsTheReport() throws ProtocolException {
        Answer answer = answer(bytes(m -> result(m, "util=0.25,x0=1767225001,x1=1,inflight=2").readyForQuery()));
        assertArrayEquals(new float[] {1, 1, 2, 0.25f}, answer.probeReply().report());
        Answer busy = answer(bytes(m -> m.error(false, "57P03", "busy", null).readyForQuery()));
        assertEquals(Outcome.FULL, busy.probeReply().outcome());
        Answer truncated = answer(bytes(m -> result(m, "x0=17672").readyForQuery()));
        assertEquals(0, truncated.probeReply().report().length, "an incomplete report is ignored");
    }

    /** Guards against serving anything but a single row: not two, and none without its RowDescription. */
    @Test
    void malformedResultsAreNotServed() throws ProtocolException {
        assertThrows(ProtocolException.class, () -> answer(bytes(m -> m.begin('D').putShort(0).end())));
        assertThrows(ProtocolException.class, () -> answer(bytes(m -> result(result(m, "a"), "b"))));
        Answer empty = answer(bytes(m -> m.begin('C').put("SELECT 0").end().readyForQuery()));
        assertEquals(Outcome.ERROR, empty.reply().outcome());
    }

    /** A valid answer followed by garbage or by a second copy is served; its connection is not reused. */
    @Test
    void bytesBehindAnAnswerOnlyPreventReuseOfItsConnection() throws ProtocolException {
        Answer answer = answer(bytes(m -> result(result(m, "a").readyForQuery(), "a").readyForQuery()));
        assertEquals(Outcome.OK, answer.reply().outcome());
        assertFalse(answer.endedCleanly());
    }

    /** Guards against taking the late second copy of a sync query's response for the answer to the next request. */
    @Test
    void aSyncResponseIsNotAnAnswer() throws ProtocolException {
        Answer answer = new Answer(new byte[2_048], REPORT_FORMAT);
        MessageBuilder message = new MessageBuilder(answer.buffer);
        message.begin('C').put(SyncQuery.COMMAND).end().parameterStatus("replication_role", "primary").readyForQuery();
        assertFalse(answer.parse(message.bytes().remaining()));
        AnswerTest.result(message, "v").readyForQuery();
        assertTrue(answer.parse(message.bytes().remaining()));
        assertEquals(Outcome.OK, answer.reply().outcome());
        assertEquals(Role.UNKNOWN, answer.reply().role(), "the role told with the response is as old as the response");
        assertTrue(answer.endedCleanly());
    }

    /** Guards against reusing a connection whose answer has no result: what was received may be an earlier query's. */
    @Test
    void anAnswerWithoutAResultPreventsReuseOfItsConnection() throws ProtocolException {
        Answer answer = answer(bytes(MessageBuilder::readyForQuery));
        assertEquals(Outcome.ERROR, answer.reply().outcome());
        assertFalse(answer.endedCleanly());
    }

    /** Guards against NaN and other invalid values reaching the decision module, whose averages would never recover. */
    @Test
    void anUnreadableReportIsIgnored() throws ProtocolException {
        for (String bad : List.of("NaN", "Infinity", "-1", "%%%", "1e999")) {
            Answer answer = answer(bytes(m -> result(m, "a")
                    .parameterStatus("pressure", "x0=1767225599.5,x1=0,inflight=7,util=" + bad).readyForQuery()));
            assertEquals(Outcome.OK, answer.reply().outcome());
            assertEquals(0, answer.reply().report().length, bad);
        }
    }

    @Property(tries = 200, seed = "21")
    void incrementalParsingMatchesParsingAtOnce(@ForAll @IntRange(min = 1, max = 60) int piece) throws ProtocolException {
        Answer answer = new Answer(new byte[2_048], REPORT_FORMAT);
        for (int length = 0; length < SERVED.length; length = Math.min(SERVED.length, length + piece)) {
            System.arraycopy(SERVED, 0, answer.buffer, 0, length);
            assertFalse(answer.parse(length), "complete at " + length);
        }
        System.arraycopy(SERVED, 0, answer.buffer, 0, SERVED.length);
        assertTrue(answer.parse(SERVED.length));
        assertEquals(Outcome.OK, answer.reply().outcome());
    }

    @Property(tries = 500, seed = "22")
    void garbageRaisesOnlyProtocolViolations(@ForAll byte[] garbage, @ForAll @IntRange(max = 90) int at) {
        byte[] bytes = SERVED.clone();
        System.arraycopy(garbage, 0, bytes, at, Math.min(garbage.length, bytes.length - at));
        for (byte[] input : new byte[][] {garbage, bytes}) {
            try {
                Answer answer = answer(Arrays.copyOf(input, Math.min(input.length, 2_048)));
                assertTrue(answer.reply().outcome() != null && answer.probeReply().outcome() != null);
            } catch (ProtocolException e) {
                assertEquals(SqlState.PROTOCOL_VIOLATION, e.sqlState);
            }
        }
    }

    /** A long row is streamed as soon as its header and lengths are received, and only if the lengths are consistent. */
    @Test
    void aLongRowStreamsOnceItsLengthsHaveCome() throws ProtocolException {
        for (int length : new int[] {64 * 1024, 64 * 1024 + 1, 4 * 1024 * 1024}) {
            Answer answer = streamingAnswer(length + 10, length);
            assertEquals(length > 64 * 1024, answer.isStreaming());
            assertEquals(answer.isStreaming() ? length : -1, answer.remainingRowBytes());
        }
        assertThrows(ProtocolException.class, () -> streamingAnswer(100_010, 99_999));
        assertThrows(ProtocolException.class, () -> streamingAnswer(5 << 20, (5 << 20) - 10));
        assertThrows(ProtocolException.class, () -> streamingAnswer(Integer.MAX_VALUE, Integer.MAX_VALUE - 10));
    }

    private static Answer streamingAnswer(int messageLength, int valueLength) throws ProtocolException {
        byte[] bytes = bytes(m -> m.begin('T').putShort(1).put("data").put(0).putShort(0).put(17).putShort(-1).put(-1)
                .putShort(1).end().put('D').put(messageLength).putShort(1).put(valueLength));
        Answer answer = new Answer(Arrays.copyOf(bytes, BufferPool.BUFFER_SIZE), REPORT_FORMAT);
        answer.parse(bytes.length);
        return answer;
    }
}
