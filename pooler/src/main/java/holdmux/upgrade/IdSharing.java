package holdmux.upgrade;

import holdmux.core.Clock;
import holdmux.core.IdPeer;
import holdmux.core.RequestId;
import holdmux.core.RequestIds;
import holdmux.core.RequestIds.Verdict;
import holdmux.upgrade.Link.Frame;
import holdmux.upgrade.Link.Kind;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

/**
 * Makes two processes of one pooler accept each request id once. The older process decides: the newer one asks it for every
 * id, so that of two copies at the same moment only one is accepted. The older process tells the newer one which ids it
 * uses, so that these stay known once it is gone.
 */
final class IdSharing implements IdPeer {
    /** How long the newer process waits for a verdict: the longest after which an attempt may begin for a client that has left. */
    private static final long VERDICT_TIMEOUT_MS = 100;

    /** Sends frames to the other process. */
    interface Sender {
        /** Sends a frame on this link; closes the link if that fails. */
        void send(Link link, Frame frame);
    }

    private final RequestIds ids;
    private final LongSupplier clock;
    private final Sender sender;
    private final Map<RequestId, CompletableFuture<Verdict>> awaited = new HashMap<>();
    /** The link to the other process, null if there is none that shares ids, and whether that process is the older one. */
    private Link peer;
    private boolean peerIsOlder;

    /** {@code clock} returns the time of the {@link Clock}. */
    IdSharing(RequestIds ids, LongSupplier clock, Sender sender) {
        this.ids = ids;
        this.clock = clock;
        this.sender = sender;
    }

    /** Starts sharing on a link whose other end is known to share ids. */
    void begin(Link link, boolean isOlder) {
        synchronized (this) {
            peer = link;
            peerIsOlder = isOlder;
        }
        if (!isOlder) {
            for (RequestIds.Known known : ids.snapshot()) {
                sender.send(link, frame(Kind.ID_USED, known.id(), known.repeatable() ? 1 : 0));
            }
        }
    }

    /** Ends sharing on a link; ids that wait for a verdict are granted, since the process that would refuse them is gone. */
    synchronized void end(Link link) {
        if (peer == link) {
            peer = null;
            awaited.values().forEach(verdict -> verdict.complete(Verdict.GRANTED));
            awaited.clear();
        }
    }

    @Override
    public Verdict confirm(RequestId id, boolean repeatable) {
        Link link;
        boolean ask;
        CompletableFuture<Verdict> verdict = new CompletableFuture<>();
        synchronized (this) {
            link = peer;
            ask = peerIsOlder;
            if (link != null && ask) {
                awaited.put(id, verdict);
            }
        }
        if (link == null) {
            return Verdict.GRANTED;
        }
        sender.send(link, frame(ask ? Kind.CLAIM_ID : Kind.ID_USED, id, repeatable ? 1 : 0));
        return ask ? await(id, verdict) : Verdict.GRANTED;
    }

    private Verdict await(RequestId id, CompletableFuture<Verdict> verdict) {
        try {
            return verdict.get(VERDICT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            synchronized (this) {
                awaited.remove(id, verdict);
            }
        }
    }

    @Override
    public void released(RequestId id) {
        Link link;
        synchronized (this) {
            link = peer;
        }
        if (link != null) {
            sender.send(link, frame(Kind.ID_RELEASED, id, 0));
        }
    }

    /** Handles a frame about an id. */
    void handle(Link link, Frame frame) {
        RequestId id = new RequestId(frame.a(), frame.b());
        switch (frame.kind()) {
            case CLAIM_ID -> {
                Verdict verdict = ids.claimForPeer(id, frame.c() != 0, clock.getAsLong());
                sender.send(link, frame(Kind.ID_VERDICT, id, verdict.ordinal()));
            }
            case ID_VERDICT -> complete(id, Verdict.values()[(int) frame.c()]);
            case ID_USED -> ids.claimForPeer(id, frame.c() != 0, clock.getAsLong());
            case ID_RELEASED -> ids.releaseForPeer(id);
            default -> throw new IllegalArgumentException(frame.kind().toString());
        }
    }

    private synchronized void complete(RequestId id, Verdict verdict) {
        CompletableFuture<Verdict> waiting = awaited.remove(id);
        if (waiting != null) {
            waiting.complete(verdict);
        }
    }

    private static Frame frame(Kind kind, RequestId id, long value) {
        return new Frame(kind, id.high(), id.low(), value);
    }
}
