package holdmux.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Flattens nested JSON settings to the path=value form of the simulator. Lists of scalars are joined with commas. Lists of objects
 * store their length at {@code .count} and their items at {@code .0}, {@code .1} and so on. Spaces and commas within a value become
 * {@code _}.
 */
public final class Flattener {
    private final Map<String, String> values = new TreeMap<>();

    private Flattener() {}

    /** The values of an object by their dotted paths. */
    public static Map<String, String> flatten(JSONObject settings) {
        Flattener flattener = new Flattener();
        flattener.addObject("", settings);
        return flattener.values;
    }

    /** The paths of all keys, with {@code *} for a list index; of the items of a list, the paths that all items have. */
    static Set<String> keys(JSONObject object) {
        Set<String> keys = new HashSet<>();
        for (String key : object.keySet()) {
            Object value = object.get(key);
            keys.add(key);
            if (value instanceof JSONObject nested) {
                keys(nested).forEach(inner -> keys.add(key + "." + inner));
            } else if (value instanceof JSONArray list && !list.isEmpty() && list.get(0) instanceof JSONObject first) {
                Set<String> common = keys(first);
                list.forEach(item -> common.retainAll(item instanceof JSONObject o ? keys(o) : Set.of()));
                common.forEach(inner -> keys.add(key + ".*." + inner));
            }
        }
        return keys;
    }

    private void addObject(String prefix, JSONObject object) {
        for (String key : object.keySet()) {
            addValue(prefix + key, object.get(key));
        }
    }

    private void addValue(String path, Object value) {
        if (value instanceof JSONObject nested) {
            addObject(path + ".", nested);
        } else if (value instanceof JSONArray list) {
            addList(path, list);
        } else if (value != JSONObject.NULL) {
            values.put(path, scalar(value));
        }
    }

    private void addList(String path, JSONArray list) {
        List<String> scalars = new ArrayList<>();
        for (int i = 0; i < list.length(); i++) {
            if (list.get(i) instanceof JSONObject item) {
                addObject(path + "." + i + ".", item);
            } else {
                scalars.add(scalar(list.get(i)));
            }
        }
        if (scalars.size() < list.length()) {
            values.put(path + ".count", String.valueOf(list.length()));
        } else {
            values.put(path, String.join(",", scalars));
        }
    }

    private static String scalar(Object value) {
        return value.toString().replace(' ', '_').replace(',', '_');
    }
}
