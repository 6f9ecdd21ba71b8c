package holdmux.store;

/** An entry of the store's replicated log; every member applies the same entries in the same order. */
public sealed interface Entry {
    /** Adds a new version, which members then check; it is not in force until an {@link Activate} entry names it. */
    record Propose(PolicyVersion version) implements Entry {}

    /**
     * Puts a stored version in force: a newer one, or an older one as a rollback.
     *
     * @param number  the version number
     * @param delayNs how long each pooler waits before it switches, on its own monotonic clock from when it learns of this
     *                entry; 0 to 60 s, so that poolers that learn at different times switch close together
     * @param by      who requested it, for the history
     * @param quorum  how many members must have found the version valid: a majority of the voters, filled in by the leader
     *                when it accepts the entry, so that every member applies the same number whenever it applies the entry
     */
    record Activate(long number, long delayNs, String by, int quorum) implements Entry {}

    /**
     * The result of one member's validation of a stored version with its own program version.
     *
     * @param number  the version number
     * @param member  the member that validated it
     * @param problem empty if the member can serve under it, otherwise the first problem found
     */
    record Checked(long number, String member, String problem) implements Entry {}
}
