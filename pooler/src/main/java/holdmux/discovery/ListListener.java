package holdmux.discovery;

import holdmux.config.HostList;

/** Who takes in what discovery tells; called by one thread at a time. */
@FunctionalInterface
public interface ListListener {
    /** Takes a list in, whole or what changed; what this throws makes the list be asked for again. */
    void changed(HostList list);

    /** Discovery has answered for the first time: the list that was known at the start, with what changed, is the present one. */
    default void confirmed() {}
}
