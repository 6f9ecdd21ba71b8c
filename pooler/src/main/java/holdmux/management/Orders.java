package holdmux.management;

import java.util.Map;
import java.util.TreeMap;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * What the operators have ordered: the servers left out, by name, each with the Unix time in milliseconds since when,
 * and whether clients are sent away.
 */
public record Orders(Map<String, Long> excluded, boolean evacuated) {
    static final Orders NONE = new Orders(Map.of(), false);

    Orders exclude(String server, long sinceMs) {
        Map<String, Long> next = new TreeMap<>(excluded);
        next.putIfAbsent(server, sinceMs);
        return new Orders(next, evacuated);
    }

    Orders include(String server) {
        Map<String, Long> next = new TreeMap<>(excluded);
        next.remove(server);
        return new Orders(next, evacuated);
    }

    Orders evacuate(boolean newEvacuated) {
        return new Orders(excluded, newEvacuated);
    }

    String encode() {
        return new JSONObject().put("excluded", new JSONObject(excluded)).put("evacuated", evacuated).toString();
    }

    /** What is not in this form is a {@link JSONException}. */
    static Orders decode(String text) {
        JSONObject root = new JSONObject(text);
        JSONObject servers = root.getJSONObject("excluded");
        Map<String, Long> excluded = new TreeMap<>();
        servers.keySet().forEach(server -> excluded.put(server, servers.getLong(server)));
        return new Orders(excluded, root.getBoolean("evacuated"));
    }
}
