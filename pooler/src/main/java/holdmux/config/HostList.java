package holdmux.config;

import holdmux.decision.SplitterApi.Availability;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * A server list from discovery, or the changes to one.
 *
 * @param seq the version of the list
 * @param whole whether this is the whole list rather than changes
 * @param hosts the valid entries
 * @param unfit the entries that could not be read
 */
public record HostList(long seq, boolean whole, List<Host> hosts, List<Unfit> unfit) {
    /**
     * An entry that cannot be used.
     *
     * @param name the server that it names, or empty
     * @param health its {@code health} field as received, or empty
     * @param problem what is wrong with it
     */
    public record Unfit(String name, String health, String problem) {
        /** Whether the entry explicitly says that the server accepts new work. */
        public boolean reportsUp() {
            return health.equals(UP);
        }

        /** Whether the entry says that the server accepts no new work: it is draining or removed. */
        public boolean reportsUnavailable() {
            return health.equals(DRAINING) || health.equals(REMOVED);
        }

        /** Whether the entry says that the server is removed. */
        public boolean reportsRemoved() {
            return health.equals(REMOVED);
        }
    }

    private static final String UP = "up", DRAINING = "draining", REMOVED = "removed";

    /** Creates a list without unreadable entries. */
    public HostList(long seq, boolean whole, List<Host> hosts) {
        this(seq, whole, hosts, List.of());
    }

    /**
     * A listed server.
     *
     * @param name its name
     * @param dial its address, null if it is removed
     * @param site its zone
     * @param kind its kind of machine
     * @param group its server group
     * @param availability whether it accepts new work
     * @param share its relative capacity
     * @param bornMs its start in Unix milliseconds, 0 if unknown or long ago
     * @param primary whether it is the primary of its group
     */
    public record Host(String name, InetSocketAddress dial, String site, String kind, int group, Availability availability,
            double share, long bornMs, boolean primary) {
        /** The same server with another availability. */
        public Host withAvailability(Availability newAvailability) {
            return newAvailability == availability ? this
                    : new Host(name, newAvailability == Availability.GONE ? null : dial, site, kind, group, newAvailability, share,
                            bornMs, primary);
        }

        /** The same server, restarted at this time. */
        public Host withBornMs(long newBornMs) {
            return new Host(name, dial, site, kind, group, availability, share, newBornMs, primary);
        }
    }

    /** The most servers named in a log line for each availability. */
    private static final int MAX_NAMED = 8;

    /** A summary for the log: the version, the number of servers, and which of them are draining or removed. */
    public String describe() {
        return "version " + seq + (whole ? ", whole, " : ", ") + hosts.size() + " servers, draining "
                + namesOf(Availability.DRAINING) + ", removed " + namesOf(Availability.GONE);
    }

    private List<String> namesOf(Availability availability) {
        return hosts.stream().filter(host -> host.availability() == availability).map(Host::name).limit(MAX_NAMED).toList();
    }

    /**
     * Decodes a list. Unreadable entries are collected in {@link #unfit}, so that they don't hide the valid ones.
     *
     * @throws ConfigException if the document is not a server list
     */
    public static HostList decode(String json) {
        try {
            return decode(new JSONObject(json), true);
        } catch (JSONException e) {
            throw new ConfigException("server list: " + e.getMessage());
        }
    }

    /** {@code lenient}: whether unreadable entries are collected, rather than the whole list rejected. */
    static HostList decode(JSONObject list, boolean lenient) {
        JSONArray entries = list.getJSONArray("hosts");
        List<Host> hosts = new ArrayList<>();
        List<Unfit> unfit = new ArrayList<>();
        for (int i = 0; i < entries.length(); i++) {
            try {
                hosts.add(host(entries.getJSONObject(i)));
            } catch (JSONException | ConfigException e) {
                if (!lenient) {
                    throw e;
                }
                unfit.add(unfit(entries.optJSONObject(i), e.getMessage()));
            }
        }
        return new HostList(list.getLong("seq"), list.getBoolean("whole"), List.copyOf(hosts), List.copyOf(unfit));
    }

    private static Unfit unfit(JSONObject entry, String problem) {
        return entry == null ? new Unfit("", "", problem)
                : new Unfit(entry.optString("host"), entry.optString("health"), problem);
    }

    private static Host host(JSONObject entry) {
        Availability availability = switch (entry.getString("health")) {
            case UP -> Availability.READY;
            case DRAINING -> Availability.DRAINING;
            case REMOVED -> Availability.GONE;
            default -> throw new JSONException("unknown health " + entry.getString("health"));
        };
        return new Host(entry.getString("host"),
                availability == Availability.GONE ? null : Config.address(entry.getString("dial")),
                entry.optString("site"), entry.optString("class"), entry.getInt("block"), availability,
                entry.optDouble("share", 1), entry.optLong("born_ms"),
                entry.optString("replication").equals("primary"));
    }
}
