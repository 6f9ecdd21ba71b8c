package holdmux.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The servers as discovery knows them, in numbered versions. The agents of several machines may tell the same list. */
public final class ServerList {
    /** One server: {@code port} on loopback, {@code health} is up, draining or removed. */
    record Entry(String host, int port, String kind, int group, String health, boolean primary) {
        String toJson() {
            return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"north\",\"class\":\"" + kind
                    + "\",\"block\":" + group + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0,\"replication\":\""
                    + (primary ? "primary" : "standby") + "\"}";
        }
    }

    /** What a call is answered: the whole list or the entries that changed, as of a version. */
    record ListResponse(long version, boolean whole, List<Entry> entries) {}

    private record VersionedEntry(long version, Entry entry) {}

    private final Map<String, VersionedEntry> entriesByHost = new LinkedHashMap<>();
    private long version;
    /** The whole list as it was before the last change. */
    private ListResponse previous = new ListResponse(0, true, List.of());

    /** Adds or changes a server. */
    synchronized void put(Entry entry) {
        previous = changesSince(0);
        version++;
        entriesByHost.put(entry.host(), new VersionedEntry(version, entry));
        notifyAll();
    }

    /** The version of the last change. */
    synchronized long version() {
        return version;
    }

    /** What changed since a version; the whole list for 0. */
    synchronized ListResponse changesSince(long fromVersion) {
        List<Entry> entries = new ArrayList<>();
        for (VersionedEntry versioned : entriesByHost.values()) {
            boolean included = fromVersion > 0 || !versioned.entry().health().equals("removed");
            if (included && versioned.version() > fromVersion) {
                entries.add(versioned.entry());
            }
        }
        return new ListResponse(version, fromVersion == 0, List.copyOf(entries));
    }

    /** The whole list as it was before the last change. */
    synchronized ListResponse previous() {
        return previous;
    }

    /** Waits until there is a version above this one, or until this moment of {@link System#nanoTime}. */
    synchronized void awaitNewer(long seenVersion, long deadlineNs) throws InterruptedException {
        for (long waitMs = remainingMs(deadlineNs); version <= seenVersion && waitMs > 0; waitMs = remainingMs(deadlineNs)) {
            wait(waitMs);
        }
    }

    private static long remainingMs(long deadlineNs) {
        return (deadlineNs - System.nanoTime()) / 1_000_000L;
    }
}
