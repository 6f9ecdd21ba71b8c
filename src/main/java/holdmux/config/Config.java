package holdmux.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.json.JSONException;
import org.json.JSONObject;

/** All that the pooler is told at its start; {@code memoryMb} and {@code sockets} are its limits. */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int memoryMb,
        int sockets, HostList known, Deployment deployment) {

    /** Reads the file that BALANCER_CONFIG names; the other variables, where set, have the last word. */
    public static Config load(Map<String, String> env, long zeroNs) throws IOException {
        String file = env.get("BALANCER_CONFIG");
        if (file == null) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        return decode(Files.readString(Path.of(file)), env, zeroNs);
    }

    /** {@code zeroNs}: where positions count from on this program's clock; the simulator's own means nothing here. */
    static Config decode(String json, Map<String, String> env, long zeroNs) {
        try {
            JSONObject all = new JSONObject(json);
            Map<String, String> settings = Flattener.flatten(all.getJSONObject("settings"));
            settings.put("family-info.zero-ns", String.valueOf(zeroNs));
            JSONObject limits = all.getJSONObject("limits");
            return new Config(env.getOrDefault("BALANCER_NAME", all.optString("name")),
                    address(env.getOrDefault("BALANCER_LISTEN", all.optString("listen"))),
                    address(env.getOrDefault("BALANCER_DISCOVERY", all.optString("discovery"))),
                    Long.parseUnsignedLong(all.getString("seed"), 16), limits.getInt("memory_mb"),
                    limits.getInt("sockets"), HostList.decode(all.getJSONObject("known")),
                    new SettingsReader(settings).deployment());
        } catch (JSONException | NumberFormatException e) {
            throw new ConfigException("configuration: " + e.getMessage());
        }
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
