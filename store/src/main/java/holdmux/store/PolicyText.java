package holdmux.store;

import holdmux.config.Config;
import holdmux.config.ConfigException;
import holdmux.config.SettingsReader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The parsed text of a policy: {@code {"settings":{...},"discovery":"10.0.0.1:8500","excluded":["s-1"],
 * "evacuated":["pooler-7"]}}, where all keys but {@code settings} are optional.
 *
 * @param settings  the {@code settings} object of a pooler's configuration; local keys ({@link SettingsReader#LOCAL_KEYS})
 *                  are always taken from the pooler's own file
 * @param discovery the discovery agent's address, null to use the one in each pooler's file
 * @param excluded  names of servers that every pooler excludes, in addition to those excluded by its own operators
 * @param evacuated names of poolers that send their clients away
 */
public record PolicyText(JSONObject settings, InetSocketAddress discovery, Set<String> excluded, Set<String> evacuated) {
    private static final List<String> KEYS = List.of("settings", "discovery", "excluded", "evacuated");

    /**
     * Parses and validates a policy text with the same checks that {@code serve} applies to its configuration.
     *
     * @throws ConfigException describing the first problem, worded for the operator
     */
    public static PolicyText read(String text) {
        try {
            JSONObject policy = new JSONObject(text);
            for (String key : new TreeSet<>(policy.keySet())) {
                if (!KEYS.contains(key)) {
                    throw new ConfigException("unknown key " + key + "; a policy has " + String.join(", ", KEYS));
                }
            }
            JSONObject settings = policy.getJSONObject("settings");
            SettingsReader.validate(settings);
            return new PolicyText(settings, policy.has("discovery") ? Config.address(policy.getString("discovery")) : null,
                    names(policy, "excluded"), names(policy, "evacuated"));
        } catch (JSONException e) {
            throw new ConfigException("policy: " + e.getMessage());
        }
    }

    private static Set<String> names(JSONObject policy, String key) {
        JSONArray array = policy.has(key) ? policy.getJSONArray(key) : new JSONArray();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < array.length(); i++) {
            String name = array.getString(i);
            if (name.isEmpty()) {
                throw new ConfigException(key + "." + i + " is empty");
            }
            names.add(name);
        }
        return Set.copyOf(names);
    }
}
