package holdmux.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Shared;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.Written;
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
    /** One process of the two, as far as the link is concerned. */
    private static final class Side {
        final List<Written> heard = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger refreshed = new AtomicInteger();
        final Shared shared = new Shared();
        final Counters counters = new Counters();
        final Upgrade upgrade;

        Side(Path folder, int clients, Written... known) {
            Deadlines deadlines = new Deadlines(new Clock());
            Workers.thread("deadlines", deadlines::run).start();
            upgrade = new Upgrade(folder, new Upgrade.Local(() -> List.of(known), heard::add,
                    refreshed::incrementAndGet, () -> clients, () -> 2 * clients), shared, deadlines, counters);
        }
    }

    private static void await(java.util.function.BooleanSupplier what) throws InterruptedException {
        while (!what.getAsBoolean()) {
            Thread.sleep(5);
        }
    }

    private static Side[] pair(Path folder, Written... known) throws InterruptedException {
        Side older = new Side(folder, 7, known);
        assertFalse(older.upgrade.join(), "nobody was there before it");
        Side newer = new Side(folder, 3);
        await(() -> Files.exists(folder.resolve("holdmux.sock")));
        assertTrue(newer.upgrade.join());
        newer.upgrade.awaitTold();
        return new Side[] {older, newer};
    }

    /** A read through one process after a write through the other must not be stale: the write is known before its answer. */
    @Test
    void theOtherProcessKnowsOfAWriteBeforeItsClient(@TempDir Path folder) throws Exception {
        Written before = new Written(1, 5, 100);
        Side[] sides = pair(folder, before);
        assertEquals(List.of(before), sides[1].heard, "what was written before it came");
        for (int i = 0; i < 200; i++) {
            Written write = new Written(1, i, 200 + i);
            sides[i % 2].upgrade.written(write);
            assertTrue(sides[1 - i % 2].heard.contains(write));
        }
        assertEquals(0, sides[0].counters.get(Counter.UPGRADE_WORDS_MISSED));
    }

    /** Orders bind both, caps hold for both together, and all of it ends with the other process. */
    @Test
    void ordersAndCapsHoldForBoth(@TempDir Path folder) throws Exception {
        Side[] sides = pair(folder);
        sides[1].upgrade.ordersChanged();
        assertEquals(1, sides[0].refreshed.get());
        await(() -> sides[0].shared.clients() == 3 && sides[0].shared.servers() == 6 && sides[1].shared.clients() == 7);
        assertFalse(sides[0].upgrade.otherServes());
        sides[1].upgrade.serves();
        await(sides[0].upgrade::otherServes);
    }

    /** A socket file that a killed process left must not keep the next one from starting alone. */
    @Test
    void aDeadProcessIsNotWaitedFor(@TempDir Path folder) throws Exception {
        try (ServerSocketChannel left = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            left.bind(UnixDomainSocketAddress.of(folder.resolve("holdmux.sock")));
        }
        assertFalse(new Side(folder, 1).upgrade.join());
        assertFalse(new Side(null, 1).upgrade.join(), "without a folder there is no other");
    }

    /** Once the other process is gone it holds nothing, and no write waits for it. */
    @Test
    void theEndOfTheOtherFreesItsShare(@TempDir Path folder) throws Exception {
        Side older = new Side(folder, 7);
        older.upgrade.join();
        Path socket = folder.resolve("holdmux.sock");
        SocketChannel newer = null;
        while (newer == null) {
            try {
                newer = SocketChannel.open(UnixDomainSocketAddress.of(socket));
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
        Link link = new Link(newer);
        link.send(new Frame(Kind.HOLDS, 30, 40, 0));
        link.send(new Frame(Kind.SERVES, 0, 0, 0));
        await(() -> older.shared.clients() == 30 && older.upgrade.otherServes());
        link.close();
        await(() -> older.shared.clients() == 0 && !older.upgrade.otherServes());
        long start = System.nanoTime();
        older.upgrade.written(new Written(1, 1, 1));
        assertTrue(System.nanoTime() - start < 200 * Clock.MS);
    }

    @Property(tries = 200, seed = "51")
    void garbageIsNoFrame(@ForAll @Size(Link.SIZE) byte[] bytes) throws IOException {
        int kind = ByteBuffer.wrap(bytes).getInt();
        if (kind < 0 || kind >= Kind.values().length) {
            assertThrows(IOException.class, () -> Link.decode(ByteBuffer.wrap(bytes)));
        } else {
            assertEquals(kind, Link.decode(ByteBuffer.wrap(bytes)).kind().ordinal());
        }
    }
}
