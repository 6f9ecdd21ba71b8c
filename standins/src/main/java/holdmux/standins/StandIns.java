package holdmux.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A whole small deployment on loopback: one group, its servers, discovery, and the configuration of a pooler there. */
public final class StandIns implements AutoCloseable {
    /** The kinds under which discovery lists servers of each protocol. */
    public static final String PG_KIND = "pg", FLIGHT_KIND = "flight";
    public static final int GROUP = 1;

    private static final int FIRST_PORT = 20_000, PORTS = 10_000;
    private static int nextPort = (int) (ProcessHandle.current().pid() * 97 % PORTS);

    private final QuoteGroup group = new QuoteGroup();
    private final Map<String, InetSocketAddress> dials = new LinkedHashMap<>();
    private final Map<String, String> kinds = new LinkedHashMap<>();
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final ServerList servers = new ServerList();
    private final DiscoveryAgent agent = new DiscoveryAgent(servers);

    public StandIns() throws IOException {
        parts.add(agent);
    }

    public QuoteGroup group() {
        return group;
    }

    /** The agent that the configuration names. */
    public DiscoveryAgent agent() {
        return agent;
    }

    /** A further agent, as of another machine, that tells the same list. */
    public synchronized DiscoveryAgent anotherAgent() throws IOException {
        DiscoveryAgent another = new DiscoveryAgent(servers);
        parts.add(another);
        return another;
    }

    /** Starts a server of this kind; the first one is the primary. */
    public void start(String name, String kind) throws IOException {
        QuoteGroup.Member member = group.add(name);
        if (kind.equals(FLIGHT_KIND)) {
            FlightQuoteServer server = new FlightQuoteServer(group, member);
            parts.add(server);
            dials.put(name, server.address());
        } else {
            PgQuoteServer server = new PgQuoteServer(group, member);
            parts.add(server);
            dials.put(name, server.address());
        }
        kinds.put(name, kind);
        list(name, "up");
    }

    /** Lists a server with this health: up, draining or removed. */
    public void list(String name, String health) {
        put(name, name, GROUP, health);
    }

    /** Lists a further server of a group, played by one that was started: for fleets of a size that needs no more data. */
    public void also(String name, String as, int group, String health) {
        put(name, as, group, health);
    }

    private void put(String name, String as, int inGroup, String health) {
        servers.put(new ServerList.Entry(name, dials.get(as).getPort(), kinds.get(as), inGroup, health,
                group.leads(group.member(as))));
    }

    /** Lists a server at another address, as when a machine is replaced. */
    public void redirect(String name, InetSocketAddress address) {
        dials.put(name, address);
        list(name, "up");
    }

    /** Where a server listens. */
    public InetSocketAddress address(String name) {
        return dials.get(name);
    }

    /**
     * A port that nobody listens on, and never the same one twice: listeners of ours may share one. Below those that the
     * system gives to outgoing connections, which could take it.
     */
    public static synchronized int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + nextPort++ % PORTS;
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (java.net.BindException e) {
                // another one
            }
        }
    }

    /** The configuration of a pooler of this deployment, in the platform's form. */
    public String config(int port, int memoryMb, int sockets) {
        String classes = type("rate-lookup", "idempotent", 300, 1_200, 1) + "," + type("my-quotes", "idempotent", 300, 1_000, 1)
                + "," + type("history", "idempotent", 500, 1_500, 2) + "," + type("quote-check", "idempotent", 600, 2_000, 1)
                + "," + type("save-quote", "at_most_once", 1_500, 5_000, 3);
        return "{\"name\":\"demo\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + agent.address().getPort() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMb + ",\"sockets\":" + sockets + "},\"known\":" + agent.whole() + ",\"settings\":{"
                + "\"allowed\":{\"cancel\":true,\"conn-idle-ns\":15000000000,\"connect-timeout-ns\":250000000,"
                + "\"max-attempts\":6,\"max-retry-after-ns\":500000000,\"may-duplicate\":true,\"peers\":false,"
                + "\"probes\":true,\"retry-after\":true},\"balancers\":1,\"discovery\":\"automatic\","
                + "\"family-info\":{\"class-bound-ns\":[300000000,0,0,0,0],\"consistency\":[\"bounded\",\"session\",\"any\","
                + "\"fresh\",\"write\"],\"guards\":\"off\",\"shows-role\":\"late\",\"token-mode\":\"remembered\","
                + "\"wait-ns\":0,\"zero-ns\":5},\"guarantees\":{\"answer-slack-ns\":20000000,\"cold-share\":0.15,"
                + "\"drain-grace-ns\":2000000000,\"fall-ns\":1500000000,\"overload-factor\":2.0,"
                + "\"ramp-time-ns\":13000000000},\"me\":0,\"over-share-worth\":0.1,\"report\":{\"fields\":[\"x0\",\"x1\","
                + "\"outstanding\",\"utilization\"],\"how\":\"inline\"},\"request-classes\":[" + classes + "],\"skus\":[\""
                + PG_KIND + "\",\"" + FLIGHT_KIND + "\"],\"step-ns\":5000000,\"tenants\":[],\"zone\":0,\"zones\":[\"north\"]}}";
    }

    private static String type(String name, String effect, long wantedMs, long deadlineMs, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"on-time-ns\":" + wantedMs * 1_000_000L
                + ",\"deadline-ns\":" + deadlineMs * 1_000_000L + ",\"worth\":" + worth + ".0,\"late-worth\":0.2}";
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable part : parts) {
            part.close();
        }
    }
}
