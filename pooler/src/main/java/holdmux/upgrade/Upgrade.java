package holdmux.upgrade;

import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.IdPeer;
import holdmux.core.Log;
import holdmux.core.OtherProcess;
import holdmux.core.RequestIds;
import holdmux.core.RoleKnowledge;
import holdmux.core.Workers;
import holdmux.core.WriteListener;
import holdmux.decision.SplitterApi.LastWrite;
import holdmux.upgrade.Link.Frame;
import holdmux.upgrade.Link.Kind;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Coordinates two processes of one pooler that overlap while a new version starts under load. The older process listens on
 * a Unix domain socket in their common directory, where the newer one finds it. They exchange the writes of sessions,
 * changes of the operators' orders, the roles of servers and their usage of the common connection limits.
 */
public final class Upgrade implements WriteListener {
    /**
     * This process's state as the other process needs it, and the handlers for what the other process sends.
     *
     * @param writes            the session writes known here
     * @param recordWrite       takes in a write made through the other process
     * @param refreshOrders     rereads the operators' orders
     * @param clientConnections client connections open here
     * @param serverConnections server connections open here
     * @param ids               the ids of the requests known here
     * @param roles             the roles of servers known here
     * @param writesUnknown     called if the older process has not told its writes
     */
    public record LocalState(Supplier<List<LastWrite>> writes, Consumer<LastWrite> recordWrite, Runnable refreshOrders,
            IntSupplier clientConnections, IntSupplier serverConnections, RequestIds ids, RoleKnowledge roles,
            Runnable writesUnknown) {}

    /** How long an acknowledgement is awaited; far longer than a garbage collection pause on half a core. */
    private static final long ACK_TIMEOUT_MS = 500;
    /** How long a newer process waits for the older one's writes; it has to serve within 6 s. */
    private static final long SYNC_TIMEOUT_MS = 3_000;
    /** A process that reads nothing for this long is considered hung: the link is closed, so that sends do not block. */
    private static final long SEND_TIMEOUT_NS = 2_000 * Clock.MS;
    /** How often usage is reported; in between, the spare descriptors within the limits absorb the difference. */
    private static final long USAGE_INTERVAL_MS = 20;
    /** Delay before listening for a newer process is tried again. */
    private static final long LISTEN_RETRY_DELAY_MS = 200;
    /** A socket refuses connections briefly between being bound and listening; one that keeps refusing belongs to no process. */
    private static final int CONNECT_ATTEMPTS = 3;

    /** Null if no common directory is configured; then there is never another process. */
    private final Path socketPath;
    private final LocalState local;
    private final OtherProcess otherProcess;
    private final Deadlines deadlines;
    private final Counters counters;
    private final IdSharing ids;
    /** Released once the older process has sent its state or is gone, and whether it has sent it. */
    private final CountDownLatch synced = new CountDownLatch(1);
    private volatile boolean receivedAllWrites;
    /**
     * Guarded by this object's monitor, as are the next two: the link to the other process (null if there is none), the
     * number of acknowledgements received on it, and whether the other process serves clients.
     */
    private Link peer;
    private long acksReceived;
    private boolean peerServes;

    /** {@code directory}: the directory that the processes of this pooler have in common, or null. */
    public Upgrade(Path directory, LocalState local, OtherProcess otherProcess, Deadlines deadlines, Counters counters) {
        socketPath = directory == null ? null : directory.resolve("holdmux.sock");
        this.local = local;
        this.otherProcess = otherProcess;
        this.deadlines = deadlines;
        this.counters = counters;
        ids = new IdSharing(local.ids(), deadlines::now, this::send);
    }

    /** Returns the other process as far as request ids are concerned. */
    public IdPeer ids() {
        return ids;
    }

    /** Connects to an older process, if there is one, and starts listening for newer ones. Returns whether there is an older one. */
    public boolean join() {
        if (socketPath == null) {
            return false;
        }
        Link older = Files.exists(socketPath) ? connectToOlder() : null;
        if (older != null) {
            attach(older);
            Log.info("upgrade: an older process serves here");
        }
        Workers.restartingThread("upgrade", counters, () -> exchangeWithPeers(older)).start();
        return older != null;
    }

    /** Connects to the process that owns the socket; null if it is gone. */
    private Link connectToOlder() {
        for (int i = 0; i < CONNECT_ATTEMPTS; i++) {
            try (SocketLocation location = new SocketLocation(socketPath)) {
                return new Link(SocketChannel.open(location.address()));
            } catch (IOException e) {
                pause(USAGE_INTERVAL_MS);
            }
        }
        return null;
    }

    /**
     * Waits until the older process has sent all that the reads of a session depend on, or is gone. Orders that it confirmed before
     * the processes met are read again: they may be newer than those read at the start, and nobody has told them.
     */
    public void awaitSynced() throws InterruptedException {
        boolean ended = synced.await(SYNC_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (!ended || !receivedAllWrites) {
            Log.warn("upgrade: the older process has not told its writes" + (ended ? " before its end" : " in time"));
            local.writesUnknown().run();
        }
        local.refreshOrders().run();
    }

    /** Notifies the other process that this one serves clients from now on. */
    public void announceServing() {
        send(new Frame(Kind.SERVING, 0, 0, 0));
    }

    /** Whether another process serves the clients that this one sends away. */
    public synchronized boolean peerServes() {
        return peer != null && peerServes;
    }

    @Override
    public void onWrite(LastWrite write) {
        sendAndAwaitAck(new Frame(Kind.PENDING_WRITE, write.group(), write.session(), write.positionNs()));
    }

    /** Announces changed operators' orders. Returns once the other process has applied them too, or after a time-out. */
    public void publishOrdersChange() {
        sendAndAwaitAck(new Frame(Kind.ORDERS_CHANGED, 0, 0, 0));
    }

    /** Communicates with the older process until it is gone, then accepts one newer process after another. */
    private void exchangeWithPeers(Link older) {
        if (older != null) {
            receiveUntilClosed(older, true);
        }
        while (true) {
            try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
                Files.deleteIfExists(socketPath);
                try (SocketLocation location = new SocketLocation(socketPath)) {
                    server.bind(location.address());
                }
                while (true) {
                    Link newer = new Link(server.accept());
                    attach(newer);
                    Log.info("upgrade: a newer process has started");
                    receiveUntilClosed(newer, false);
                }
            } catch (IOException | RuntimeException e) {
                Log.error("upgrade: no newer process can be met", e);
                pause(LISTEN_RETRY_DELAY_MS);
            }
        }
    }

    private synchronized void attach(Link link) {
        peer = link;
        acksReceived = 0;
        peerServes = false;
    }

    /** Handles frames from the other process until the link is closed. */
    private void receiveUntilClosed(Link link, boolean peerIsOlder) {
        RoleSharing roles = new RoleSharing(local.roles(), this::send, link);
        Workers.newThread("upgrade holds", () -> reportChanges(link, roles)).start();
        try {
            Frame frame = link.receive(); // its first frame tells its version
            if (link.peerSharesIds()) {
                ids.begin(link, peerIsOlder);
            }
            if (!peerIsOlder) {
                sendState(link, roles);
            }
            while (true) {
                handle(link, frame, roles);
                frame = link.receive();
            }
        } catch (IOException | RuntimeException e) {
            Log.info("upgrade: the other process is gone: " + e.getMessage());
        } finally {
            detach(link);
            synced.countDown();
        }
    }

    /** Sends a newer process what it has to know before it serves; what happens from here on is sent as it happens. */
    private void sendState(Link link, RoleSharing roles) {
        roles.sendChanges();
        for (LastWrite write : local.writes().get()) {
            send(link, new Frame(Kind.PAST_WRITE, write.group(), write.session(), write.positionNs()));
        }
        send(link, new Frame(Kind.SYNCED, 0, 0, 0));
    }

    private void handle(Link link, Frame frame, RoleSharing roles) {
        switch (frame.kind()) {
            case PAST_WRITE, PENDING_WRITE -> local.recordWrite().accept(new LastWrite((int) frame.a(), frame.b(), frame.c()));
            case ORDERS_CHANGED -> local.refreshOrders().run();
            case ACK -> countAck();
            case SYNCED -> {
                receivedAllWrites = true;
                synced.countDown();
            }
            case USAGE -> otherProcess.update((int) frame.a(), (int) frame.b());
            case SERVING -> markPeerServing();
            case CLAIM_ID, ID_VERDICT, ID_USED, ID_RELEASED -> ids.handle(link, frame);
            case ROLE -> roles.handle(frame);
        }
        if (frame.kind().needsAck) {
            send(new Frame(Kind.ACK, 0, 0, 0));
        }
    }

    private synchronized void countAck() {
        acksReceived++;
        notifyAll();
    }

    private synchronized void markPeerServing() {
        peerServes = true;
    }

    private void detach(Link link) {
        link.close();
        synchronized (this) {
            peer = peer == link ? null : peer;
            notifyAll();
        }
        ids.end(link);
        otherProcess.clear();
    }

    /** Closes the link to the other process, as the end of this process does. */
    void disconnect() {
        Link link;
        synchronized (this) {
            link = peer;
        }
        if (link != null) {
            link.close();
        }
    }

    /** Sends a frame and waits for its acknowledgement; returns at once if there is no other process. */
    private void sendAndAwaitAck(Frame frame) {
        Link link;
        synchronized (this) {
            link = peer;
        }
        long ackNumber = link == null ? 0 : send(link, frame);
        long deadlineNs = System.nanoTime() + ACK_TIMEOUT_MS * Clock.MS;
        synchronized (this) {
            try {
                for (long remainingMs = ACK_TIMEOUT_MS; peer == link && acksReceived < ackNumber && remainingMs > 0;
                        remainingMs = (deadlineNs - System.nanoTime()) / Clock.MS) {
                    wait(remainingMs);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (peer == link && acksReceived < ackNumber) {
                counters.count(Counter.UPGRADE_WORDS_MISSED);
            }
        }
    }

    private void send(Frame frame) {
        Link link;
        synchronized (this) {
            link = peer;
        }
        if (link != null) {
            send(link, frame);
        }
    }

    /** Sends a frame. Returns how many frames sent so far need an acknowledgement, this one included; 0 if the link is broken. */
    private long send(Link link, Frame frame) {
        Deadlines.Deadline timeout = deadlines.after(SEND_TIMEOUT_NS, link::close);
        try {
            return link.send(frame);
        } catch (IOException e) {
            link.close(); // the receiving thread then detaches it
            return 0;
        } finally {
            deadlines.cancel(timeout);
        }
    }

    /** Reports usage and roles to the other process as they change. */
    private void reportChanges(Link link, RoleSharing roles) {
        Frame lastSent = null;
        while (true) {
            synchronized (this) {
                if (peer != link) {
                    return;
                }
            }
            Frame usage = new Frame(Kind.USAGE, local.clientConnections().getAsInt(), local.serverConnections().getAsInt(), 0);
            if (!usage.equals(lastSent)) {
                send(usage);
                lastSent = usage;
            }
            roles.sendChanges();
            pause(USAGE_INTERVAL_MS);
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
