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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;

/** Who the servers are: the module's number and the present address of each, and the groups there are. */
public final class Fleet {
    private static final long MS = Clock.MS;
    /** Drains and removals remembered: more than a large fleet has servers. */
    private static final int MOST_STOPS = 8_192;

    /** That a server takes nothing new: the version of the list that said so, and when the server had last started. */
    private record Stop(long seq, long bornMs, Availability availability) {
        Stop at(long otherSeq) {
            return new Stop(otherSeq, bornMs, availability);
        }
    }

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
    /** Servers that were told to drain or to be gone, the latest of them, and by which list. */
    private final Map<String, Stop> stops = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Stop> eldest) {
            return size() > MOST_STOPS;
        }
    };
    private long staleEntries;
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

    /**
     * Takes in a list and tells it as the module's event; a whole list removes what it omits. A list that is older than the
     * one that told of a drain or a removal does not undo it, and neither does an entry that cannot be read.
     */
    synchronized ListChanged take(HostList list, boolean cached) {
        if (list.whole()) {
            removeOmitted(list);
        }
        List<Listing> lines = new ArrayList<>();
        for (Host host : list.hosts()) {
            lines.add(take(list.seq(), host));
        }
        for (HostList.Unfit unfit : list.unfit()) {
            Host known = told.get(unfit.name());
            if (known != null) {
                lines.add(take(unfit.saysStopped() ? list.seq() : inferredFrom(list), unfit.saysUp() ? known
                        : known.with(unfit.saysRemoved() ? Availability.GONE : Availability.DRAINING)));
            }
        }
        stops.replaceAll((name, stop) -> stop.seq() > list.seq() ? stop.at(list.seq()) : stop);
        generation = list.seq();
        ListMode mode = cached ? ListMode.CACHED : list.whole() ? ListMode.FULL : ListMode.DELTA;
        return new ListChanged(mode, list.seq(), lines);
    }

    private void removeOmitted(HostList list) {
        Set<String> listed = new HashSet<>();
        list.hosts().forEach(host -> listed.add(host.name()));
        list.unfit().forEach(unfit -> listed.add(unfit.name()));
        List<Host> omitted = told.values().stream().filter(host -> !listed.contains(host.name())).toList();
        // an entry that cannot be read and names nobody may be that of a server which seems to be omitted
        boolean certain = list.unfit().stream().allMatch(unfit -> listed.contains(unfit.name()) && !unfit.name().isEmpty());
        omitted.forEach(host -> take(certain ? list.seq() : inferredFrom(list), host.with(Availability.GONE)));
    }

    /** The version of what is inferred from entries that cannot be read: the same list, once it can be read, undoes it. */
    private static long inferredFrom(HostList list) {
        return list.seq() - 1;
    }

    private Listing take(long seq, Host said) {
        Host host = said.with(believed(seq, said));
        long store = store(host.name());
        groups.add(host.group());
        if (host.availability() != Availability.READY) {
            Host before = told.get(host.name());
            Stop stop = stops.get(host.name());
            long born = Math.max(host.bornMs(), before == null ? 0 : before.bornMs());
            stops.put(host.name(), new Stop(stop == null ? seq : Math.max(seq, stop.seq()), born, host.availability()));
        }
        if (host.availability() == Availability.GONE) {
            addresses.remove(store);
            told.remove(host.name());
        } else {
            addresses.put(store, host.dial());
            told.put(host.name(), host);
        }
        return listing(host);
    }

    /** What holds of a server that a list of this version says something of. */
    private Availability believed(long seq, Host host) {
        Stop stop = stops.get(host.name());
        if (stop == null) {
            return host.availability();
        }
        if (seq > stop.seq() || host.bornMs() > stop.bornMs()) {
            stops.remove(host.name());
            return host.availability();
        }
        boolean undoes = host.availability() == Availability.READY
                || host.availability() == Availability.DRAINING && stop.availability() == Availability.GONE;
        if (undoes) {
            staleEntries++;
        }
        return undoes ? stop.availability() : host.availability();
    }

    /** How often a list was too old to put a server back that drains or was removed. */
    public synchronized long staleEntries() {
        return staleEntries;
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
