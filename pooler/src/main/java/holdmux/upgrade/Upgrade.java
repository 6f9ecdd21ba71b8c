package holdmux.upgrade;

import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Log;
import holdmux.core.Shared;
import holdmux.core.WriteLog;
import holdmux.core.Workers;
import holdmux.decision.SplitterApi.Written;
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
public final class Upgrade implements WriteLog {
    /** What this process has to tell and how it takes in what it is told. */
    public record Local(Supplier<List<Written>> writes, Consumer<Written> written, Runnable ordersChanged,
            IntSupplier clients, IntSupplier servers) {}

    /** How long a word of the other process is waited for; far beyond a pause of its collector on half a core. */
    private static final long WORD_MS = 500;
    /** How long a newer process waits to be told all; it has 6 s to serve. */
    private static final long TOLD_MS = 3_000;
    /** A process that takes nothing in for so long hangs: the link to it ends, so that sending blocks nobody. */
    private static final long STUCK_NS = 2_000 * Clock.MS;
    /** What is held is told this often: within it the spare descriptors of the caps take up the difference. */
    private static final long HOLDS_MS = 20;
    private static final long AGAIN_MS = 200;
    /** A socket refuses for a moment between its making and its listening; one that goes on refusing is dead. */
    private static final int TRIES = 3;

    /** Null where the processes have no folder in common: then there is never another. */
    private final Path socket;
    private final Local local;
    private final Shared shared;
    private final Deadlines deadlines;
    private final Counters counters;
    private final CountDownLatch told = new CountDownLatch(1);
    /** All under this object's monitor: the link to the other process, null for none, the frames on it that had its
     * word, and whether it serves. */
    private Link other;
    private long taken;
    private boolean otherServes;

    public Upgrade(Path folder, Local local, Shared shared, Deadlines deadlines, Counters counters) {
        socket = folder == null ? null : folder.resolve("holdmux.sock");
        this.local = local;
        this.shared = shared;
        this.deadlines = deadlines;
        this.counters = counters;
    }

    /** Finds an older process, if there is one, and starts to follow whoever comes; true if there is. */
    public boolean join() {
        if (socket == null) {
            return false;
        }
        Link older = Files.exists(socket) ? older() : null;
        if (older != null) {
            begin(older);
            Log.info("upgrade: an older process serves here");
        }
        Workers.lasting("upgrade", counters, () -> follow(older)).start();
        return older != null;
    }

    /** The link to the process that made the socket; null if that is gone. */
    private Link older() {
        for (int i = 0; i < TRIES; i++) {
            try {
                return new Link(SocketChannel.open(UnixDomainSocketAddress.of(socket)));
            } catch (IOException e) {
                pause(HOLDS_MS);
            }
        }
        return null;
    }

    /** Waits until the older process has told all that a session's reads rest on. */
    public void awaitTold() throws InterruptedException {
        if (!told.await(TOLD_MS, TimeUnit.MILLISECONDS)) {
            Log.warn("upgrade: the older process has not told its writes in time");
        }
    }

    /** This process serves clients from now on. */
    public void serves() {
        send(new Frame(Kind.SERVES, 0, 0, 0));
    }

    /** Whether another process takes the clients that this one sends away. */
    public synchronized boolean otherServes() {
        return other != null && otherServes;
    }

    @Override
    public void written(Written write) {
        await(new Frame(Kind.WRITES, write.group(), write.session(), write.positionNs()));
    }

    /** Returns once the other process has taken up the operators' orders too. */
    public void ordersChanged() {
        await(new Frame(Kind.ORDERS, 0, 0, 0));
    }

    private void follow(Link older) {
        if (older != null) {
            converse(older);
        }
        while (true) {
            try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
                Files.deleteIfExists(socket);
                server.bind(UnixDomainSocketAddress.of(socket));
                while (true) {
                    Link newer = new Link(server.accept());
                    begin(newer);
                    Log.info("upgrade: a newer process has started");
                    // whatever is written from here on is told by itself; what was before is in this list
                    for (Written write : local.writes().get()) {
                        send(new Frame(Kind.WROTE, write.group(), write.session(), write.positionNs()));
                    }
                    send(new Frame(Kind.TOLD, 0, 0, 0));
                    converse(newer);
                }
            } catch (IOException | RuntimeException e) {
                Log.error("upgrade: no newer process can be met", e);
                pause(AGAIN_MS);
            }
        }
    }

    private synchronized void begin(Link link) {
        other = link;
        taken = 0;
        otherServes = false;
    }

    /** Takes in what the other process tells until it ends. */
    private void converse(Link link) {
        Workers.thread("upgrade holds", () -> tellHolds(link)).start();
        try {
            while (true) {
                take(link.receive());
            }
        } catch (IOException | RuntimeException e) {
            Log.info("upgrade: the other process is gone: " + e.getMessage());
        } finally {
            end(link);
            told.countDown();
        }
    }

    private void take(Frame frame) {
        switch (frame.kind()) {
            case WROTE, WRITES -> local.written().accept(new Written((int) frame.a(), frame.b(), frame.c()));
            case ORDERS -> local.ordersChanged().run();
            case TAKEN -> taken();
            case TOLD -> told.countDown();
            case HOLDS -> shared.othersHold((int) frame.a(), (int) frame.b());
            case SERVES -> otherServesNow();
        }
        if (frame.kind().asksForWord) {
            send(new Frame(Kind.TAKEN, 0, 0, 0));
        }
    }

    private synchronized void taken() {
        taken++;
        notifyAll();
    }

    private synchronized void otherServesNow() {
        otherServes = true;
    }

    private void end(Link link) {
        link.close();
        synchronized (this) {
            other = other == link ? null : other;
            notifyAll();
        }
        shared.ends();
    }

    /** Sends a frame and waits for the other process's word on it; without another there is nothing to wait for. */
    private void await(Frame frame) {
        Link link;
        synchronized (this) {
            link = other;
        }
        long number = link == null ? 0 : send(link, frame);
        long by = System.nanoTime() + WORD_MS * Clock.MS;
        synchronized (this) {
            try {
                for (long left = WORD_MS; other == link && taken < number && left > 0;
                        left = (by - System.nanoTime()) / Clock.MS) {
                    wait(left);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (other == link && taken < number) {
                counters.count(Counter.UPGRADE_WORDS_MISSED);
            }
        }
    }

    private void send(Frame frame) {
        Link link;
        synchronized (this) {
            link = other;
        }
        if (link != null) {
            send(link, frame);
        }
    }

    /** The number of the frame among those that ask for a word; 0 if the link is broken. */
    private long send(Link link, Frame frame) {
        Deadlines.Deadline stuck = deadlines.after(STUCK_NS, link::close);
        try {
            return link.send(frame);
        } catch (IOException e) {
            link.close(); // whoever receives on it sees the end
            return 0;
        } finally {
            deadlines.cancel(stuck);
        }
    }

    private void tellHolds(Link link) {
        Frame last = null;
        while (true) {
            synchronized (this) {
                if (other != link) {
                    return;
                }
            }
            Frame now = new Frame(Kind.HOLDS, local.clients().getAsInt(), local.servers().getAsInt(), 0);
            if (!now.equals(last)) {
                send(now);
                last = now;
            }
            pause(HOLDS_MS);
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
