package holdmux.flight;

import holdmux.core.Balancer;
import holdmux.core.Request;

/** Tracks whether the client has cancelled a call, and notifies the balancer so that the call's request can be abandoned. */
final class CallCancellation {
    private final Balancer balancer;
    private Request currentRequest;
    private boolean cancelled;

    CallCancellation(Balancer balancer) {
        this.balancer = balancer;
    }

    /** Registers the call's request; false if the call is already cancelled. */
    synchronized boolean begin(Request request) {
        currentRequest = request;
        return !cancelled;
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    /** Marks the call as cancelled, because the client left or was disconnected. */
    void cancel() {
        Request cancelledRequest;
        synchronized (this) {
            cancelled = true;
            cancelledRequest = currentRequest;
        }
        if (cancelledRequest != null) {
            balancer.clientLeft(cancelledRequest);
        }
    }
}
