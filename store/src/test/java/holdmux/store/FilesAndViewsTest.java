package holdmux.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.store.wire.Heard;
import holdmux.store.wire.LastGood;
import holdmux.store.wire.Standing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is kept in files and shown to operators. */
class FilesAndViewsTest {
    private static final long S = 1_000_000_000L;

    /** Torn anywhere, cut anywhere, of another kind or form: refused with a word; an interrupted write leaves the old one. */
    @Test
    void aFileIsWholeOrRefused(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("kept");
        byte[] payload = "what is kept".getBytes(StandardCharsets.UTF_8);
        ChecksummedFile.write(file, "testing1", payload);
        assertArrayEquals(payload, ChecksummedFile.read(file, "testing1"));
        assertTrue(refusal(file, "testing2").contains("is of form 1, this program reads 2"));
        assertTrue(refusal(file, "another1").contains("is no another file"));
        byte[] whole = Files.readAllBytes(file);
        for (int i = 0; i < whole.length; i++) {
            byte[] torn = whole.clone();
            torn[i] ^= 1;
            Files.write(file, torn);
            assertThrows(ChecksummedFile.InvalidFileException.class, () -> ChecksummedFile.read(file, "testing1"));
            Files.write(file, Arrays.copyOf(whole, i));
            assertThrows(ChecksummedFile.InvalidFileException.class, () -> ChecksummedFile.read(file, "testing1"));
        }
        Files.write(file, whole);
        Files.createDirectory(folder.resolve("kept.new")); // the next write cannot even begin
        assertThrows(IOException.class, () -> ChecksummedFile.write(file, "testing1", new byte[1]));
        assertArrayEquals(payload, ChecksummedFile.read(file, "testing1"));
    }

    private static String refusal(Path file, String name) {
        return assertThrows(ChecksummedFile.InvalidFileException.class, () -> ChecksummedFile.read(file, name)).getMessage();
    }

    /** The time a pooler was down counts, whichever clock can tell it; what no clock can tell is as old as can be. */
    @Test
    void whatWasKeptAgesWhileThePoolerIsDown() {
        LastGood kept = LastGood.newBuilder().setBoot("b1").setHeardNs(10 * S).setHeardUnixMs(50_000).build();
        assertEquals(7 * S, ConfirmationAge.ageNs(kept, "b1", 17 * S, 0, 100 * S), "one boot: the wall clock says nothing");
        assertEquals(3 * S, ConfirmationAge.ageNs(kept, "b2", 17 * S, 53_000, 100 * S), "another boot");
        assertEquals(100 * S, ConfirmationAge.ageNs(kept, "b2", 17 * S, 49_000, 100 * S), "the wall clock went back");
        assertEquals(100 * S, ConfirmationAge.ageNs(kept, "", 17 * S, 49_000, 100 * S), "no boot is told");
    }

    /** Of each pooler the latest word; a flood of names does not grow the list for ever. */
    @Test
    void theFleetsViewIsBoundedAndMergesByTheLatestWord() {
        FleetView one = new FleetView();
        FleetView two = new FleetView();
        one.update(standing("p1", 4), 0);
        two.update(standing("p1", 5), 3 * S);
        two.update(standing("p2", 4), S);
        List<Heard> merged = FleetView.merge(List.of(one.toFleet(4 * S), two.toFleet(4 * S)));
        assertEquals(List.of(5L, 4L), merged.stream().map(h -> h.getStanding().getNumber()).toList());
        assertEquals(1_000, merged.get(0).getAgoMs());
        for (int i = 0; i < 2 * FleetView.MAX_POOLERS; i++) {
            one.update(standing("x" + i, 1), S + i);
        }
        assertEquals(FleetView.MAX_POOLERS, one.toFleet(2 * S).getPoolersCount());
        one.update(standing("p9", 1), 2 * FleetView.EXPIRY_NS);
        assertEquals(1, one.toFleet(2 * FleetView.EXPIRY_NS).getPoolersCount());
    }

    private static Standing standing(String pooler, long number) {
        return Standing.newBuilder().setPooler(pooler).setNumber(number).build();
    }

    @Test
    void whatDiffersIsToldByKeyWhateverTheOrder() {
        assertEquals(List.of(), PolicyDiff.lines("{\"a\":1,\"b\":{\"c\":2}}", "{ \"b\" : {\"c\":2}, \"a\":1 }"));
        assertEquals(List.of("b.c: 2 -> 3", "d: (none) -> x"),
                PolicyDiff.lines("{\"a\":1,\"b\":{\"c\":2}}", "{\"a\":1,\"b\":{\"c\":3},\"d\":\"x\"}"));
    }
}
