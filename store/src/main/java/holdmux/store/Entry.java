package holdmux.store;

/** What the store's log holds, one entry a change; every member applies the same entries in the same order. */
public sealed interface Entry {
    /** A new version, to be checked and kept; it is not in force until an {@link Activate} names it. */
    record Propose(PolicyVersion version) implements Entry {}

    /**
     * Puts a kept version in force, a newer one or, as a roll-back, an older one.
     *
     * @param number  the version
     * @param delayNs how long each pooler waits, on its own monotonic clock from when it learns of this entry, before
     *                it switches; 0 to 60 s, so that poolers that learn at different times switch close together
     * @param by      who asked, for the history
     * @param quorum  how many members must have found the version valid: a majority of the voters, which the leader
     *                writes in when it takes the entry, so that every member counts alike whenever it applies it
     */
    record Activate(long number, long delayNs, String by, int quorum) implements Entry {}

    /**
     * What one member found when it checked a kept version with its own program.
     *
     * @param number  the version
     * @param member  who checked
     * @param problem empty where the member could serve under it, else the first problem
     */
    record Checked(long number, String member, String problem) implements Entry {}
}
