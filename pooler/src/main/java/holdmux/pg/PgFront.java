package holdmux.pg;

import holdmux.config.Caps;
import holdmux.config.Config;
import holdmux.config.Deployment;
import holdmux.core.Front;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.core.Workers;
import holdmux.statement.Buffers;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** The PostgreSQL front: its listener and its clients. */
public final class PgFront implements Front {
    /** Threads beyond the cap of clients: those that have just left, and are not done yet. */
    private static final int CLOSING = 16;

    private final Listener listener;
    private final Clients clients;
    private final Deployment deployment;
    private volatile boolean serving;

    public PgFront(Services services, CountDownLatch ready) throws IOException {
        Config config = services.config();
        Caps caps = config.caps();
        deployment = config.deployment();
        clients = new Clients(caps.clients(), services.shared(), services.clock(), services.deadlines());
        listener = new Listener(config.listen(), new ClientSession.Context(services.balancer(), services.admission(),
                new Buffers(caps.queryBytes(), Statement.MOST, services.shared()::present), services.clock(),
                services.deadlines(), services.counters(), services.workers(), ready, clients),
                new Workers(caps.clients() + CLOSING));
    }

    @Override
    public void listen() throws IOException {
        listener.listen();
    }

    /** Makes the code warm that the first requests need. */
    public void warmUp() {
        try {
            Rehearsal.run(deployment);
        } catch (ProtocolException | StatementException | RuntimeException e) {
            Log.error("the rehearsal failed; the first requests will be slow", e);
        }
    }

    /** Accepts clients until {@link #stopAccepting}. */
    public void run() throws IOException {
        serving = true;
        listener.run();
    }

    @Override
    public boolean isServing() {
        return serving;
    }

    @Override
    public void sendAway(boolean yes) {
        clients.away(yes);
    }

    @Override
    public void endAfter(long afterNs) {
        listener.endAfter(afterNs);
    }

    @Override
    public void handOver() {
        clients.handOver();
    }

    @Override
    public void stopAccepting() throws InterruptedException {
        serving = false;
        listener.stopAccepting();
    }

    @Override
    public void closeWhenIdle() {
        listener.closeWhenIdle();
    }

    @Override
    public int openClients() {
        return listener.open();
    }
}
