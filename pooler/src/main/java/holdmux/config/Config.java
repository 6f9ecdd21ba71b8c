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
 * All that the pooler is told at its start; {@code memoryMb} and {@code sockets} are its limits, {@code management} is
 * null where the operators have no address of their own, {@code otherDiscovery} is what the file names where the environment
 * has the last word and names another agent, else null, {@code keys} are all that the file told and {@code ownSettings}
 * its settings as they stand there.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress alternativeDiscovery,
        InetSocketAddress management, long seed, int memoryMb, int sockets, HostList cachedList, Deployment deployment, Set<String> keys,
        JSONObject ownSettings) {
    /** 1,024 servers with indentation and the longest names take 1.1 MiB, and a policy's settings some KiB. */
    private static final long MAX_BYTES = 4 << 20;

    /** Reads the file that BALANCER_CONFIG names; the other variables, where set, have the last word. */
    public static Config load(Map<String, String> env, long zeroNs) throws IOException {
        return decode(readFile(env), env, zeroNs, false);
    }

    /**
     * The file as it is now, read whole and checked. What it names counts over the environment, which tells how
     * things were at the start; positions go on counting from where they did.
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

    /** What a fleet's policy, the {@code settings} of one, means for this pooler. */
    public Deployment deploymentUnder(JSONObject policySettings) {
        return SettingsReader.overlay(ownSettings, policySettings, deployment.settings().zeroNs());
    }

    public Caps caps() {
        return Caps.of(sockets, memoryMb);
    }

    /** Addresses and limits, which the program takes up at its start. */
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
            throw new ConfigException("configuration: over " + MAX_BYTES + " bytes");
        }
        return Files.readString(Path.of(file));
    }

    /** {@code zeroNs}: where positions count from on this program's clock; the simulator's own means nothing here. */
    static Config decode(String json, Map<String, String> env, long zeroNs, boolean fileOverridesEnv) {
        try {
            JSONObject root = new JSONObject(json);
            JSONObject ownSettings = root.getJSONObject("settings");
            Map<String, String> settings = Flattener.flatten(ownSettings);
            settings.put("family-info.zero-ns", String.valueOf(zeroNs));
            String management = stringValue(root, "management", env, "BALANCER_MANAGEMENT", fileOverridesEnv);
            JSONObject limits = root.getJSONObject("limits");
            Set<String> keys = Flattener.keys(root);
            keys.removeIf(key -> key.startsWith("known.")); // hosts come and go
            return new Config(stringValue(root, "name", env, "BALANCER_NAME", fileOverridesEnv),
                    address(stringValue(root, "listen", env, "BALANCER_LISTEN", fileOverridesEnv)),
                    address(stringValue(root, "discovery", env, "BALANCER_DISCOVERY", fileOverridesEnv)), alternativeDiscovery(root, env, fileOverridesEnv),
                    management.isEmpty() ? null : address(management),
                    Long.parseUnsignedLong(root.getString("seed"), 16), limits.getInt("memory_mb"),
                    limits.getInt("sockets"), HostList.decode(root.getJSONObject("known"), fileOverridesEnv),
                    new SettingsReader(settings).deployment(), Set.copyOf(keys), ownSettings);
        } catch (JSONException | NumberFormatException e) {
            throw new ConfigException("configuration: " + e.getMessage());
        }
    }

    /**
     * The agent that the file names beside the environment's: a process that is started again after its configuration has
     * moved discovery may still be given the address of before.
     */
    private static InetSocketAddress alternativeDiscovery(JSONObject root, Map<String, String> env, boolean fileOverridesEnv) {
        String fromEnv = env.get("BALANCER_DISCOVERY");
        boolean differs = fromEnv != null && !fileOverridesEnv && !fromEnv.equals(root.optString("discovery", fromEnv));
        return differs ? address(root.getString("discovery")) : null;
    }

    private static String stringValue(JSONObject root, String key, Map<String, String> env, String variable,
            boolean fileOverridesEnv) {
        boolean fromFile = root.has(key) && (fileOverridesEnv || !env.containsKey(variable));
        return fromFile ? root.getString(key) : env.getOrDefault(variable, "");
    }

    /** A numeric address and a port; there is no name service to ask. */
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
