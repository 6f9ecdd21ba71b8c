package holdmux.core;

import java.io.IOException;
import java.util.Set;

/** An optional component of a process: a further protocol beside PostgreSQL's, or another service. */
public interface Extension {
    /** Returns the kinds of server that {@link #upstream} serves; empty if there is no upstream. */
    Set<String> kinds();

    /** Creates the upstream; null if there are no kinds. Called once, before the first server list. */
    Upstream upstream(Services services);

    /** Creates the front; null if there is none. Called once. */
    Front front(Services services) throws IOException;

    /** Starts the extension; may block shortly until it is ready. Called once, after set-up and before any front listens. */
    default void start(PolicyControl control) throws IOException, InterruptedException {}
}
