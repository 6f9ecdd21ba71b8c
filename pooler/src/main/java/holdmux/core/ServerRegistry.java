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

/** The known servers, with the number that the decision module knows each by and its current address, and the known groups. */
public final class ServerRegistry {
    private static final long MS = Clock.MS;
    /** Drains and removals kept on record; more than the number of servers in a large deployment. */
    private static final int MAX_WITHDRAWALS = 8_192;

    /** A drain or removal of a server: the version of the list that reported it, and when the server had last started. */
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
    /** The last entry that discovery reported for each server that is not gone. */
    private final Map<String, Host> hostsByName = new HashMap<>();
    /** Servers excluded by operators, with the Unix time in milliseconds of the exclusion; no list ends an exclusion. */
    private Map<String, Long> excluded = Map.of();
    /** The latest drain or removal of each server; bounded, the oldest are dropped. */
    private final Map<String, Withdrawal> withdrawals = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Withdrawal> eldest) {
            return size() > MAX_WITHDRAWALS;
        }
    };
    private long staleEntries;
    private long listVersion;

    /** Creates an empty registry; zones and kinds are numbered by their index in these lists. */
    public ServerRegistry(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** Returns a server's current address; null once it is gone. */
    public synchronized InetSocketAddress address(long serverId) {
        return addressesById.get(serverId);
    }

    /** Whether a server is listed and neither drains nor is excluded by operators. */
    public synchronized boolean acceptsWork(long serverId) {
        Host host = hostsByName.get(namesById.get(serverId));
        return host != null && host.availability() == Availability.READY && !excluded.containsKey(host.name());
    }

    /** Whether any server of this group was ever listed. */
    public synchronized boolean hasGroup(int group) {
        return groups.contains(group);
    }

    /** Returns the name of a server; it is kept when the server is gone. */
    public synchronized String name(long serverId) {
        return namesById.get(serverId);
    }

    /** Returns the kind of server that discovery reports; null for a server that is gone. */
    public synchronized String kind(long serverId) {
        Host host = hostsByName.get(namesById.get(serverId));
        return host == null ? null : host.kind();
    }

    /** Whether discovery currently lists a server of this name. */
    public synchronized boolean contains(String name) {
        return hostsByName.containsKey(name);
    }

    /**
     * Replaces the set of excluded servers and returns the resulting event for the decision module. An excluded server
     * drains, regardless of the list; a server that is readmitted may have been restarted meanwhile and counts as cold.
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
     * Applies a list and returns the resulting event for the decision module; a whole list removes the servers it omits. A
     * drain or removal is not undone by a list older than the one that reported it, nor by an entry that cannot be read.
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
        withdrawals.replaceAll((name, withdrawal) -> withdrawal.listVersion() > list.seq() ? withdrawal.withListVersion(list.seq())
                : withdrawal);
        listVersion = list.seq();
        ListMode mode = cached ? ListMode.CACHED : list.whole() ? ListMode.FULL : ListMode.DELTA;
        return new ListChanged(mode, list.seq(), lines);
    }

    private void removeOmitted(HostList list) {
        Set<String> listed = new HashSet<>();
        list.hosts().forEach(host -> listed.add(host.name()));
        list.unfit().forEach(unfit -> listed.add(unfit.name()));
        List<Host> omitted = hostsByName.values().stream().filter(host -> !listed.contains(host.name())).toList();
        // an unreadable entry without a name may belong to a server that appears to be omitted
        boolean certain = list.unfit().stream().allMatch(unfit -> listed.contains(unfit.name()) && !unfit.name().isEmpty());
        omitted.forEach(host -> apply(certain ? list.seq() : inferredVersion(list), host.withAvailability(Availability.GONE)));
    }

    /** The version given to what is inferred from unreadable entries; the same list, once readable, then overrides it. */
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
            withdrawals.put(host.name(), new Withdrawal(withdrawal == null ? version : Math.max(version, withdrawal.listVersion()),
                    startedAtMs, host.availability()));
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

    /** Returns the availability to use for a server that a list of this version reports, given earlier drains and removals. */
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

    /** Returns how many list entries were ignored because they were older than the server's drain or removal. */
    public synchronized long staleEntries() {
        return staleEntries;
    }

    private Listing listing(Host host) {
        boolean isExcluded = host.availability() == Availability.READY && excluded.containsKey(host.name());
        return new Listing(serverId(host.name()), host.group(), Math.max(0, zones.indexOf(host.site())),
                Math.max(0, kinds.indexOf(host.kind())), isExcluded ? Availability.DRAINING : host.availability(),
                host.primary(), host.bornMs() * MS, host.share());
    }

    /** Derives a server's number from its name alone: the module's choices depend on the numbers, and all poolers must agree. */
    private long serverId(String name) {
        return idsByName.computeIfAbsent(name, n -> {
            CRC32 crc = new CRC32();
            crc.update(n.getBytes(StandardCharsets.UTF_8));
            long id = crc.getValue();
            while (namesById.containsKey(id)) {
                id++; // two names with the same checksum need different numbers
            }
            namesById.put(id, n);
            return id;
        });
    }
}
