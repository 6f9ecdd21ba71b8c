package holdmux.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.IdClaims;
import holdmux.core.OtherProcess;
import holdmux.core.RequestId;
import holdmux.core.RoleKnowledge;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.Effect;
import holdmux.decision.SplitterApi.LastWrite;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.RoleObserved;
import holdmux.statement.ChunkedText;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import holdmux.upgrade.Link.Frame;
import holdmux.upgrade.Link.Kind;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(20)
class UpgradeTest {
    /** The roles known to one of the two processes. */
    private static final class TestRoles implements RoleKnowledge {
        final List<RoleObserved> known = new CopyOnWriteArrayList<>();
        final List<RoleObserved> learned = new CopyOnWriteArrayList<>();

        @Override
        public long version() {
            return known.size();
        }

        @Override
        public List<RoleObserved> known() {
            return known;
        }

        @Override
        public void learn(RoleObserved role) {
            learned.add(role);
        }
    }

    /** One of the two processes, reduced to its side of the link. */
    private static final class TestProcess {
        final List<LastWrite> receivedWrites = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger orderRefreshes = new AtomicInteger();
        final AtomicInteger writesUnknown = new AtomicInteger();
        final TestRoles roles = new TestRoles();
        final OtherProcess otherProcess = new OtherProcess();
        final Counters counters = new Counters();
        final IdClaims claims = new IdClaims(new Clock(), counters);
        final Upgrade upgrade;

        TestProcess(Path directory, int clients, LastWrite... existingWrites) {
            Deadlines deadlines = new Deadlines(new Clock());
            Workers.newThread("deadlines", deadlines::run).start();
            upgrade = new Upgrade(directory, new Upgrade.LocalState(() -> List.of(existingWrites), receivedWrites::add,
                    orderRefreshes::incrementAndGet, () -> clients, () -> 2 * clients, claims.ids(), roles, writesUnknown::incrementAndGet),
                    otherProcess, deadlines, counters);
            claims.setPeer(upgrade.ids());
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

    /** In a folder whose path is longer than a socket's address, two processes did not meet, and session reads were stale. */
    @Test
    void processesMeetInAFolderWithALongPath(@TempDir Path directory) throws Exception {
        Path folder = Files.createDirectories(directory.resolve("a".repeat(SocketLocation.MAX_PATH_BYTES)).resolve("b"));
        TestProcess[] processes = startPair(folder);
        LastWrite write = new LastWrite(1, 2, 3);
        processes[0].upgrade.onWrite(write);
        assertEquals(List.of(write), processes[1].receivedWrites);
    }

    /** Guards against a newer process that trusts the list where the older one knows that the primary is another. */
    @Test
    void rolesReachTheOtherProcess(@TempDir Path directory) throws Exception {
        TestProcess older = new TestProcess(directory, 7);
        RoleObserved before = new RoleObserved(2, Role.REPLICA, 100);
        older.roles.known.add(before);
        older.upgrade.join();
        TestProcess newer = new TestProcess(directory, 3);
        waitUntil(() -> Files.exists(directory.resolve("holdmux.sock")));
        newer.upgrade.join();
        newer.upgrade.awaitSynced();
        assertEquals(List.of(before), newer.roles.learned, "known before the newer process serves");
        assertEquals(0, newer.writesUnknown.get());
        RoleObserved later = new RoleObserved(3, Role.PRIMARY, 200);
        newer.roles.known.add(later);
        waitUntil(() -> older.roles.learned.equals(List.of(later)));
        older.roles.known.add(later);
        waitUntil(() -> newer.roles.learned.equals(List.of(before, later)));
    }

    /** Guards against serving sessions as if none had written, where the older process ends before it has told its writes. */
    @Test
    void anOlderProcessThatEndsEarlyLeavesItsWritesUnknown(@TempDir Path directory) throws Exception {
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(UnixDomainSocketAddress.of(directory.resolve("holdmux.sock")));
            TestProcess newer = new TestProcess(directory, 1);
            assertTrue(newer.upgrade.join());
            server.accept().close();
            newer.upgrade.awaitSynced();
            assertEquals(1, newer.writesUnknown.get());
            waitUntil(() -> Files.exists(directory.resolve("holdmux.sock")));
        }
    }

    /** Guards against losing an order that the older process confirmed after the newer one had read the stored ones, before they met. */
    @Test
    void ordersFromBeforeTheProcessesMetAreReadAgain(@TempDir Path directory) throws Exception {
        TestProcess older = new TestProcess(directory, 7);
        older.upgrade.join();
        waitUntil(() -> Files.exists(directory.resolve("holdmux.sock")));
        TestProcess newer = new TestProcess(directory, 3); // has read the orders
        older.upgrade.publishOrdersChange(); // reaches nobody
        newer.upgrade.join();
        newer.upgrade.awaitSynced();
        assertEquals(1, newer.orderRefreshes.get(), "read again before the newer process serves");
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

    private static Statement statement(String id) throws StatementException {
        String text = "SELECT data FROM facts WHERE code = '7f' /* id=" + id + ",c=history,d=900,cluster=1 */";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return Statement.parse(ChunkedText.of(bytes, bytes.length));
    }

    private static boolean isAccepted(TestProcess process, String id, Effect effect) {
        try {
            process.claims.claim(statement(id), effect);
            return true;
        } catch (StatementException e) {
            return false;
        }
    }

    private static void awaitSharedIds(TestProcess older, TestProcess newer) throws InterruptedException {
        isAccepted(older, "shared", Effect.IDEMPOTENT);
        awaitKnown(newer, "shared");
    }

    private static boolean isOtherFile(Path path, Object fileKey) {
        try {
            return !Files.readAttributes(path, BasicFileAttributes.class).fileKey().equals(fileKey);
        } catch (IOException e) {
            return false;
        }
    }

    private static void awaitKnown(TestProcess process, String id) throws InterruptedException {
        waitUntil(() -> process.claims.ids().snapshot().stream().anyMatch(known -> known.id().equals(RequestId.of(id))));
    }

    /** Guards against a copy that reaches the other process: the request was served twice, and a write ran twice. */
    @Test
    void copiesAtBothProcessesAreAcceptedOnce(@TempDir Path directory) throws Exception {
        TestProcess[] processes = startPair(directory);
        awaitSharedIds(processes[0], processes[1]);
        ExecutorService pool = Executors.newFixedThreadPool(2);
        try {
            for (int i = 0; i < 1_000; i++) {
                String id = "copied" + i;
                CyclicBarrier start = new CyclicBarrier(2);
                List<Future<Boolean>> accepted = new ArrayList<>();
                for (TestProcess process : processes) {
                    accepted.add(pool.submit(() -> {
                        start.await();
                        return isAccepted(process, id, Effect.AT_MOST_ONCE);
                    }));
                }
                boolean byOlder = accepted.get(0).get();
                boolean byNewer = accepted.get(1).get();
                assertFalse(byOlder && byNewer, "both copies of " + id);
                assertTrue(byOlder || byNewer || processes[1].counters.get(Counter.UPGRADE_WORDS_MISSED) > 0, "no copy of " + id);
                assertFalse(isAccepted(processes[i % 2], id, Effect.AT_MOST_ONCE), "a copy that comes later");
            }
        } finally {
            pool.shutdown();
        }
    }

    /** Ids from before the upgrade, and those of requests that a process which has ended may have run, stay known. */
    @Test
    void idsOfTheOlderProcessStayKnown(@TempDir Path directory) throws Exception {
        TestProcess older = new TestProcess(directory, 1);
        older.upgrade.join();
        assertTrue(isAccepted(older, "before", Effect.AT_MOST_ONCE));
        TestProcess newer = new TestProcess(directory, 1);
        waitUntil(() -> Files.exists(directory.resolve("holdmux.sock")));
        newer.upgrade.join();
        newer.upgrade.awaitSynced();
        awaitSharedIds(older, newer);
        assertTrue(isAccepted(older, "during", Effect.AT_MOST_ONCE));
        IdClaims.Claim unused = older.claims.claim(statement("unused"), Effect.AT_MOST_ONCE);
        unused.end(false);
        assertTrue(isAccepted(older, "told-behind-it", Effect.AT_MOST_ONCE));
        awaitKnown(newer, "told-behind-it");
        assertTrue(isAccepted(newer, "unused", Effect.AT_MOST_ONCE), "no request with this id ran");
        Path socket = directory.resolve("holdmux.sock");
        Object olderSocket = Files.readAttributes(socket, BasicFileAttributes.class).fileKey();
        older.upgrade.disconnect();
        waitUntil(() -> !newer.otherProcess.present());
        waitUntil(() -> isOtherFile(socket, olderSocket)); // the newer process listens now
        assertFalse(isAccepted(newer, "before", Effect.AT_MOST_ONCE));
        assertFalse(isAccepted(newer, "during", Effect.AT_MOST_ONCE));
        assertTrue(isAccepted(newer, "after", Effect.AT_MOST_ONCE));
    }

    /** While the older process answers nothing, a write cannot be known to be no copy and is refused; a read goes on. */
    @Test
    void aSilentOlderProcessHoldsUpNoRead(@TempDir Path directory) throws Exception {
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(UnixDomainSocketAddress.of(directory.resolve("holdmux.sock")));
            TestProcess newer = new TestProcess(directory, 1);
            assertTrue(newer.upgrade.join());
            Link silent = new Link(server.accept());
            silent.send(new Frame(Kind.ID_USED, 1, 1, 0));
            waitUntil(() -> newer.claims.ids().size() > 0);
            long start = System.nanoTime();
            assertTrue(isAccepted(newer, "read", Effect.IDEMPOTENT));
            assertFalse(isAccepted(newer, "write", Effect.AT_MOST_ONCE));
            assertTrue(System.nanoTime() - start < 1_000 * Clock.MS);
            assertEquals(2, newer.counters.get(Counter.UPGRADE_WORDS_MISSED));
            // the link stays open: once it is closed, the newer process would listen in the folder that is being deleted
        }
    }

    /** Guards against frames that the release before this one does not know: it would close the link. */
    @Test
    void anOlderVersionIsSentNoIds(@TempDir Path directory) throws Exception {
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(UnixDomainSocketAddress.of(directory.resolve("holdmux.sock")));
            TestProcess newer = new TestProcess(directory, 1);
            assertTrue(newer.upgrade.join());
            SocketChannel olderVersion = server.accept();
            olderVersion.write(Link.encode(new Frame(Kind.SYNCED, 0, 0, 0)).putInt(Integer.BYTES, 0));
            newer.upgrade.awaitSynced();
            assertTrue(isAccepted(newer, "write", Effect.AT_MOST_ONCE));
            newer.upgrade.announceServing();
            ByteBuffer frame = ByteBuffer.allocate(Link.FRAME_BYTES);
            Kind last = null;
            while (last != Kind.SERVING) {
                frame.clear();
                while (frame.hasRemaining()) {
                    assertTrue(olderVersion.read(frame) >= 0);
                }
                last = Link.decode(frame.flip()).kind();
                assertTrue(last == Kind.USAGE || last == Kind.SERVING, last.toString());
            }
            // the link stays open, as above
        }
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
