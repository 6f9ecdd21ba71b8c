package holdmux.flight;

import holdmux.core.Balancer;
import holdmux.core.Request;

/** Whether the client of one call is still there, and what it asked for, which is nobody's once it has gone. */
final class CallCancellation {
    private final Balancer balancer;
    private Request currentRequest;
    private boolean cancelled;

    CallCancellation(Balancer balancer) {
        this.balancer = balancer;
    }

    /** Notes the request that is under way; false if the client has left. */
    synchronized boolean begin(Request request) {
        currentRequest = request;
        return !cancelled;
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    /** The client has gone away, or was cut off. */
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
