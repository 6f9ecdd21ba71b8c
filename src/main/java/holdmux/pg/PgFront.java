package holdmux.pg;

import holdmux.config.Config;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.Fleet;
import holdmux.core.Workers;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** The PostgreSQL front end: its listener, its clients and its connections to servers. */
public final class PgFront {
    /** Parts in 100 of the descriptors for clients and for servers; the rest is spare for discovery, the log
     * and the virtual machine. */
    private static final int CLIENT_PART = 50, SERVER_PART = 35;
    /** Buffers in use at once on either side, so that slow clients cannot starve the servers' side: 96 of 136 KiB
     * are 13 MiB, and each is held only while a message passes. */
    private static final int MOST_BUFFERS = 96;

    private final Listener listener;

    public PgFront(Config config, Balancer balancer, Fleet fleet, Clock clock, Deadlines deadlines,
            Counters counters, Workers workers, CountDownLatch ready) throws IOException {
        ServerPool servers = new ServerPool(fleet, clock, deadlines, counters, new Buffers(MOST_BUFFERS), config.deployment(),
                config.sockets() * SERVER_PART / 100);
        balancer.connect(servers, servers::closeAllIdle);
        listener = new Listener(config.listen(), new ClientSession.Context(balancer, fleet, config.deployment(),
                servers, new Buffers(MOST_BUFFERS), clock, deadlines, counters, workers, ready,
                new Clients(config.sockets() * CLIENT_PART / 100, clock, deadlines)));
    }

    /** Accepts clients until {@link #stopAccepting}. */
    public void run() {
        listener.run();
    }

    /** The program ends after this: from now on nothing is taken that may need longer. */
    public void endAfter(long afterNs) {
        listener.endAfter(afterNs);
    }

    public void stopAccepting() throws IOException {
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
