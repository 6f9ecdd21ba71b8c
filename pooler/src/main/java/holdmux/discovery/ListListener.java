package holdmux.discovery;

import holdmux.config.HostList;

/** Receives the server lists of discovery and their trust status; called by one thread at a time. */
@FunctionalInterface
public interface ListListener {
    /** Applies a whole list or a list of changes; if this throws, the list is requested again. */
    void changed(HostList list);

    /** The list in force, cached or received since, is current. Called once at first, and again after each {@link #distrusted}. */
    default void confirmed() {}

    /** Discovery sent something unreadable: servers that are up in the list in force may be draining. */
    default void distrusted() {}
}
