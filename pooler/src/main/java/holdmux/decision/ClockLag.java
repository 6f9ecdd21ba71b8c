package holdmux.decision;

/**
 * By how much this process's clock is known to be behind the stores' clock: a store that states a position ahead of now
 * proves it. A second store has to confirm it, so that one faulty store cannot make all replicas look old. Reads no
 * clock.
 */
final class ClockLag {
    private long firstStore, firstNs, secondNs;

    /** A store has stated a position that is this far ahead of this process's clock; not positive if it is behind. */
    void observe(long store, long aheadNs) {
        if (store == firstStore) {
            firstNs = Math.max(firstNs, aheadNs);
        } else if (aheadNs > firstNs) {
            secondNs = firstNs;
            firstStore = store;
            firstNs = aheadNs;
        } else {
            secondNs = Math.max(secondNs, aheadNs);
        }
    }

    /** The lag that two stores have proved, in nanoseconds; 0 if the clock is not known to be behind. */
    long confirmedNs() {
        return secondNs;
    }
}
