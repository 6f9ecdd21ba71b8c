package holdmux.config;

import holdmux.decision.SplitterApi.Availability;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/** Discovery's list of servers, whole or only what changed, as one document told it. */
public record HostList(long seq, boolean whole, List<Host> hosts) {
    /** One server; {@code dial} is null for one that is gone, {@code bornMs} is 0 for long ago. */
    public record Host(String name, InetSocketAddress dial, String site, String kind, int group, Availability availability,
            double share, long bornMs, boolean primary) {
        /** The same server, started anew at this time. */
        public Host bornAt(long ms) {
            return new Host(name, dial, site, kind, group, availability, share, ms, primary);
        }
    }

    /** Servers named in a line of the log at most. */
    private static final int MOST_NAMED = 8;

    /** The list for a line of the log: its version, and which servers it has draining or removed. */
    public String describe() {
        return "version " + seq + (whole ? ", whole, " : ", ") + hosts.size() + " servers, draining "
                + named(Availability.DRAINING) + ", removed " + named(Availability.GONE);
    }

    private List<String> named(Availability availability) {
        return hosts.stream().filter(host -> host.availability() == availability).map(Host::name).limit(MOST_NAMED).toList();
    }

    /** Decodes one document; what does not have discovery's form is a {@link ConfigException}. */
    public static HostList decode(String json) {
        try {
            return decode(new JSONObject(json));
        } catch (JSONException e) {
            throw new ConfigException("a list of hosts: " + e.getMessage());
        }
    }

    static HostList decode(JSONObject list) {
        JSONArray lines = list.getJSONArray("hosts");
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < lines.length(); i++) {
            hosts.add(host(lines.getJSONObject(i)));
        }
        return new HostList(list.getLong("seq"), list.getBoolean("whole"), List.copyOf(hosts));
    }

    private static Host host(JSONObject line) {
        Availability availability = switch (line.getString("health")) {
            case "up" -> Availability.READY;
            case "draining" -> Availability.DRAINING;
            case "removed" -> Availability.GONE;
            default -> throw new JSONException("unknown health " + line.getString("health"));
        };
        return new Host(line.getString("host"),
                availability == Availability.GONE ? null : Config.address(line.getString("dial")),
                line.optString("site"), line.optString("class"), line.getInt("block"), availability,
                line.optDouble("share", 1), line.optLong("born_ms"),
                line.optString("replication").equals("primary"));
    }
}
