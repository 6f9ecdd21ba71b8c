package holdmux.store;

import holdmux.config.ConfigException;
import holdmux.config.Flattener;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.json.JSONException;
import org.json.JSONObject;

/** Compares two policies by key, ignoring the order and whitespace of their texts. */
public final class PolicyDiff {
    private PolicyDiff() {}

    /** One line per differing key: {@code key: old -> new}, with {@code (none)} for a missing key. */
    public static List<String> lines(String oldText, String newText) {
        Map<String, String> before = flatten(oldText);
        Map<String, String> after = flatten(newText);
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        List<String> lines = new ArrayList<>();
        for (String key : keys) {
            String oldValue = before.getOrDefault(key, "(none)");
            String newValue = after.getOrDefault(key, "(none)");
            if (!oldValue.equals(newValue)) {
                lines.add(key + ": " + oldValue + " -> " + newValue);
            }
        }
        return lines;
    }

    private static Map<String, String> flatten(String text) {
        try {
            return new TreeMap<>(Flattener.flatten(new JSONObject(text)));
        } catch (JSONException e) {
            throw new ConfigException("policy: " + e.getMessage());
        }
    }
}
