package holdmux.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The configuration of the pooler, from its file and from environment variables.
 *
 * @param name the name of this pooler
 * @param listen the address for clients
 * @param discovery the address of the discovery agent
 * @param alternativeDiscovery the agent named by the file where the environment names another one, else null
 * @param management the address for operators, null if there is none
 * @param seed the seed of random choices
 * @param memoryMb the memory limit in megabytes
 * @param sockets the limit on file descriptors
 * @param cachedList the last known server list
 * @param deployment the decoded settings
 * @param keys the paths of all keys in the file, without those of the server list
 * @param ownSettings the {@code settings} object of the file
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress alternativeDiscovery,
        InetSocketAddress management, long seed, int memoryMb, int sockets, HostList cachedList, Deployment deployment, Set<String> keys,
        JSONObject ownSettings) {
    /** A list of 1,024 servers with the longest names, indented, is 1.1 MiB; the settings are a few KiB. */
    private static final long MAX_BYTES = 4 << 20;

    /** Reads the file named by BALANCER_CONFIG; the other environment variables override the file. */
    public static Config load(Map<String, String> env, long zeroNs) throws IOException {
        return decode(readFile(env), env, zeroNs, false);
    }

    /**
     * Reads and checks the file again. It overrides the environment, whose values date from the start of the process. The origin
     * of positions stays the same.
     *
     * @throws ConfigException if the file is invalid, lacks a key that this configuration has, or changes the report fields
     */
    public Config reload(Map<String, String> env) throws IOException {
        Config next = decode(readFile(env), env, deployment.settings().zeroNs(), true);
        for (String key : keys) {
            if (!next.keys.contains(key)) {
                throw new ConfigException("configuration: " + key + " is missing");
            }
        }
        if (!next.deployment.reportFields().equals(deployment.reportFields())) {
            throw new ConfigException("configuration: report.fields can only change by a restart");
        }
        return next;
    }

    /** The deployment that results for this pooler from the {@code settings} of a fleet's policy. */
    public Deployment deploymentUnder(JSONObject policySettings) {
        return SettingsReader.overlay(ownSettings, policySettings, deployment.settings().zeroNs());
    }

    /** The caps that follow from the limits. */
    public Caps caps() {
        return Caps.of(sockets, memoryMb, Footprint.of(System.getProperty("os.arch")));
    }

    /** Whether the other configuration differs in addresses or limits that are read only at start-up. */
    public boolean needsRestartFor(Config next) {
        return !(next.listen.equals(listen) && next.memoryMb == memoryMb && next.sockets == sockets
                && Objects.equals(next.management, management));
    }

    private static String readFile(Map<String, String> env) throws IOException {
        String file = env.get("BALANCER_CONFIG");
        if (file == null) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        if (Files.size(Path.of(file)) > MAX_BYTES) {
            throw new ConfigException("configuration: file larger than " + MAX_BYTES + " bytes");
        }
        return Files.readString(Path.of(file));
    }

    /** {@code zeroNs}: the origin of positions on this process's clock; it replaces any value in the file. */
    static Config decode(String json, Map<String, String> env, long zeroNs, boolean fileOverridesEnv) {
        try {
            JSONObject root = new JSONObject(json);
            JSONObject ownSettings = root.getJSONObject("settings");
            Map<String, String> settings = Flattener.flatten(ownSettings);
            settings.put("family-info.zero-ns", String.valueOf(zeroNs));
            String management = stringValue(root, "management", env, "BALANCER_MANAGEMENT", fileOverridesEnv);
            JSONObject limits = root.getJSONObject("limits");
            Set<String> keys = Flattener.keys(root);
            keys.removeIf(key -> key.startsWith("known.")); // the listed servers may change
            return new Config(stringValue(root, "name", env, "BALANCER_NAME", fileOverridesEnv),
                    address(stringValue(root, "listen", env, "BALANCER_LISTEN", fileOverridesEnv)),
                    address(stringValue(root, "discovery", env, "BALANCER_DISCOVERY", fileOverridesEnv)),
                    alternativeDiscovery(root, env, fileOverridesEnv),
                    management.isEmpty() ? null : address(management),
                    Long.parseUnsignedLong(root.getString("seed"), 16), limits.getInt("memory_mb"),
                    limits.getInt("sockets"), HostList.decode(root.getJSONObject("known"), fileOverridesEnv),
                    new SettingsReader(settings).deployment(), Set.copyOf(keys), ownSettings);
        } catch (JSONException | NumberFormatException e) {
            throw new ConfigException("configuration: " + e.getMessage());
        }
    }

    /**
     * The agent named by the file if the environment names another one: after a reload has moved discovery, a restarted process
     * may still be given the old address by its environment.
     */
    private static InetSocketAddress alternativeDiscovery(JSONObject root, Map<String, String> env, boolean fileOverridesEnv) {
        String fromEnv = env.get("BALANCER_DISCOVERY");
        boolean differs = fromEnv != null && !fileOverridesEnv && !fromEnv.equals(root.optString("discovery", fromEnv));
        return differs ? address(root.getString("discovery")) : null;
    }

    /** The value of a key or its environment variable by their precedence; empty if neither is set. */
    private static String stringValue(JSONObject root, String key, Map<String, String> env, String variable,
            boolean fileOverridesEnv) {
        boolean fromFile = root.has(key) && (fileOverridesEnv || !env.containsKey(variable));
        return fromFile ? root.getString(key) : env.getOrDefault(variable, "");
    }

    /** Parses a numeric IP address and port; host names are rejected, since there is no name service. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]") || port < 1 || port > 65_535) {
                throw new ConfigException("not a numeric address and port: " + text);
            }
            return new InetSocketAddress(host, port);
        } catch (NumberFormatException e) {
            throw new ConfigException("not a numeric address and port: " + text);
        }
    }
}
