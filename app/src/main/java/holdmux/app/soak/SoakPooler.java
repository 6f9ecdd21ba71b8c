package holdmux.app.soak;

import holdmux.app.demo.PgClient;
import holdmux.app.drill.PoolerProcess;
import holdmux.standins.DiscoveryAgent;
import holdmux.standins.FaultRelay;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;

/** One pooler of the soak: its process, two ways to discovery of its own, and how often it has started. */
final class SoakPooler implements AutoCloseable {
    private static final int MAX_STATS_RETRIES = 50;
    private static final long STATS_RETRY_DELAY_MS = 100;

    final String name;
    private final PoolerProcess process;
    private final JSONObject config;
    private static final long OLD_RELAY_CLOSE_DELAY_MS = 1_500;

    private final DiscoveryAgent agent;
    private final FaultRelay[] discoveryRelay = new FaultRelay[2];
    private int activeRelay;
    private volatile int incarnation;
    private volatile int kills;
    private volatile boolean killed, terminating, crowded;

    SoakPooler(String name, int port, Path folder, String config, DiscoveryAgent agent) throws IOException {
        this.name = name;
        this.config = new JSONObject(config);
        this.agent = agent;
        discoveryRelay[0] = new FaultRelay(agent.address());
        discoveryRelay[1] = new FaultRelay(agent.address());
        process = new PoolerProcess(name, port, folder.resolve(name), selectRelay(0), List.of());
    }

    private String selectRelay(int index) {
        activeRelay = index;
        return config.put("discovery", "127.0.0.1:" + discoveryRelay[index].address().getPort()).toString();
    }

    PoolerProcess process() {
        return process;
    }

    int port() {
        return process.port;
    }

    /** Discovery's agent on its machine. */
    DiscoveryAgent agent() {
        return agent;
    }

    /** The way to discovery that it follows now. */
    synchronized FaultRelay discoveryRelay() {
        return discoveryRelay[activeRelay];
    }

    /** How often it was started: what a session wrote counts within one start only. */
    int incarnation() {
        return incarnation;
    }

    /** How often SIGKILL ended it, without SIGTERM before. */
    int kills() {
        return kills;
    }

    /** Whether SIGTERM has told it to end. */
    boolean isTerminating() {
        return terminating;
    }

    /** Whether idle clients fill its descriptors: resting connections may be closed then. */
    boolean isCrowded() {
        return crowded;
    }

    void crowded(boolean yes) {
        crowded = yes;
    }

    /** Whether SIGKILL ended it, without SIGTERM before. */
    boolean isKilled() {
        return killed;
    }

    void start() throws IOException, InterruptedException {
        process.start();
        process.awaitListening();
        incarnation++;
        killed = false;
        terminating = false;
    }

    /** SIGKILL. */
    void kill() {
        killed = true;
        kills++;
        process.kill();
    }

    /** SIGTERM, and SIGKILL after this time if it is still there; whether it ended by itself. */
    boolean terminate(long killAfterMs) throws IOException, InterruptedException {
        terminating = true;
        process.signal("TERM");
        long deadlineNs = System.nanoTime() + killAfterMs * 1_000_000;
        while (process.isAlive() && System.nanoTime() < deadlineNs) {
            Thread.sleep(5);
        }
        boolean exited = !process.isAlive();
        process.kill();
        return exited;
    }

    /** A new configuration: the other way to discovery; SIGHUP. The old way takes no connection and closes the open ones later. */
    void moveDiscovery() throws IOException, InterruptedException {
        FaultRelay oldRelay = discoveryRelay();
        reloadWithOtherRelay();
        Thread.sleep(OLD_RELAY_CLOSE_DELAY_MS);
        if (oldRelay != discoveryRelay()) {
            oldRelay.setMode(FaultRelay.Mode.RESET);
        }
    }

    /** Names the other way to discovery and tells the process by SIGHUP. */
    synchronized void reloadWithOtherRelay() throws IOException, InterruptedException {
        discoveryRelay[1 - activeRelay].setMode(FaultRelay.Mode.PASS);
        process.configure(selectRelay(1 - activeRelay));
        process.signal("HUP");
    }

    /** Its counters. */
    Map<String, String> counters() throws IOException, InterruptedException {
        Map<String, String> counters = new HashMap<>();
        for (int i = 0; counters.isEmpty(); i++) {
            try (PgClient client = process.connect()) {
                client.query("SHOW STATS", counters);
            } catch (IOException e) {
                if (i == MAX_STATS_RETRIES) {
                    throw e;
                }
                Thread.sleep(STATS_RETRY_DELAY_MS);
            }
        }
        return counters;
    }

    @Override
    public void close() throws IOException {
        process.kill();
        discoveryRelay[0].close();
        discoveryRelay[1].close();
    }
}
