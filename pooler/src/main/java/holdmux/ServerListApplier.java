package holdmux;

import holdmux.config.HostList;
import holdmux.core.Clock;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.discovery.ListListener;
import java.util.concurrent.CountDownLatch;

/**
 * Puts server lists from discovery in force. Where lists are pushed, a process must comply from its start with everything
 * the agent knows, so the configured list is not used before discovery has confirmed it, and requests are refused until
 * then. Where discovery answers only on request, the configured list is used until the first answer arrives.
 */
final class ServerListApplier implements ListListener {
    /**
     * How long readiness waits for discovery. Where lists are pushed it waits as long as the start allows: a restarted process
     * has to be ready within 6 s, of which starting the virtual machine takes one or two on a busy core.
     */
    private static final long PUSH_READY_WAIT_MS = 4_000, SUBSCRIBE_READY_WAIT_MS = 1_000;

    private final Services services;
    private final CountDownLatch ready;
    private final boolean mustSubscribe;

    /** {@code ready} is counted down once discovery has confirmed the list or the wait for it has elapsed. */
    ServerListApplier(Services services, CountDownLatch ready) {
        this.services = services;
        this.ready = ready;
        mustSubscribe = services.config().deployment().settings().mustSubscribe();
    }

    /** Puts the configured list in force until discovery has answered. Must be called before any request is taken. */
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
                    + (mustSubscribe ? "requests are served by the list of the configuration" : "requests are refused until it has"));
        }
        ready.countDown();
    }
}
