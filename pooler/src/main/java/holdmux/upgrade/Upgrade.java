package holdmux.upgrade;

import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Log;
import holdmux.core.OtherProcess;
import holdmux.core.WriteListener;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.LastWrite;
import holdmux.upgrade.Link.Frame;
import holdmux.upgrade.Link.Kind;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
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
 * The overlap of two processes of one pooler, when a new version starts under load: the older one listens on a socket in
 * their folder, the newer one finds it there. They tell each other the writes of sessions, the operators' orders and
 * what they hold of the common limits.
 */
public final class Upgrade implements WriteListener {
    /** What this process has to tell and how it takes in what it is told. */
    public record LocalState(Supplier<List<LastWrite>> writes, Consumer<LastWrite> recordWrite, Runnable refreshOrders,
            IntSupplier clientConnections, IntSupplier serverConnections) {}

    /** How long a word of the other process is waited for; far beyond a pause of its collector on half a core. */
    private static final long ACK_TIMEOUT_MS = 500;
    /** How long a newer process waits to be told all; it has 6 s to serve. */
    private static final long SYNC_TIMEOUT_MS = 3_000;
    /** A process that takes nothing in for so long hangs: the link to it ends, so that sending blocks nobody. */
    private static final long SEND_TIMEOUT_NS = 2_000 * Clock.MS;
    /** What is held is told this often: within it the spare descriptors of the caps take up the difference. */
    private static final long USAGE_INTERVAL_MS = 20;
    private static final long LISTEN_RETRY_DELAY_MS = 200;
    /** A socket refuses for a moment between its making and its listening; one that goes on refusing is dead. */
    private static final int CONNECT_ATTEMPTS = 3;

    /** Null where the processes have no folder in common: then there is never another. */
    private final Path socketPath;
    private final LocalState local;
    private final OtherProcess shared;
    private final Deadlines deadlines;
    private final Counters counters;
    private final CountDownLatch synced = new CountDownLatch(1);
    /** All under this object's monitor: the link to the other process, null for none, the frames on it that had its
     * word, and whether it serves. */
    private Link peer;
    private long acksReceived;
    private boolean peerServes;

    public Upgrade(Path directory, LocalState local, OtherProcess shared, Deadlines deadlines, Counters counters) {
        socketPath = directory == null ? null : directory.resolve("holdmux.sock");
        this.local = local;
        this.shared = shared;
        this.deadlines = deadlines;
        this.counters = counters;
    }

    /** Finds an older process, if there is one, and starts to follow whoever comes; true if there is. */
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

    /** The link to the process that made the socket; null if that is gone. */
    private Link connectToOlder() {
        for (int i = 0; i < CONNECT_ATTEMPTS; i++) {
            try {
                return new Link(SocketChannel.open(UnixDomainSocketAddress.of(socketPath)));
            } catch (IOException e) {
                pause(USAGE_INTERVAL_MS);
            }
        }
        return null;
    }

    /** Waits until the older process has told all that a session's reads rest on. */
    public void awaitSynced() throws InterruptedException {
        if (!synced.await(SYNC_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            Log.warn("upgrade: the older process has not told its writes in time");
        }
    }

    /** This process serves clients from now on. */
    public void announceServing() {
        send(new Frame(Kind.SERVING, 0, 0, 0));
    }

    /** Whether another process takes the clients that this one sends away. */
    public synchronized boolean peerServes() {
        return peer != null && peerServes;
    }

    @Override
    public void onWrite(LastWrite write) {
        sendAndAwaitAck(new Frame(Kind.PENDING_WRITE, write.group(), write.session(), write.positionNs()));
    }

    /** Returns once the other process has taken up the operators' orders too. */
    public void publishOrdersChange() {
        sendAndAwaitAck(new Frame(Kind.ORDERS_CHANGED, 0, 0, 0));
    }

    private void exchangeWithPeers(Link older) {
        if (older != null) {
            receiveUntilClosed(older);
        }
        while (true) {
            try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
                Files.deleteIfExists(socketPath);
                server.bind(UnixDomainSocketAddress.of(socketPath));
                while (true) {
                    Link newer = new Link(server.accept());
                    attach(newer);
                    Log.info("upgrade: a newer process has started");
                    // whatever is written from here on is told by itself; what was before is in this list
                    for (LastWrite write : local.writes().get()) {
                        send(new Frame(Kind.PAST_WRITE, write.group(), write.session(), write.positionNs()));
                    }
                    send(new Frame(Kind.SYNCED, 0, 0, 0));
                    receiveUntilClosed(newer);
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

    /** Takes in what the other process tells until it ends. */
    private void receiveUntilClosed(Link link) {
        Workers.newThread("upgrade holds", () -> reportUsage(link)).start();
        try {
            while (true) {
                handle(link.receive());
            }
        } catch (IOException | RuntimeException e) {
            Log.info("upgrade: the other process is gone: " + e.getMessage());
        } finally {
            detach(link);
            synced.countDown();
        }
    }

    private void handle(Frame frame) {
        switch (frame.kind()) {
            case PAST_WRITE, PENDING_WRITE -> local.recordWrite().accept(new LastWrite((int) frame.a(), frame.b(), frame.c()));
            case ORDERS_CHANGED -> local.refreshOrders().run();
            case ACK -> acksReceived();
            case SYNCED -> synced.countDown();
            case USAGE -> shared.update((int) frame.a(), (int) frame.b());
            case SERVING -> markPeerServing();
        }
        if (frame.kind().needsAck) {
            send(new Frame(Kind.ACK, 0, 0, 0));
        }
    }

    private synchronized void acksReceived() {
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
        shared.clear();
    }

    /** Sends a frame and waits for the other process's word on it; without another there is nothing to wait for. */
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

    /** The number of the frame among those that ask for a word; 0 if the link is broken. */
    private long send(Link link, Frame frame) {
        Deadlines.Deadline timeout = deadlines.after(SEND_TIMEOUT_NS, link::close);
        try {
            return link.send(frame);
        } catch (IOException e) {
            link.close(); // whoever receives on it sees the end
            return 0;
        } finally {
            deadlines.cancel(timeout);
        }
    }

    private void reportUsage(Link link) {
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
