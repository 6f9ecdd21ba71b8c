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

/** One pooler of the soak: its process, its discovery agent, and two relays to that agent between which it can be moved. */
final class SoakPooler implements AutoCloseable {
    private static final int MAX_STATS_RETRIES = 50;
    private static final long STATS_RETRY_DELAY_MS = 100;
    /** No SIGHUP is sent before a process listens, nor in its first second: it may not handle the signal yet. */
    private static final long MIN_AGE_AT_RELOAD_MS = 1_000;

    final String name;
    private final PoolerProcess process;
    private final JSONObject config;
    /** How long connections to the old relay stay open after a move, as those to a decommissioned agent would. */
    private static final long OLD_RELAY_CLOSE_DELAY_MS = 1_500;

    private final DiscoveryAgent agent;
    private final FaultRelay[] discoveryRelays = new FaultRelay[2];
    private int activeRelay;
    /** Held while the process starts, so that it is not reloaded meanwhile. */
    private final Object startLock = new Object();
    private long startedAtNs;
    private volatile int incarnation;
    private volatile int kills;
    private volatile int crowds;
    private volatile boolean killed, terminating, crowded;

    SoakPooler(String name, int port, Path folder, String config, DiscoveryAgent agent) throws IOException {
        this.name = name;
        this.config = new JSONObject(config);
        this.agent = agent;
        discoveryRelays[0] = new FaultRelay(agent.address());
        discoveryRelays[1] = new FaultRelay(agent.address());
        process = new PoolerProcess(name, port, folder.resolve(name), selectRelay(0), List.of());
    }

    private String selectRelay(int index) {
        activeRelay = index;
        return config.put("discovery", "127.0.0.1:" + discoveryRelays[index].address().getPort()).toString();
    }

    PoolerProcess process() {
        return process;
    }

    int port() {
        return process.port;
    }

    /** Returns the discovery agent of this pooler. */
    DiscoveryAgent agent() {
        return agent;
    }

    /** Returns the relay to discovery that the current configuration names. */
    synchronized FaultRelay discoveryRelay() {
        return discoveryRelays[activeRelay];
    }

    /** Returns how often the process was started; read-your-writes holds only within one incarnation. */
    int incarnation() {
        return incarnation;
    }

    /** Returns how often the process was killed by SIGKILL without SIGTERM before. */
    int kills() {
        return kills;
    }

    /** Returns whether the process has been sent SIGTERM. */
    boolean isTerminating() {
        return terminating;
    }

    /** Returns whether idle clients use up its file descriptors, in which case it may close idle connections. */
    boolean isCrowded() {
        return crowded;
    }

    void setCrowded(boolean value) {
        crowds += value ? 1 : 0;
        crowded = value;
    }

    /** Returns how many crowds of idle clients there have been. */
    int crowds() {
        return crowds;
    }

    /** Returns whether the process is down after SIGKILL without SIGTERM before. */
    boolean isKilled() {
        return killed;
    }

    /** Starts the process and waits until it listens. */
    void start() throws IOException, InterruptedException {
        synchronized (startLock) {
            startedAtNs = System.nanoTime();
            process.start();
            process.awaitListening();
        }
        incarnation++;
        killed = false;
        terminating = false;
    }

    /** Kills the process with SIGKILL. */
    void kill() {
        killed = true;
        kills++;
        process.kill();
    }

    /** Sends SIGTERM, and SIGKILL if the process is still alive after this time; returns whether it exited by itself. */
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

    /** Moves discovery to the other relay by SIGHUP; the old relay resets its connections a little later. */
    void moveDiscovery() throws IOException, InterruptedException {
        FaultRelay oldRelay = discoveryRelay();
        reloadWithOtherRelay();
        Thread.sleep(OLD_RELAY_CLOSE_DELAY_MS);
        if (oldRelay != discoveryRelay()) {
            oldRelay.setMode(FaultRelay.Mode.RESET);
        }
    }

    /** Writes a configuration that names the other relay and sends SIGHUP. */
    synchronized void reloadWithOtherRelay() throws IOException, InterruptedException {
        discoveryRelays[1 - activeRelay].setMode(FaultRelay.Mode.PASS);
        synchronized (startLock) {
            long ageMs = (System.nanoTime() - startedAtNs) / 1_000_000;
            Thread.sleep(Math.max(0, MIN_AGE_AT_RELOAD_MS - ageMs));
            process.configure(selectRelay(1 - activeRelay));
            process.signal("HUP");
        }
    }

    /** Reads the counters by {@code SHOW STATS}, with retries while connections fail. */
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
        discoveryRelays[0].close();
        discoveryRelays[1].close();
    }
}
