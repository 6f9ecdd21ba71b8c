package holdmux.flight;

import holdmux.core.Balancer;
import holdmux.core.Request;

/** Whether the client of one call is still there, and what it asked for, which is nobody's once it has gone. */
final class Presence {
    private final Balancer balancer;
    private Request current;
    private boolean gone;

    Presence(Balancer balancer) {
        this.balancer = balancer;
    }

    /** Notes the request that is under way; false if the client has left. */
    synchronized boolean begins(Request request) {
        current = request;
        return !gone;
    }

    synchronized boolean isGone() {
        return gone;
    }

    /** The client has gone away, or was cut off. */
    void leave() {
        Request left;
        synchronized (this) {
            gone = true;
            left = current;
        }
        if (left != null) {
            balancer.left(left);
        }
    }
}
