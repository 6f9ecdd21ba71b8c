package holdmux.pg;

import holdmux.config.Caps;
import holdmux.config.Config;
import holdmux.config.Deployment;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.Fleet;
import holdmux.core.Log;
import holdmux.core.Shared;
import holdmux.core.Workers;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** The PostgreSQL front end: its listener, its clients and its connections to servers. */
public final class PgFront {
    /** Threads beyond the cap of clients: those that have just left, and are not done yet. */
    private static final int CLOSING = 16;

    private final Listener listener;
    private final ServerPool servers;
    private final Clients clients;
    private final Deployment deployment;
    private volatile boolean serving;

    public PgFront(Config config, Balancer balancer, Fleet fleet, Clock clock, Deadlines deadlines,
            Counters counters, Workers workers, Shared shared, CountDownLatch ready) throws IOException {
        // a set of buffers for each side, so that slow clients cannot starve the servers' side
        Caps caps = config.caps();
        deployment = config.deployment();
        servers = new ServerPool(fleet, clock, deadlines, counters, new Buffers(caps.answerBytes(), Buffers.SIZE, shared::present),
                balancer::deployment, caps.servers(), shared);
        balancer.connect(servers, servers::closeAllIdle);
        clients = new Clients(caps.clients(), shared, clock, deadlines);
        listener = new Listener(config.listen(), new ClientSession.Context(balancer, fleet,
                servers, new Buffers(caps.queryBytes(), Statement.MOST, shared::present), clock, deadlines, counters, workers, ready,
                clients), new Workers(caps.clients() + CLOSING));
    }

    /** From now on who connects waits in the kernel for {@link #run}. */
    public void listen() throws IOException {
        listener.listen();
    }

    /** Makes the code warm that the first requests need. */
    public void warmUp() {
        try {
            Rehearsal.run(deployment);
        } catch (ProtocolException | RuntimeException e) {
            Log.error("the rehearsal failed; the first requests will be slow", e);
        }
    }

    /** Accepts clients until {@link #stopAccepting}. */
    public void run() throws IOException {
        serving = true;
        listener.run();
    }

    /** Whether clients are taken in. */
    public boolean isServing() {
        return serving;
    }

    /** Sends clients away, each as soon as nothing is owed to it, or takes them in again. */
    public void sendAway(boolean yes) {
        clients.away(yes);
    }

    /** The program ends after this: from now on nothing is taken that may need longer. */
    public void endAfter(long afterNs) {
        listener.endAfter(afterNs);
    }

    /** Connections held to servers. */
    public int serverConnections() {
        return servers.held();
    }

    /** Ends each client's connection behind its next answer: another process takes its client. */
    public void handOver() {
        clients.handOver();
    }

    /** Returns once whoever had connected is taken in and nobody else can. */
    public void stopAccepting() throws InterruptedException {
        serving = false;
        listener.stopAccepting();
    }

    /** Closes each client's connection once nothing is owed on it. */
    public void closeWhenIdle() {
        listener.closeWhenIdle();
    }

    public int openClients() {
        return listener.open();
    }
}
