package holdmux.core;

import holdmux.config.HostList;
import holdmux.config.HostList.Host;
import holdmux.decision.SplitterApi.Availability;
import holdmux.decision.SplitterApi.ListChanged;
import holdmux.decision.SplitterApi.ListMode;
import holdmux.decision.SplitterApi.Listing;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;

/** Who the servers are: the module's number and the present address of each, and the groups there are. */
public final class Fleet {
    private static final long MS = Clock.MS;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Long> stores = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
    private final Set<Integer> groups = new HashSet<>();
    /** What discovery said last of each server that is not gone. */
    private final Map<String, Host> told = new HashMap<>();
    /** Servers that the operators left out, with the Unix time in milliseconds since when; no list undoes it. */
    private Map<String, Long> excluded = Map.of();
    private long generation;

    public Fleet(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Where a server listens now; null once it is gone. */
    public synchronized InetSocketAddress address(long store) {
        return addresses.get(store);
    }

    public synchronized boolean hasGroup(int group) {
        return groups.contains(group);
    }

    public synchronized String name(long store) {
        return names.get(store);
    }

    /** The kind of server that discovery's entry names; null for one that is gone. */
    public synchronized String kind(long store) {
        Host host = told.get(names.get(store));
        return host == null ? null : host.kind();
    }

    /** Whether discovery lists a server of this name. */
    public synchronized boolean lists(String name) {
        return told.containsKey(name);
    }

    /**
     * Leaves out just these servers from now on, and tells what that changes as the module's event: who is left out
     * drains, whatever the list says; who is put back was restarted meanwhile, for all we know, and is cold.
     */
    synchronized ListChanged leaveOut(Map<String, Long> servers, long nowMs) {
        Map<String, Long> before = excluded;
        excluded = Map.copyOf(servers);
        List<Listing> lines = new ArrayList<>();
        told.replaceAll((name, host) -> {
            boolean back = before.containsKey(name) && !excluded.containsKey(name);
            Host now = !back || host.bornMs() >= before.get(name) ? host : host.bornAt(nowMs);
            if (back || excluded.containsKey(name) && !before.containsKey(name)) {
                lines.add(listing(now));
            }
            return now;
        });
        return new ListChanged(ListMode.DELTA, generation, lines);
    }

    /** Takes in a list and tells it as the module's event; a whole list removes what it omits. */
    synchronized ListChanged take(HostList list, boolean cached) {
        if (list.whole()) {
            Set<Long> listed = new HashSet<>();
            list.hosts().forEach(host -> listed.add(store(host.name())));
            addresses.keySet().retainAll(listed);
            told.values().removeIf(host -> !listed.contains(store(host.name())));
        }
        List<Listing> lines = new ArrayList<>();
        for (Host host : list.hosts()) {
            long store = store(host.name());
            groups.add(host.group());
            if (host.availability() == Availability.GONE) {
                addresses.remove(store);
                told.remove(host.name());
            } else {
                addresses.put(store, host.dial());
                told.put(host.name(), host);
            }
            lines.add(listing(host));
        }
        generation = list.seq();
        ListMode mode = cached ? ListMode.CACHED : list.whole() ? ListMode.FULL : ListMode.DELTA;
        return new ListChanged(mode, list.seq(), lines);
    }

    private Listing listing(Host host) {
        boolean out = host.availability() == Availability.READY && excluded.containsKey(host.name());
        return new Listing(store(host.name()), host.group(), Math.max(0, zones.indexOf(host.site())),
                Math.max(0, kinds.indexOf(host.kind())), out ? Availability.DRAINING : host.availability(),
                host.primary(), host.bornMs() * MS, host.share());
    }

    /** From the name alone, so that every pooler orders the servers alike; the module's choice of one rests on it. */
    private long store(String name) {
        return stores.computeIfAbsent(name, n -> {
            CRC32 crc = new CRC32();
            crc.update(n.getBytes(StandardCharsets.UTF_8));
            long store = crc.getValue();
            while (names.containsKey(store)) {
                store++; // two names with one checksum must not become one server
            }
            names.put(store, n);
            return store;
        });
    }
}
