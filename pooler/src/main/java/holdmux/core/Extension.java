package holdmux.core;

import java.io.IOException;
import java.util.Set;

/** A further protocol or duty that a process is started with, beside PostgreSQL's. */
public interface Extension {
    /** The kinds of server that {@link #upstream} reaches; none where the part is a front alone. */
    Set<String> kinds();

    /** Called once, before the first list; null where there are no kinds. */
    Upstream upstream(Services services);

    /** Called once; null where the part is an upstream alone. */
    Front front(Services services) throws IOException;

    /** Called once, when all is wired and before anything listens; may wait a little for what must come first. */
    default void start(PolicyControl control) throws IOException, InterruptedException {}
}
