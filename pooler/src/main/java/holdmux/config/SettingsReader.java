package holdmux.config;

import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Effect;
import holdmux.decision.SplitterApi.Guards;
import holdmux.decision.SplitterApi.Limits;
import holdmux.decision.SplitterApi.RequestClass;
import holdmux.decision.SplitterApi.Rules;
import holdmux.decision.SplitterApi.Scope;
import holdmux.decision.SplitterApi.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Decodes the settings of a pooler; unknown keys are ignored. The simulator passes them as path=value lines, the configuration file
 * as nested JSON, which {@link Flattener} converts to that form.
 */
public final class SettingsReader {
    /**
     * Keys that are specific to each pooler or fixed for the lifetime of its process: its index and zone, and the names from which
     * tables are built at start-up. A policy for the whole fleet does not override these.
     */
    public static final List<String> LOCAL_KEYS = List.of("me", "zone", "zones", "skus", "report");

    private final Map<String, String> values;

    SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads settings from path=value lines. */
    public static Settings read(String config) {
        Map<String, String> values = new HashMap<>();
        config.lines().filter(line -> line.indexOf('=') > 0).forEach(line -> {
            int at = line.indexOf('=');
            values.put(line.substring(0, at).strip(), line.substring(at + 1).strip());
        });
        return new SettingsReader(values).settings();
    }

    /**
     * Validates a {@code settings} object that is not in force, such as that of a policy, by the same rules as {@link Config#load}.
     * The origin of positions is 0; {@code me}, the index of each pooler, may be absent.
     *
     * @throws ConfigException naming the first key that is missing or out of bounds
     */
    public static Deployment validate(JSONObject settings) {
        try {
            Map<String, String> values = Flattener.flatten(settings);
            values.put("family-info.zero-ns", "0");
            values.putIfAbsent("me", "0"); // taken from the file of each pooler
            return new SettingsReader(values).deployment();
        } catch (JSONException e) {
            throw new ConfigException("settings: " + e.getMessage());
        }
    }

    /**
     * Combines a fleet's policy with the settings of one pooler, from which the {@link #LOCAL_KEYS} are taken.
     *
     * @param localSettings the {@code settings} of the pooler's file
     * @param policySettings the {@code settings} of the policy
     * @param zeroNs the origin of positions on the pooler's clock
     * @throws ConfigException naming the first key that is missing or out of bounds
     */
    public static Deployment overlay(JSONObject localSettings, JSONObject policySettings, long zeroNs) {
        try {
            JSONObject merged = new JSONObject(policySettings.toString());
            for (String key : LOCAL_KEYS) {
                merged.remove(key);
                merged.putOpt(key, localSettings.opt(key));
            }
            Map<String, String> values = Flattener.flatten(merged);
            values.put("family-info.zero-ns", Long.toString(zeroNs));
            return new SettingsReader(values).deployment();
        } catch (JSONException e) {
            throw new ConfigException("settings: " + e.getMessage());
        }
    }

    /** The settings of the decision module, with the names and time-outs that only the pooler itself needs. */
    Deployment deployment() {
        int classes = (int) atLeast("request-classes.count", 1);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            String nameKey = "request-classes." + i + ".name";
            if (names.contains(required(nameKey))) {
                throw new ConfigException("settings: " + nameKey + " is " + required(nameKey) + ", the name of an earlier class");
            }
            names.add(required(nameKey));
        }
        return new Deployment(settings(), List.copyOf(names), list("zones", ""), list("skus", ""),
                list("report.fields", ""), atLeast("allowed.conn-idle-ns", 1),
                atLeast("allowed.connect-timeout-ns", 1));
    }

    private Settings settings() {
        List<String> fields = list("report.fields", "");
        return new Settings((int) number("me"), (int) atLeast("balancers", 1), (int) number("zone"),
                atLeast("step-ns", 1), classes(), quotas(), decimal("over-share-worth", 1),
                enumConstant(Guards.class, "family-info.guards", required("family-info.guards")),
                number("family-info.wait-ns", 0), number("family-info.zero-ns"),
                required("family-info.token-mode").equals("remembered"),
                !getOrDefault("family-info.shows-role", "off").equals("off"), required("discovery").equals("subscribe"),
                rules(), limits(), fields.indexOf("x0"), fields.indexOf("x1"), fields.indexOf("backlog"),
                fields.indexOf("outstanding"), fields.indexOf("utilization"));
    }

    private List<RequestClass> classes() {
        int count = (int) atLeast("request-classes.count", 1);
        List<String> consistency = list("family-info.consistency", null);
        List<String> bounds = list("family-info.class-bound-ns", null);
        if (consistency.size() != count || bounds.size() != count) {
            throw new ConfigException("settings: " + count + " classes, but " + consistency.size()
                    + " consistencies and " + bounds.size() + " bounds");
        }
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prefix = "request-classes." + i + ".";
            classes.add(new RequestClass(enumConstant(Consistency.class, "family-info.consistency", consistency.get(i)),
                    parse("family-info.class-bound-ns", bounds.get(i)), atLeast(prefix + "on-time-ns", 1),
                    atLeast(prefix + "deadline-ns", 1), decimal(prefix + "worth", 1), decimal(prefix + "late-worth", 0),
                    enumConstant(Effect.class, prefix + "effect", required(prefix + "effect")),
                    enumConstant(Scope.class, prefix + "dedup-scope", getOrDefault(prefix + "dedup-scope", "all")),
                    atLeast(prefix + "window-ns", 0, 0)));
        }
        return List.copyOf(classes);
    }

    private List<Double> quotas() {
        List<Double> quotas = new ArrayList<>();
        for (int i = 0; i < number("tenants.count", 0); i++) {
            quotas.add(decimal("tenants." + i + ".quota-per-s", 0));
        }
        return List.copyOf(quotas);
    }

    private Rules rules() {
        double coldShare = decimal("guarantees.cold-share", 1);
        if (!(coldShare >= 0 && coldShare <= 1)) {
            throw new ConfigException("settings: guarantees.cold-share is " + coldShare + ", not between 0 and 1");
        }
        return new Rules(atLeast("guarantees.answer-slack-ns", 0), atLeast("guarantees.drain-grace-ns", 0),
                coldShare, atLeast("guarantees.ramp-time-ns", 0),
                decimal("guarantees.overload-factor", 1), atLeast("guarantees.fall-ns", 0),
                flag("guarantees.gone-is-advice"), number("guarantees.ask-every-ns", 0));
    }

    private Limits limits() {
        return new Limits((int) atLeast("allowed.max-attempts", 1), flag("allowed.probes"), flag("allowed.cancel"),
                flag("allowed.may-duplicate"), flag("allowed.retry-after"),
                number("allowed.max-retry-after-ns", 0), flag("allowed.peers"));
    }

    private String getOrDefault(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private String required(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new ConfigException("settings: " + key + " is missing");
        }
        return value;
    }

    private boolean flag(String key) {
        return Boolean.parseBoolean(getOrDefault(key, "false"));
    }

    private long number(String key) {
        return parse(key, required(key));
    }

    private long number(String key, long defaultValue) {
        String value = values.get(key);
        return value == null ? defaultValue : parse(key, value);
    }

    private long atLeast(String key, long min) {
        long value = number(key);
        if (value < min) {
            throw new ConfigException("settings: " + key + " is " + value + ", less than " + min);
        }
        return value;
    }

    private long atLeast(String key, long min, long defaultValue) {
        return values.containsKey(key) ? atLeast(key, min) : defaultValue;
    }

    private static long parse(String key, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("settings: " + key + " is not a whole number: " + value);
        }
    }

    private double decimal(String key, double defaultValue) {
        String value = values.get(key);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("settings: " + key + " is not a number: " + value);
        }
    }

    private List<String> list(String key, String defaultValue) {
        String value = defaultValue == null ? required(key) : getOrDefault(key, defaultValue);
        return List.of(value.split(","));
    }

    private static <E extends Enum<E>> E enumConstant(Class<E> type, String key, String value) {
        try {
            return Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings: " + key + " has the unknown value " + value);
        }
    }
}
