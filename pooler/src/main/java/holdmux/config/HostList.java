package holdmux.config;

import holdmux.decision.SplitterApi.Availability;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Discovery's list of servers, whole or only what changed, as one document told it; {@code unfit} are entries that name a
 * server and cannot be read otherwise.
 */
public record HostList(long seq, boolean whole, List<Host> hosts, List<Unfit> unfit) {
    /** An entry that cannot be used: the server it names, its health as it stands there, and what is wrong with it. */
    public record Unfit(String name, String health, String problem) {
        /** Whether it says in so many words that the server takes new work. */
        public boolean reportsUp() {
            return health.equals(UP);
        }

        /** Whether it says that the server takes nothing new. */
        public boolean reportsUnavailable() {
            return health.equals(DRAINING) || health.equals(REMOVED);
        }

        /** Whether it says that the server is gone. */
        public boolean reportsRemoved() {
            return health.equals(REMOVED);
        }
    }

    private static final String UP = "up", DRAINING = "draining", REMOVED = "removed";

    /** A list all of whose entries can be used. */
    public HostList(long seq, boolean whole, List<Host> hosts) {
        this(seq, whole, hosts, List.of());
    }

    /** One server; {@code dial} is null for one that is gone, {@code bornMs} is 0 for long ago. */
    public record Host(String name, InetSocketAddress dial, String site, String kind, int group, Availability availability,
            double share, long bornMs, boolean primary) {
        /** The same server in another state. */
        public Host withAvailability(Availability newAvailability) {
            return newAvailability == availability ? this
                    : new Host(name, newAvailability == Availability.GONE ? null : dial, site, kind, group, newAvailability, share, bornMs, primary);
        }

        /** The same server, started anew at this time. */
        public Host withBornMs(long newBornMs) {
            return new Host(name, dial, site, kind, group, availability, share, newBornMs, primary);
        }
    }

    /** Servers named in a line of the log at most. */
    private static final int MAX_NAMED = 8;

    /** The list for a line of the log: its version, and which servers it has draining or removed. */
    public String describe() {
        return "version " + seq + (whole ? ", whole, " : ", ") + hosts.size() + " servers, draining "
                + namesOf(Availability.DRAINING) + ", removed " + namesOf(Availability.GONE);
    }

    private List<String> namesOf(Availability availability) {
        return hosts.stream().filter(host -> host.availability() == availability).map(Host::name).limit(MAX_NAMED).toList();
    }

    /**
     * Decodes one document; what does not have discovery's form is a {@link ConfigException}. An entry that cannot be read
     * is set apart: it must not hide what the others tell.
     */
    public static HostList decode(String json) {
        try {
            return decode(new JSONObject(json), true);
        } catch (JSONException e) {
            throw new ConfigException("a list of hosts: " + e.getMessage());
        }
    }

    /** {@code lenient}: whether entries that cannot be read are set apart, rather than the whole list refused. */
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
