package holdmux.pg;

import holdmux.config.Caps;
import holdmux.config.Config;
import holdmux.config.Deployment;
import holdmux.core.Front;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.core.Workers;
import holdmux.statement.QueryBuffers;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** The PostgreSQL front: its listener and its client sessions. */
public final class PgFront implements Front {
    /** Threads above the cap of clients, for those that have disconnected but whose thread has not ended yet. */
    private static final int CLOSING_CLIENT_THREADS = 16;

    private final Listener listener;
    private final ClientRegistry clients;
    private final Deployment deployment;
    private volatile boolean serving;

    /** Creates the front; {@code ready} is released once requests can be served, which readiness checks wait for. */
    public PgFront(Services services, CountDownLatch ready) throws IOException {
        Config config = services.config();
        Caps caps = config.caps();
        deployment = config.deployment();
        clients = new ClientRegistry(caps.clients(), services.otherProcess(), services.clock(), services.deadlines());
        QueryBuffers buffers = new QueryBuffers(caps.queryBytes(), Statement.MAX_BYTES, services.otherProcess()::present);
        CommandParser parser = new CommandParser(services.admission(), services.balancer().ids(), buffers, services.counters());
        listener = new Listener(config.listen(), new ClientSession.Context(services.balancer(), services.admission(), parser,
                buffers, services.clock(), services.deadlines(), services.counters(), services.workers(), ready, clients),
                new Workers(caps.clients() + CLOSING_CLIENT_THREADS));
    }

    @Override
    public void listen() throws IOException {
        listener.listen();
    }

    /** Warms up the code that the first requests need; a failure is logged only. */
    public void warmUp() {
        try {
            JitWarmUp.run(deployment);
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
    public void setEvacuating(boolean evacuating) {
        clients.setEvacuating(evacuating);
    }

    @Override
    public void announceShutdown(long delayNs) {
        listener.announceShutdown(delayNs);
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

    /** The number of clients whose connections are idle. */
    int idleClients() {
        return clients.idle();
    }

    @Override
    public int openClients() {
        return listener.openClients();
    }
}
