package holdmux.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The servers as discovery knows them, in numbered versions. The agents of several machines may tell the same list. */
public final class ServerList {
    /** One server: {@code port} on loopback, {@code health} is up, draining or removed. */
    record Entry(String host, int port, String kind, int group, String health, boolean primary) {
        String json() {
            return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"north\",\"class\":\"" + kind
                    + "\",\"block\":" + group + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0,\"replication\":\""
                    + (primary ? "primary" : "standby") + "\"}";
        }
    }

    /** What a call is answered: the whole list or the entries that changed, as of a version. */
    record View(long version, boolean whole, List<Entry> entries) {}

    private record Line(long version, Entry entry) {}

    private final Map<String, Line> lines = new LinkedHashMap<>();
    private long version;
    /** The whole list as it was before the last change. */
    private View previous = new View(0, true, List.of());

    /** Adds or changes a server. */
    synchronized void put(Entry entry) {
        previous = since(0);
        version++;
        lines.put(entry.host(), new Line(version, entry));
        notifyAll();
    }

    /** The version of the last change. */
    synchronized long version() {
        return version;
    }

    /** What changed since a version; the whole list for 0. */
    synchronized View since(long from) {
        List<Entry> entries = new ArrayList<>();
        for (Line line : lines.values()) {
            boolean listed = from > 0 || !line.entry().health().equals("removed");
            if (listed && line.version() > from) {
                entries.add(line.entry());
            }
        }
        return new View(version, from == 0, List.copyOf(entries));
    }

    /** The whole list as it was before the last change. */
    synchronized View previous() {
        return previous;
    }

    /** Waits until there is a version above this one, or until this moment of {@link System#nanoTime}. */
    synchronized void awaitNewer(long than, long byNs) throws InterruptedException {
        for (long leftMs = millis(byNs); version <= than && leftMs > 0; leftMs = millis(byNs)) {
            wait(leftMs);
        }
    }

    private static long millis(long byNs) {
        return (byNs - System.nanoTime()) / 1_000_000L;
    }
}
