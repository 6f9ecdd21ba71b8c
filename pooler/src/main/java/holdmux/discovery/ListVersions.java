package holdmux.discovery;

import holdmux.config.HostList;

/**
 * Which of the lists that calls bring is newer than the one in force, and whether the whole list has to be asked for: calls
 * overlap, and agents may lag, count anew or skip a change. No clock, no I/O.
 */
final class ListVersions {
    /** What becomes of a list. */
    enum Verdict {
        /** It is the newest: it is taken in. */
        TAKE,
        /** It confirms the list in force. */
        NOTHING_NEW,
        /** It was asked for before newer lists came, or under an earlier numbering: it tells nothing. */
        OVERTAKEN,
        /** It is older than the list in force, although it was asked for since that came: it is refused. */
        OLDER,
        /** It names no change, but its version is below the one asked from: the agent lags or counts anew. */
        BEHIND,
        /** It names no change, but its version is above the one asked from: a change may be missing. */
        EMPTY_ADVANCE
    }

    /**
     * What was known when a call was made.
     *
     * @param version the version in force, which changes are asked from
     * @param numbering how often discovery had begun to count anew
     * @param wholeWishes how often the whole list had been wished for
     */
    record Asked(long version, int numbering, int wholeWishes) {}

    private long version;
    private int numbering;
    /** Wishes for the whole list, and how many of them a whole list has met that was asked for since. */
    private int wholeWishes, wholeWishesMet;
    /** Whether the last list was an older one: a second such one, whole, shows that counting began anew. */
    private boolean sawOlder;

    /** {@code known} is the list as it was last had, empty for none. */
    ListVersions(HostList known) {
        version = known.seq();
        wholeWishes = known.hosts().isEmpty() ? 1 : 0;
    }

    /** The version in force; a call asks for what changed since. */
    long version() {
        return version;
    }

    /** What is known now, for a call that is made now. */
    Asked asked() {
        return new Asked(version, numbering, wholeWishes);
    }

    /** Whether the next call asks for the whole list. */
    boolean wholeWanted() {
        return wholeWishesMet < wholeWishes;
    }

    /** The whole list is to be asked for: what discovery told could not be used, or may lack something. */
    void wantWhole() {
        wholeWishes++;
    }

    /** Judges a list by what was known when it was asked for. Changes nothing. */
    Verdict judge(HostList list, Asked asked) {
        if (asked.numbering() != numbering) {
            return Verdict.OVERTAKEN;
        }
        return list.whole() ? judgeWhole(list, asked) : judgeChanges(list, asked);
    }

    private Verdict judgeWhole(HostList list, Asked asked) {
        if (list.seq() >= version) {
            return Verdict.TAKE;
        }
        if (asked.version() < version) {
            return Verdict.OVERTAKEN;
        }
        return sawOlder ? Verdict.TAKE : Verdict.OLDER;
    }

    private Verdict judgeChanges(HostList list, Asked asked) {
        boolean namesChange = !list.hosts().isEmpty() || !list.unfit().isEmpty();
        if (list.seq() < asked.version()) {
            return namesChange ? Verdict.OLDER : Verdict.BEHIND;
        }
        if (asked.version() < version && list.seq() <= version) {
            return Verdict.OVERTAKEN;
        }
        if (namesChange) {
            return Verdict.TAKE;
        }
        return list.seq() > asked.version() ? Verdict.EMPTY_ADVANCE : Verdict.NOTHING_NEW;
    }

    /** The list has been taken in by everyone who needs it. */
    void taken(HostList list, Asked asked) {
        numbering += list.seq() < version ? 1 : 0;
        version = list.seq();
        sawOlder = false;
        if (list.whole()) {
            wholeWishesMet = Math.max(wholeWishesMet, asked.wholeWishes());
        }
    }

    /** A list confirmed the one in force. */
    void confirmed() {
        sawOlder = false;
    }

    /** A list without a change moved the version on. */
    void advanced(HostList list) {
        version = Math.max(version, list.seq());
        wantWhole();
    }

    /** A list was older than the one in force, or behind what it was asked from. */
    void sawOlder() {
        sawOlder = true;
        wantWhole();
    }
}
