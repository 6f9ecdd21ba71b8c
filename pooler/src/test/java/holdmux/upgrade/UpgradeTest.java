package holdmux.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.OtherProcess;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.LastWrite;
import holdmux.upgrade.Link.Frame;
import holdmux.upgrade.Link.Kind;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(20)
class UpgradeTest {
    /** One of the two processes, reduced to its side of the link. */
    private static final class TestProcess {
        final List<LastWrite> receivedWrites = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger orderRefreshes = new AtomicInteger();
        final OtherProcess otherProcess = new OtherProcess();
        final Counters counters = new Counters();
        final Upgrade upgrade;

        TestProcess(Path directory, int clients, LastWrite... existingWrites) {
            Deadlines deadlines = new Deadlines(new Clock());
            Workers.newThread("deadlines", deadlines::run).start();
            upgrade = new Upgrade(directory, new Upgrade.LocalState(() -> List.of(existingWrites), receivedWrites::add,
                    orderRefreshes::incrementAndGet, () -> clients, () -> 2 * clients), otherProcess, deadlines, counters);
        }
    }

    private static void waitUntil(java.util.function.BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(5);
        }
    }

    private static TestProcess[] startPair(Path directory, LastWrite... existingWrites) throws InterruptedException {
        TestProcess older = new TestProcess(directory, 7, existingWrites);
        assertFalse(older.upgrade.join(), "there is no older process");
        TestProcess newer = new TestProcess(directory, 3);
        waitUntil(() -> Files.exists(directory.resolve("holdmux.sock")));
        assertTrue(newer.upgrade.join());
        newer.upgrade.awaitSynced();
        return new TestProcess[] {older, newer};
    }

    /**
     * A read through one process after a write through the other must not be stale, so both know the write before its
     * client is answered.
     */
    @Test
    void peerKnowsAWriteBeforeItsClientIsAnswered(@TempDir Path directory) throws Exception {
        LastWrite before = new LastWrite(1, 5, 100);
        TestProcess[] processes = startPair(directory, before);
        assertEquals(List.of(before), processes[1].receivedWrites, "writes made before the newer process started");
        for (int i = 0; i < 200; i++) {
            LastWrite write = new LastWrite(1, i, 200 + i);
            processes[i % 2].upgrade.onWrite(write);
            assertTrue(processes[1 - i % 2].receivedWrites.contains(write));
        }
        assertEquals(0, processes[0].counters.get(Counter.UPGRADE_WORDS_MISSED));
    }

    /** Changes of orders, connection counts and the start of serving reach the other process, so that orders and limits hold for both. */
    @Test
    void exchangesOrdersAndUsage(@TempDir Path directory) throws Exception {
        TestProcess[] processes = startPair(directory);
        processes[1].upgrade.publishOrdersChange();
        assertEquals(1, processes[0].orderRefreshes.get());
        waitUntil(() -> processes[0].otherProcess.clients() == 3 && processes[0].otherProcess.servers() == 6
                && processes[1].otherProcess.clients() == 7);
        assertFalse(processes[0].upgrade.peerServes());
        processes[1].upgrade.announceServing();
        waitUntil(processes[0].upgrade::peerServes);
    }

    /** A socket file left behind by a killed process must not keep the next one from starting alone. */
    @Test
    void staleSocketIsIgnored(@TempDir Path directory) throws Exception {
        try (ServerSocketChannel stale = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            stale.bind(UnixDomainSocketAddress.of(directory.resolve("holdmux.sock")));
        }
        assertFalse(new TestProcess(directory, 1).upgrade.join());
        assertFalse(new TestProcess(null, 1).upgrade.join(), "without a common directory there is no other process");
    }

    /** Once the other process is gone, its usage no longer counts and no write waits for it. */
    @Test
    void peerExitReleasesItsUsage(@TempDir Path directory) throws Exception {
        TestProcess older = new TestProcess(directory, 7);
        older.upgrade.join();
        Path socket = directory.resolve("holdmux.sock");
        SocketChannel newer = null;
        while (newer == null) {
            try {
                newer = SocketChannel.open(UnixDomainSocketAddress.of(socket));
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
        Link link = new Link(newer);
        link.send(new Frame(Kind.USAGE, 30, 40, 0));
        link.send(new Frame(Kind.SERVING, 0, 0, 0));
        waitUntil(() -> older.otherProcess.clients() == 30 && older.upgrade.peerServes());
        link.close();
        waitUntil(() -> older.otherProcess.clients() == 0 && !older.upgrade.peerServes());
        long start = System.nanoTime();
        older.upgrade.onWrite(new LastWrite(1, 1, 1));
        assertTrue(System.nanoTime() - start < 200 * Clock.MS);
    }

    @Property(tries = 200, seed = "51")
    void rejectsUnknownFrameKinds(@ForAll @Size(Link.FRAME_BYTES) byte[] bytes) throws IOException {
        int kind = ByteBuffer.wrap(bytes).getInt();
        if (kind < 0 || kind >= Kind.values().length) {
            assertThrows(IOException.class, () -> Link.decode(ByteBuffer.wrap(bytes)));
        } else {
            assertEquals(kind, Link.decode(ByteBuffer.wrap(bytes)).kind().ordinal());
        }
    }
}
