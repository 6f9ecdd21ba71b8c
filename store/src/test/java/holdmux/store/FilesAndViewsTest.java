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

/** The store's files and the views shown to operators. */
class FilesAndViewsTest {
    private static final long S = 1_000_000_000L;

    /** Corruption or truncation at any byte and foreign magics are rejected; a failed write leaves the old file intact. */
    @Test
    void damagedOrForeignFilesAreRejected(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("kept");
        byte[] payload = "what is kept".getBytes(StandardCharsets.UTF_8);
        ChecksummedFile.write(file, "testing1", payload);
        assertArrayEquals(payload, ChecksummedFile.read(file, "testing1"));
        assertTrue(rejectionMessage(file, "testing2").contains("is of form 1, this program reads 2"));
        assertTrue(rejectionMessage(file, "another1").contains("is no another file"));
        byte[] intact = Files.readAllBytes(file);
        for (int i = 0; i < intact.length; i++) {
            byte[] corrupted = intact.clone();
            corrupted[i] ^= 1;
            Files.write(file, corrupted);
            assertThrows(ChecksummedFile.InvalidFileException.class, () -> ChecksummedFile.read(file, "testing1"));
            Files.write(file, Arrays.copyOf(intact, i));
            assertThrows(ChecksummedFile.InvalidFileException.class, () -> ChecksummedFile.read(file, "testing1"));
        }
        Files.write(file, intact);
        Files.createDirectory(directory.resolve("kept.new")); // makes the next write fail when it opens its temporary file
        assertThrows(IOException.class, () -> ChecksummedFile.write(file, "testing1", new byte[1]));
        assertArrayEquals(payload, ChecksummedFile.read(file, "testing1"));
    }

    private static String rejectionMessage(Path file, String magic) {
        return assertThrows(ChecksummedFile.InvalidFileException.class, () -> ChecksummedFile.read(file, magic)).getMessage();
    }

    /** Guards against a restart that renews the staleness bound: downtime counts, and an unknown age is the maximum. */
    @Test
    void confirmationAgeIncludesDowntime() {
        LastGood lastGood = LastGood.newBuilder().setBoot("b1").setHeardNs(10 * S).setHeardUnixMs(50_000).build();
        assertEquals(7 * S, ConfirmationAge.ageNs(lastGood, "b1", 17 * S, 0, 100 * S), "same boot: the wall clock is ignored");
        assertEquals(3 * S, ConfirmationAge.ageNs(lastGood, "b2", 17 * S, 53_000, 100 * S), "another boot");
        assertEquals(100 * S, ConfirmationAge.ageNs(lastGood, "b2", 17 * S, 49_000, 100 * S), "the wall clock went backwards");
        assertEquals(100 * S, ConfirmationAge.ageNs(lastGood, "", 17 * S, 49_000, 100 * S), "the boot ID is unknown");
    }

    /** Merging takes each pooler's latest report; a flood of pooler names must not grow the view without bound. */
    @Test
    void fleetViewIsBoundedAndMergesByLatestReport() {
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
    void diffComparesByKeyRegardlessOfOrder() {
        assertEquals(List.of(), PolicyDiff.lines("{\"a\":1,\"b\":{\"c\":2}}", "{ \"b\" : {\"c\":2}, \"a\":1 }"));
        assertEquals(List.of("b.c: 2 -> 3", "d: (none) -> x"),
                PolicyDiff.lines("{\"a\":1,\"b\":{\"c\":2}}", "{\"a\":1,\"b\":{\"c\":3},\"d\":\"x\"}"));
    }
}
