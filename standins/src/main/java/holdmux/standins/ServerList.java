package holdmux.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The server list that discovery publishes; each change gets a new version number. Several agents can serve the same list. */
public final class ServerList {
    /** One server: {@code port} on loopback; {@code health} is {@code up}, {@code draining} or {@code removed}. */
    record Entry(String host, int port, String kind, int group, String health, boolean primary) {
        String toJson() {
            return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"north\",\"class\":\"" + kind
                    + "\",\"block\":" + group + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0,\"replication\":\""
                    + (primary ? "primary" : "standby") + "\"}";
        }
    }

    /** Answer to a discovery call: the whole list or only the changed entries, as of a version. */
    record ListResponse(long version, boolean whole, List<Entry> entries) {}

    /** An entry and the version in which it last changed. */
    private record VersionedEntry(long version, Entry entry) {}

    private final Map<String, VersionedEntry> entriesByHost = new LinkedHashMap<>();
    private long version;
    /** The whole list before the last change. */
    private ListResponse previous = new ListResponse(0, true, List.of());

    /** Adds or replaces the entry of a server under a new version. */
    synchronized void put(Entry entry) {
        previous = changesSince(0);
        version++;
        entriesByHost.put(entry.host(), new VersionedEntry(version, entry));
        notifyAll();
    }

    /** Returns the version of the last change. */
    synchronized long version() {
        return version;
    }

    /** Returns the entries changed after a version; for 0, the whole list without removed servers. */
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

    /** Returns the whole list as it was before the last change. */
    synchronized ListResponse previous() {
        return previous;
    }

    /** Waits until the version exceeds {@code seenVersion} or {@link System#nanoTime} reaches the deadline. */
    synchronized void awaitNewer(long seenVersion, long deadlineNs) throws InterruptedException {
        for (long waitMs = remainingMs(deadlineNs); version <= seenVersion && waitMs > 0; waitMs = remainingMs(deadlineNs)) {
            wait(waitMs);
        }
    }

    private static long remainingMs(long deadlineNs) {
        return (deadlineNs - System.nanoTime()) / 1_000_000L;
    }
}
