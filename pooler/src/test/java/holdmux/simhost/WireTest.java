package holdmux.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.EndReason;
import holdmux.decision.SplitterApi.*;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Decodes and encodes the example frames of the wire protocol's specification, and rejects malformed ones. */
class WireTest {
    private static final class RecordingSink implements WireReader.Sink {
        final List<String> calls = new ArrayList<>();
        final List<Event> events = new ArrayList<>();

        @Override
        public void spawn(int instance, long seed, String config) {
            calls.add("spawn " + instance + " " + seed + " " + config);
        }

        @Override
        public void killed(int instance) {
            calls.add("killed " + instance);
        }

        @Override
        public void event(int instance, Event event) {
            calls.add("event " + instance);
            events.add(event);
        }

        @Override
        public long zeroNs(int instance) {
            return 1_000;
        }
    }

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("[^0-9a-f]", ""));
    }

    private static byte[] batch(int records, String body) {
        byte[] bytes = hex(body);
        return hex(String.format("00000001f568bf90 %08x %08x", 16 + bytes.length, records)
                + HexFormat.of().formatHex(bytes));
    }

    private static RecordingSink decode(byte[] frame) throws IOException {
        WireReader reader = new WireReader(new ByteArrayInputStream(frame));
        assertTrue(reader.readBatch());
        assertEquals(0x1f568bf90L, reader.batchTimeNs());
        RecordingSink sink = new RecordingSink();
        reader.decode(sink);
        return sink;
    }

    private static String encode(int instance, Action... actions) throws IOException {
        WireWriter writer = new WireWriter();
        writer.beginReply();
        for (Action action : actions) {
            writer.write(instance, action);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flushTo(out);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    private static String run(byte[] input, int exit) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = SimHost.run(new ByteArrayInputStream(input), new ByteArrayOutputStream(), new PrintStream(err));
        assertEquals(exit, status);
        return err.toString(StandardCharsets.UTF_8);
    }

    private static void assertFails(byte[] input, String expected) {
        String output = run(input, 1);
        assertEquals(1, output.lines().count(), output);
        assertTrue(output.contains(expected), output);
    }

    @Test
    void emptyBatch() throws IOException {
        assertTrue(decode(hex("00000001f568bf90 00000010 00000000")).calls.isEmpty());
        assertEquals("0000000000000008", encode(0));
    }

    @Test
    void decodesSpecExampleEvents() throws IOException {
        RecordingSink sink = decode(batch(3, """
                03f2 00000003 000585545d3a91c4 00 01 000000000e4e1c00 43ce4000 0000000000b71b00
                91f03b7c55d20a64 0000 41300000
                03fc 00000003 0000004d
                0424 00000005 000ab2690e6f2b19"""));
        assertEquals(List.of("event 3", "event 3", "event 5"), sink.calls);
        Arrived a = (Arrived) sink.events.get(0);
        assertEquals(0x000585545d3a91c4L, a.id());
        assertEquals(240_000_000L, a.remainingNs());
        assertTrue(a.tokenAgeNs() < 412_500_000L && a.tokenAgeNs() > 412_499_000L, "rounded down: " + a.tokenAgeNs());
        assertEquals(12_000_000L, a.effortNs());
        assertEquals(0x91f03b7c55d20a64L, a.session());
        assertEquals(11, a.group());
        assertEquals(new Wakeup(77), sink.events.get(1));
        assertEquals(new ClientLeft(0x000ab2690e6f2b19L), sink.events.get(2));
    }

    @Test
    void decodesSpecExampleAnswer() throws IOException {
        Answered v = (Answered) decode(batch(1,
                "0406 00000003 000585545d3a91c4 0a124a07 138b 01 01 00000000011a49a0 0000638e 00 00")).events.get(0);
        assertEquals(0x0a124a07138bL, v.store());
        assertTrue(v.isFinal());
        assertEquals(Outcome.OK, v.outcome());
        assertEquals(18_500_000L, v.latencyNs());
        assertEquals(Role.REPLICA, v.role());
        assertEquals(1_000 + 0x638eL / 4 * 1_000_000, v.positionNs());
    }

    @Test
    void decodesServerListsAndReusedListNumbers() throws IOException {
        String targets = "044c 00000003 00000029 00 00";
        RecordingSink sink = decode(batch(4, """
                041a 00 00000002
                3f800000 00 01 000b 0a124a07 138b 00 0000000000000000 3f800000
                00000000 00 01 000b 0a9011f2 13b4 00 000000016b969d00 3fc00000
                """ + targets + "041a 00 00000000" + targets));
        ListChanged list = (ListChanged) sink.events.get(0);
        assertEquals(ListMode.CACHED, list.mode());
        assertEquals(41, list.generation());
        assertEquals(new Listing(0x0a124a07138bL, 11, 0, 0, Availability.READY, true, 0, 1f), list.lines().get(0));
        assertEquals(0x16b969d00L, list.lines().get(1).startedAt());
        assertTrue(((ListChanged) sink.events.get(1)).lines().isEmpty());
    }

    @Test
    void decodesOtherEvents() throws IOException {
        RecordingSink sink = decode(batch(5, """
                0438 00000001 0a124a07 138b 01 0000000000000005 02 3f800000 40000000
                0442 00000001 0000000000000009 02 0a124a07 138b 0000000000000007
                03e8 00000001 00000004 0002 6869
                042e 00000002
                0410 00000002 0000000000000008 00000003 613d62"""));
        Checked checked = (Checked) sink.events.get(0);
        assertEquals(2f, checked.report()[1]);
        assertEquals(new Started(9, 0x0a124a07138bL, 2), sink.events.get(1));
        assertEquals(4, ((PeerMessage) sink.events.get(2)).from());
        assertEquals("killed 2", sink.calls.get(3));
        assertEquals("spawn 2 8 a=b", sink.calls.get(4));
    }

    @Test
    void encodesSpecExampleActions() throws IOException {
        assertEquals("000000030000004f"
                + "03e800000003000585545d3a91c40a124a07138b0000000004c4b400"
                + "041000000003000000001dcd65000000004d"
                + "043800000005001174776f2073657276657273206b6e6f776e", encodeExampleReply());
        assertEquals("042e00000003ffff000468692037",
                encode(3, new MemoTo(0xffff, "hi 7".getBytes(StandardCharsets.UTF_8))).substring(16));
    }

    private static String encodeExampleReply() throws IOException {
        WireWriter writer = new WireWriter();
        writer.beginReply();
        writer.write(3, new Transmit(0x000585545d3a91c4L, 0x0a124a07138bL, 80_000_000L));
        writer.write(3, new Schedule(500_000_000L, 77));
        writer.write(5, new Remark("two servers known"));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flushTo(out);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    @Test
    void encodesOtherActions() throws IOException {
        Map<String, Action> encodings = new TreeMap<>(Map.of("040600000001000000000000000902", new Retract(9, 2),
                "03f20000000100000000000000090000000000000005", new Decline(9, 5, EndReason.NO_SERVER),
                "03fc000000010000000000000009", new RespondError(9, EndReason.NO_SERVER),
                "041a000000010a124a07138b", new Inspect(0x0a124a07138bL),
                "0424000000010a124a07138b", new CloseIdle(0x0a124a07138bL),
                "044c0000000101", new Subscribe(true), "045600000001", new ListAll()));
        for (Map.Entry<String, Action> encoding : encodings.entrySet()) {
            assertEquals(encoding.getKey(), encode(1, encoding.getValue()).substring(16));
        }
    }

    @Test
    void badInputFailsWithOneLine() {
        assertFails(hex("00000001f568"), "inside a batch header");
        assertFails(hex("00000001f568bf90 00000020 00000001"), "inside a batch");
        assertFails(batch(1, "0001 00000001"), "unknown event code 1");
        assertFails(batch(1, "03fc 00000003"), "past the end");
        assertFails(batch(1, "03fc 00000003 0000004d 00"), "1 bytes are left");
        assertFails(batch(1, "0406 00000003 000585545d3a91c4 0a124a07 138b 01 0a 0000000000000000 00000000 00 00"),
                "unknown outcome 10");
        assertFails(spawn("me=0"), "is missing");
        assertFails(spawn(CONFIG.replace("balancers=2", "balancers=0")), "balancers is 0");
        assertFails(spawn(CONFIG.replace("guards=refuse", "guards=maybe")), "unknown value maybe");
    }

    private static final String CONFIG = """
            me=0
            balancers=2
            zone=0
            step-ns=5000000
            unknown.key=ignored
            request-classes.count=1
            request-classes.0.on-time-ns=600000000
            request-classes.0.deadline-ns=2500000000
            request-classes.0.effect=idempotent
            family-info.consistency=bounded
            family-info.class-bound-ns=200000000
            family-info.guards=refuse
            family-info.zero-ns=0
            family-info.token-mode=remembered
            discovery=subscribe
            guarantees.answer-slack-ns=20000000
            guarantees.drain-grace-ns=1000000000
            guarantees.ramp-time-ns=17000000000
            guarantees.fall-ns=3000000000
            allowed.max-attempts=6
            """;

    private static byte[] spawn(String config) {
        byte[] text = config.getBytes(StandardCharsets.UTF_8);
        return batch(1, String.format("0410 00000000 0000000000000001 %08x ", text.length)
                + HexFormat.of().formatHex(text));
    }

    @Test
    void optionalSettingsMayBeOmitted() {
        assertEquals("", run(spawn(CONFIG), 0));
    }

    /** An instance acts as it does alone, however its events are interleaved with those of another. */
    @Test
    void instancesAreIsolated() throws IOException {
        assertEquals(repliesFor(true, 1), repliesFor(false, 1));
        assertEquals(repliesFor(true, 2), repliesFor(false, 2));
    }

    private static String repliesFor(boolean both, int kept) {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        byte[] text = CONFIG.getBytes(StandardCharsets.UTF_8);
        for (int round = 0; round < 50; round++) {
            StringBuilder body = new StringBuilder();
            int records = 0;
            for (int i = 1; i <= 2; i++) {
                if (both || i == kept) {
                    records++;
                    body.append(round == 0
                            ? String.format("0410 %08x %016x %08x ", i, i, text.length)
                                    + HexFormat.of().formatHex(text)
                            : String.format("03f2 %08x %016x 00 00 %016x 00000000 %016x %016x 0000 41300000 ", i,
                                    round * 2 + i, 50_000_000L, 0, 0));
                }
            }
            in.writeBytes(batch(records, body.toString()));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(0, SimHost.run(new ByteArrayInputStream(in.toByteArray()), out, System.err));
        String hex = HexFormat.of().formatHex(out.toByteArray());
        String id = String.format("%08x", kept);
        List<String> mine = new ArrayList<>();
        for (String code : List.of("0410", "044c", "03f2")) {
            for (int at = hex.indexOf(code + id); at >= 0; at = hex.indexOf(code + id, at + 1)) {
                mine.add(hex.substring(at, Math.min(hex.length(), at + 14)));
            }
        }
        assertTrue(!mine.isEmpty());
        return mine.toString();
    }
}
