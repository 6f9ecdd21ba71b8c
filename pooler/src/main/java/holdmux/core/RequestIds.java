package holdmux.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The ids of the requests that are open, or that ended lately and may have run. Every request has an id of its own, so a
 * second one with the same id is a copy and must not run. Ids of requests that may not be repeated are kept longer and are
 * never dropped early; those of other requests are, the oldest first, if there are too many. Reads no clock, does no I/O.
 */
public final class RequestIds {
    /** How long an id is kept after its request has ended: a server may still run an attempt that was given up. */
    static final long RETENTION_NS = 10_000 * Clock.MS, UNREPEATABLE_RETENTION_NS = 20_000 * Clock.MS;
    /** Most ids kept of requests that have ended: those of some 1,600 requests a second that may be repeated, and as many others. */
    static final int MAX_RETAINED = 16_384, MAX_UNREPEATABLE_RETAINED = 32_768;

    /** Whether a request may use its id. */
    public enum Verdict {
        /** The id was unknown; it is reserved for the request now. */
        GRANTED,
        /** A request with this id is open, or ended lately and may have run. */
        IN_USE,
        /** There are too many ids to keep one more of a request that may not be repeated. */
        FULL
    }

    /** An id that is known, as the other process of this pooler needs it. */
    public record Known(RequestId id, boolean repeatable) {}

    private static final class Entry {
        final RequestId id;
        final boolean repeatable;
        /** Whether the request is one of the other process. */
        boolean ofPeer;
        /** When the entry is dropped, on the {@link Clock}; set once the request has ended. */
        long expiresAt;

        Entry(RequestId id, boolean repeatable) {
            this.id = id;
            this.repeatable = repeatable;
        }
    }

    private final Map<RequestId, Entry> entries = new HashMap<>();
    /** Entries of requests that have ended, the oldest first. */
    private final ArrayDeque<Entry> retained = new ArrayDeque<>(), unrepeatableRetained = new ArrayDeque<>();

    /** Reserves an id for a request that was read, until {@link #release} or {@link #retain} is called for it. */
    public synchronized Verdict claim(RequestId id, boolean repeatable, long now) {
        dropExpired(retained, now);
        dropExpired(unrepeatableRetained, now);
        if (entries.containsKey(id)) {
            return Verdict.IN_USE;
        } else if (!repeatable && unrepeatableRetained.size() >= MAX_UNREPEATABLE_RETAINED) {
            return Verdict.FULL;
        }
        entries.put(id, new Entry(id, repeatable));
        return Verdict.GRANTED;
    }

    /** Frees the id of a request that certainly never ran. */
    public synchronized void release(RequestId id) {
        Entry entry = entries.remove(id);
        if (entry != null && entry.expiresAt != 0) {
            queueFor(entry).remove(entry);
        }
    }

    /** Frees an id that the other process has given back, unless it belongs to a request of this process. */
    public synchronized void releaseForPeer(RequestId id) {
        Entry entry = entries.get(id);
        if (entry != null && entry.ofPeer) {
            release(id);
        }
    }

    /** Keeps the id of a request that has ended and may have run. */
    public synchronized void retain(RequestId id, long now) {
        Entry entry = entries.get(id);
        if (entry == null || entry.expiresAt != 0) {
            return;
        }
        ArrayDeque<Entry> queue = queueFor(entry);
        entry.expiresAt = now + (entry.repeatable ? RETENTION_NS : UNREPEATABLE_RETENTION_NS);
        queue.add(entry);
        if (entry.repeatable && queue.size() > MAX_RETAINED) {
            entries.remove(queue.poll().id);
        }
    }

    /** Reserves an id for the other process of this pooler, as if its request had ended now. */
    public synchronized Verdict claimForPeer(RequestId id, boolean repeatable, long now) {
        Verdict verdict = claim(id, repeatable, now);
        if (verdict == Verdict.GRANTED) {
            entries.get(id).ofPeer = true;
            retain(id, now);
        }
        return verdict;
    }

    /** Returns all ids that are known. */
    public synchronized List<Known> snapshot() {
        List<Known> known = new ArrayList<>(entries.size());
        entries.values().forEach(entry -> known.add(new Known(entry.id, entry.repeatable)));
        return known;
    }

    /** Returns the number of ids known. */
    public synchronized int size() {
        return entries.size();
    }

    private ArrayDeque<Entry> queueFor(Entry entry) {
        return entry.repeatable ? retained : unrepeatableRetained;
    }

    private void dropExpired(ArrayDeque<Entry> queue, long now) {
        while (!queue.isEmpty() && queue.peek().expiresAt <= now) {
            entries.remove(queue.poll().id);
        }
    }
}
