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

/** What differs between two policies, by key, whatever the order and spacing of their texts. */
public final class TextDiff {
    private TextDiff() {}

    /** A line for each key that differs: {@code key: old -> new}, with {@code (none)} where one lacks it. */
    public static List<String> lines(String from, String to) {
        Map<String, String> before = flat(from);
        Map<String, String> after = flat(to);
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        List<String> lines = new ArrayList<>();
        for (String key : keys) {
            String was = before.getOrDefault(key, "(none)");
            String is = after.getOrDefault(key, "(none)");
            if (!was.equals(is)) {
                lines.add(key + ": " + was + " -> " + is);
            }
        }
        return lines;
    }

    private static Map<String, String> flat(String text) {
        try {
            return new TreeMap<>(Flattener.flatten(new JSONObject(text)));
        } catch (JSONException e) {
            throw new ConfigException("policy: " + e.getMessage());
        }
    }
}
