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
public final class ServerRegistry {
    private static final long MS = Clock.MS;
    /** Drains and removals remembered: more than a large fleet has servers. */
    private static final int MAX_WITHDRAWALS = 8_192;

    /** That a server takes nothing new: the version of the list that said so, and when the server had last started. */
    private record Withdrawal(long listVersion, long startedAtMs, Availability availability) {
        Withdrawal withListVersion(long otherVersion) {
            return new Withdrawal(otherVersion, startedAtMs, availability);
        }
    }

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Long> idsByName = new HashMap<>();
    private final Map<Long, String> namesById = new HashMap<>();
    private final Map<Long, InetSocketAddress> addressesById = new HashMap<>();
    private final Set<Integer> groups = new HashSet<>();
    /** What discovery said last of each server that is not gone. */
    private final Map<String, Host> hostsByName = new HashMap<>();
    /** Servers that the operators left out, with the Unix time in milliseconds since when; no list undoes it. */
    private Map<String, Long> excluded = Map.of();
    /** Servers that were told to drain or to be gone, the latest of them, and by which list. */
    private final Map<String, Withdrawal> withdrawals = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Withdrawal> eldest) {
            return size() > MAX_WITHDRAWALS;
        }
    };
    private long staleEntries;
    private long listVersion;

    public ServerRegistry(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Where a server listens now; null once it is gone. */
    public synchronized InetSocketAddress address(long serverId) {
        return addressesById.get(serverId);
    }

    public synchronized boolean hasGroup(int group) {
        return groups.contains(group);
    }

    public synchronized String name(long serverId) {
        return namesById.get(serverId);
    }

    /** The kind of server that discovery's entry names; null for one that is gone. */
    public synchronized String kind(long serverId) {
        Host host = hostsByName.get(namesById.get(serverId));
        return host == null ? null : host.kind();
    }

    /** Whether discovery lists a server of this name. */
    public synchronized boolean contains(String name) {
        return hostsByName.containsKey(name);
    }

    /**
     * Leaves out just these servers from now on, and tells what that changes as the module's event: who is left out
     * drains, whatever the list says; who is put back was restarted meanwhile, for all we know, and is cold.
     */
    synchronized ListChanged setExcluded(Map<String, Long> servers, long nowMs) {
        Map<String, Long> previous = excluded;
        excluded = Map.copyOf(servers);
        List<Listing> lines = new ArrayList<>();
        hostsByName.replaceAll((name, host) -> {
            boolean readmitted = previous.containsKey(name) && !excluded.containsKey(name);
            Host updated = !readmitted || host.bornMs() >= previous.get(name) ? host : host.withBornMs(nowMs);
            if (readmitted || excluded.containsKey(name) && !previous.containsKey(name)) {
                lines.add(listing(updated));
            }
            return updated;
        });
        return new ListChanged(ListMode.DELTA, listVersion, lines);
    }

    /**
     * Takes in a list and tells it as the module's event; a whole list removes what it omits. A list that is older than the
     * one that told of a drain or a removal does not undo it, and neither does an entry that cannot be read.
     */
    synchronized ListChanged apply(HostList list, boolean cached) {
        if (list.whole()) {
            removeOmitted(list);
        }
        List<Listing> lines = new ArrayList<>();
        for (Host host : list.hosts()) {
            lines.add(apply(list.seq(), host));
        }
        for (HostList.Unfit unfit : list.unfit()) {
            Host current = hostsByName.get(unfit.name());
            if (current != null) {
                lines.add(apply(unfit.reportsUnavailable() ? list.seq() : inferredVersion(list), unfit.reportsUp() ? current
                        : current.withAvailability(unfit.reportsRemoved() ? Availability.GONE : Availability.DRAINING)));
            }
        }
        withdrawals.replaceAll((name, withdrawal) -> withdrawal.listVersion() > list.seq() ? withdrawal.withListVersion(list.seq()) : withdrawal);
        listVersion = list.seq();
        ListMode mode = cached ? ListMode.CACHED : list.whole() ? ListMode.FULL : ListMode.DELTA;
        return new ListChanged(mode, list.seq(), lines);
    }

    private void removeOmitted(HostList list) {
        Set<String> listed = new HashSet<>();
        list.hosts().forEach(host -> listed.add(host.name()));
        list.unfit().forEach(unfit -> listed.add(unfit.name()));
        List<Host> omitted = hostsByName.values().stream().filter(host -> !listed.contains(host.name())).toList();
        // an entry that cannot be read and names nobody may be that of a server which seems to be omitted
        boolean certain = list.unfit().stream().allMatch(unfit -> listed.contains(unfit.name()) && !unfit.name().isEmpty());
        omitted.forEach(host -> apply(certain ? list.seq() : inferredVersion(list), host.withAvailability(Availability.GONE)));
    }

    /** The version of what is inferred from entries that cannot be read: the same list, once it can be read, undoes it. */
    private static long inferredVersion(HostList list) {
        return list.seq() - 1;
    }

    private Listing apply(long version, Host reported) {
        Host host = reported.withAvailability(effectiveAvailability(version, reported));
        long serverId = serverId(host.name());
        groups.add(host.group());
        if (host.availability() != Availability.READY) {
            Host previous = hostsByName.get(host.name());
            Withdrawal withdrawal = withdrawals.get(host.name());
            long startedAtMs = Math.max(host.bornMs(), previous == null ? 0 : previous.bornMs());
            withdrawals.put(host.name(), new Withdrawal(withdrawal == null ? version : Math.max(version, withdrawal.listVersion()), startedAtMs, host.availability()));
        }
        if (host.availability() == Availability.GONE) {
            addressesById.remove(serverId);
            hostsByName.remove(host.name());
        } else {
            addressesById.put(serverId, host.dial());
            hostsByName.put(host.name(), host);
        }
        return listing(host);
    }

    /** What holds of a server that a list of this version says something of. */
    private Availability effectiveAvailability(long version, Host host) {
        Withdrawal withdrawal = withdrawals.get(host.name());
        if (withdrawal == null) {
            return host.availability();
        }
        if (version > withdrawal.listVersion() || host.bornMs() > withdrawal.startedAtMs()) {
            withdrawals.remove(host.name());
            return host.availability();
        }
        boolean isStale = host.availability() == Availability.READY
                || host.availability() == Availability.DRAINING && withdrawal.availability() == Availability.GONE;
        if (isStale) {
            staleEntries++;
        }
        return isStale ? withdrawal.availability() : host.availability();
    }

    /** How often a list was too old to put a server back that drains or was removed. */
    public synchronized long staleEntries() {
        return staleEntries;
    }

    private Listing listing(Host host) {
        boolean isExcluded = host.availability() == Availability.READY && excluded.containsKey(host.name());
        return new Listing(serverId(host.name()), host.group(), Math.max(0, zones.indexOf(host.site())),
                Math.max(0, kinds.indexOf(host.kind())), isExcluded ? Availability.DRAINING : host.availability(),
                host.primary(), host.bornMs() * MS, host.share());
    }

    /** From the name alone, so that every pooler orders the servers alike; the module's choice of one rests on it. */
    private long serverId(String name) {
        return idsByName.computeIfAbsent(name, n -> {
            CRC32 crc = new CRC32();
            crc.update(n.getBytes(StandardCharsets.UTF_8));
            long id = crc.getValue();
            while (namesById.containsKey(id)) {
                id++; // two names with one checksum must not become one server
            }
            namesById.put(id, n);
            return id;
        });
    }
}
