package holdmux;

import holdmux.config.HostList;
import holdmux.core.Clock;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.discovery.ListListener;
import java.util.concurrent.CountDownLatch;

/**
 * Brings lists of servers into force. Where lists are pushed, all that the agent has counts as told from a process's first
 * moment, so nothing is sent by the list of the configuration before discovery has confirmed it: until then requests are
 * refused. Where discovery tells only when asked, that list serves until an answer comes.
 */
final class ServerListApplier implements ListListener {
    /**
     * How long readiness waits for discovery. Where lists are pushed it is as long as the start leaves: a restarted process
     * has to be ready within 6 s, of which the virtual machine takes one or two on a busy core.
     */
    private static final long PUSH_READY_WAIT_MS = 4_000, SUBSCRIBE_READY_WAIT_MS = 1_000;

    private final Services services;
    private final CountDownLatch ready;
    private final boolean mustSubscribe;
    /** {@code ready} is opened once discovery has confirmed the list or was waited for long enough. */
    ServerListApplier(Services services, CountDownLatch ready) {
        this.services = services;
        this.ready = ready;
        mustSubscribe = services.config().deployment().settings().mustSubscribe();
    }

    /** Before any request: what is served by until discovery has answered. */
    void start() {
        if (!mustSubscribe) {
            distrusted();
        }
        services.balancer().listChanged(services.config().cachedList(), true);
        long waitMs = mustSubscribe ? SUBSCRIBE_READY_WAIT_MS : PUSH_READY_WAIT_MS;
        services.deadlines().after(waitMs * Clock.MS, () -> onReadyWaitElapsed(waitMs));
    }

    @Override
    public void changed(HostList list) {
        services.balancer().listChanged(list, false);
    }

    @Override
    public void confirmed() {
        services.balancer().listConfirmed();
        services.admission().listConfirmed();
        ready.countDown();
    }

    @Override
    public void distrusted() {
        services.admission().requireListConfirmation();
        services.balancer().requireListConfirmation();
    }

    private void onReadyWaitElapsed(long waitMs) {
        if (ready.getCount() > 0) {
            Log.warn("discovery has not confirmed its list within " + waitMs + " ms: "
                    + (mustSubscribe ? "the list of the configuration is served from" : "requests are refused until it has"));
        }
        ready.countDown();
    }
}
