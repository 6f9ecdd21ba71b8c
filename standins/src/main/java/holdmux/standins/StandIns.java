package holdmux.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment on loopback: one group with its servers, a discovery agent, and the configuration for a pooler. */
public final class StandIns implements AutoCloseable {
    /** The server classes under which discovery lists servers of each protocol. */
    public static final String PG_KIND = "pg", FLIGHT_KIND = "flight";
    /** Number of the group that the started servers belong to. */
    public static final int GROUP = 1;

    private static final int FIRST_PORT = 20_000, PORT_COUNT = 10_000;
    private static int nextPort = (int) (ProcessHandle.current().pid() * 97 % PORT_COUNT);

    /** Load reports state positions in seconds from an epoch this long before the start, in single precision. */
    private static final long EPOCH_AGE_MS = 60_000;

    private final long epochNs = (System.currentTimeMillis() - EPOCH_AGE_MS) * 1_000_000L;
    private final QuoteGroup group = new QuoteGroup();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, String> kinds = new LinkedHashMap<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final ServerList serverList = new ServerList();
    private final DiscoveryAgent agent = new DiscoveryAgent(serverList);

    /** Starts a deployment without servers: only the discovery agent listens. */
    public StandIns() throws IOException {
        resources.add(agent);
    }

    /** Returns the data, members and planned faults of the group. */
    public QuoteGroup group() {
        return group;
    }

    /** Returns the discovery agent that the configuration names. */
    public DiscoveryAgent agent() {
        return agent;
    }

    /** Starts another discovery agent, as on another machine, that serves the same list. */
    public synchronized DiscoveryAgent addAgent() throws IOException {
        DiscoveryAgent added = new DiscoveryAgent(serverList);
        resources.add(added);
        return added;
    }

    /** Starts a server of a kind and lists it as up; the first server started is the primary. */
    public void start(String name, String kind) throws IOException {
        QuoteGroup.Member member = group.add(name);
        if (kind.equals(FLIGHT_KIND)) {
            FlightQuoteServer server = new FlightQuoteServer(group, member);
            resources.add(server);
            addresses.put(name, server.address());
        } else {
            PgQuoteServer server = new PgQuoteServer(group, member);
            resources.add(server);
            addresses.put(name, server.address());
        }
        kinds.put(name, kind);
        setHealth(name, "up");
    }

    /** Publishes the health of a server: {@code up}, {@code draining} or {@code removed}. */
    public void setHealth(String name, String health) {
        publish(name, name, GROUP, health);
    }

    /** Lists another server name in a group, backed by a server already started: makes a large fleet without more server processes. */
    public void addAlias(String name, String backingServer, int group, String health) {
        publish(name, backingServer, group, health);
    }

    private void publish(String name, String backingServer, int groupNumber, String health) {
        serverList.put(new ServerList.Entry(name, addresses.get(backingServer).getPort(), kinds.get(backingServer), groupNumber, health,
                group.isPrimary(group.member(backingServer))));
    }

    /** Lists a server at another address, as when its machine is replaced. */
    public void setAddress(String name, InetSocketAddress address) {
        addresses.put(name, address);
        setHealth(name, "up");
    }

    /** Returns the address under which a server is listed. */
    public InetSocketAddress address(String name) {
        return addresses.get(name);
    }

    /**
     * Returns a port that nothing listens on, never the same one twice, since poolers can share a port (SO_REUSEPORT). The
     * range lies below the ephemeral ports, from which an outgoing connection could take the port.
     */
    public static synchronized int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + nextPort++ % PORT_COUNT;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (java.net.BindException e) {
                // in use: try the next one
            }
        }
    }

    /** Returns the JSON configuration of a pooler in this deployment. */
    public String config(int port, int memoryMb, int sockets) {
        String classes = requestClassJson("rate-lookup", "idempotent", 300, 1_200, 1) + ","
                + requestClassJson("my-quotes", "idempotent", 300, 1_000, 1)
                + "," + requestClassJson("history", "idempotent", 500, 1_500, 2) + ","
                + requestClassJson("quote-check", "idempotent", 600, 2_000, 1)
                + "," + requestClassJson("save-quote", "at_most_once", 1_500, 5_000, 3);
        return "{\"name\":\"demo\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + agent.address().getPort() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMb + ",\"sockets\":" + sockets + "},\"known\":" + agent.fullList() + ",\"settings\":{"
                + "\"allowed\":{\"cancel\":true,\"conn-idle-ns\":15000000000,\"connect-timeout-ns\":250000000,"
                + "\"max-attempts\":6,\"max-retry-after-ns\":500000000,\"may-duplicate\":true,\"peers\":false,"
                + "\"probes\":true,\"retry-after\":true},\"balancers\":1,\"discovery\":\"automatic\","
                + "\"family-info\":{\"class-bound-ns\":[300000000,0,0,0,0],\"consistency\":[\"bounded\",\"session\",\"any\","
                + "\"fresh\",\"write\"],\"guards\":\"off\",\"shows-role\":\"late\",\"token-mode\":\"remembered\","
                + "\"wait-ns\":0,\"zero-ns\":" + epochNs + "},\"guarantees\":{\"answer-slack-ns\":20000000,\"cold-share\":0.15,"
                + "\"drain-grace-ns\":2000000000,\"fall-ns\":1500000000,\"overload-factor\":2.0,"
                + "\"ramp-time-ns\":13000000000},\"me\":0,\"over-share-worth\":0.1,\"report\":{\"fields\":[\"x0\",\"x1\","
                + "\"outstanding\",\"utilization\"],\"how\":\"inline\"},\"request-classes\":[" + classes + "],\"skus\":[\""
                + PG_KIND + "\",\"" + FLIGHT_KIND + "\"],\"step-ns\":5000000,\"tenants\":[],\"zone\":0,\"zones\":[\"north\"]}}";
    }

    private static String requestClassJson(String name, String effect, long onTimeMs, long deadlineMs, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"on-time-ns\":" + onTimeMs * 1_000_000L
                + ",\"deadline-ns\":" + deadlineMs * 1_000_000L + ",\"worth\":" + worth + ".0,\"late-worth\":0.2}";
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }
}
