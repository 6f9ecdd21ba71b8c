package holdmux.management;

import java.util.Map;
import java.util.TreeMap;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The orders of the operators.
 *
 * @param excluded the excluded servers by name, with the Unix time in milliseconds at which each was excluded
 * @param evacuated whether clients are sent away
 */
public record Orders(Map<String, Long> excluded, boolean evacuated) {
    /** Nothing is excluded or sent away. */
    static final Orders NONE = new Orders(Map.of(), false);

    /** These orders with a server excluded; one that is excluded already keeps its time. */
    Orders exclude(String server, long sinceMs) {
        Map<String, Long> next = new TreeMap<>(excluded);
        next.putIfAbsent(server, sinceMs);
        return new Orders(next, evacuated);
    }

    /** These orders with a server no longer excluded. */
    Orders include(String server) {
        Map<String, Long> next = new TreeMap<>(excluded);
        next.remove(server);
        return new Orders(next, evacuated);
    }

    /** These orders with clients sent away or not. */
    Orders evacuate(boolean newEvacuated) {
        return new Orders(excluded, newEvacuated);
    }

    /** The orders as a JSON object. */
    String encode() {
        return new JSONObject().put("excluded", new JSONObject(excluded)).put("evacuated", evacuated).toString();
    }

    /** Decodes the form of {@link #encode}; throws a {@link JSONException} for any other. */
    static Orders decode(String text) {
        JSONObject root = new JSONObject(text);
        JSONObject servers = root.getJSONObject("excluded");
        Map<String, Long> excluded = new TreeMap<>();
        servers.keySet().forEach(server -> excluded.put(server, servers.getLong(server)));
        return new Orders(excluded, root.getBoolean("evacuated"));
    }
}
