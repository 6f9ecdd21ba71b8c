package holdmux.discovery;

import holdmux.config.HostList;

/**
 * Which of the lists that calls bring is newer than the one in force, and whether the whole list has to be asked for: calls
 * overlap, and agents may lag, count anew or skip a change. No clock, no I/O.
 */
final class ListVersions {
    /** What becomes of a list. */
    enum Disposition {
        /** It is the newest: it is taken in. */
        APPLY,
        /** It confirms the list in force. */
        UNCHANGED,
        /** It was asked for before newer lists came, or under an earlier numbering: it tells nothing. */
        SUPERSEDED,
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
    record RequestState(long version, int epoch, int wholeListRequests) {}

    private long version;
    private int epoch;
    /** Wishes for the whole list, and how many of them a whole list has met that was asked for since. */
    private int wholeListRequests, wholeListRequestsMet;
    /** Whether the last list was an older one: a second such one, whole, shows that counting began anew. */
    private boolean sawOlder;

    /** {@code known} is the list as it was last had, empty for none. */
    ListVersions(HostList cachedList) {
        version = cachedList.seq();
        wholeListRequests = cachedList.hosts().isEmpty() ? 1 : 0;
    }

    /** The version in force; a call asks for what changed since. */
    long version() {
        return version;
    }

    /** What is known now, for a call that is made now. */
    RequestState requestState() {
        return new RequestState(version, epoch, wholeListRequests);
    }

    /** Whether the next call asks for the whole list. */
    boolean needsWholeList() {
        return wholeListRequestsMet < wholeListRequests;
    }

    /** The whole list is to be asked for: what discovery told could not be used, or may lack something. */
    void requestWholeList() {
        wholeListRequests++;
    }

    /** Judges a list by what was known when it was asked for. Changes nothing. */
    Disposition classify(HostList list, RequestState atRequest) {
        if (atRequest.epoch() != epoch) {
            return Disposition.SUPERSEDED;
        }
        return list.whole() ? classifyWhole(list, atRequest) : classifyChanges(list, atRequest);
    }

    private Disposition classifyWhole(HostList list, RequestState atRequest) {
        if (list.seq() >= version) {
            return Disposition.APPLY;
        }
        if (atRequest.version() < version) {
            return Disposition.SUPERSEDED;
        }
        return sawOlder ? Disposition.APPLY : Disposition.OLDER;
    }

    private Disposition classifyChanges(HostList list, RequestState atRequest) {
        boolean hasEntries = !list.hosts().isEmpty() || !list.unfit().isEmpty();
        if (list.seq() < atRequest.version()) {
            return hasEntries ? Disposition.OLDER : Disposition.BEHIND;
        }
        if (atRequest.version() < version && list.seq() <= version) {
            return Disposition.SUPERSEDED;
        }
        if (hasEntries) {
            return Disposition.APPLY;
        }
        return list.seq() > atRequest.version() ? Disposition.EMPTY_ADVANCE : Disposition.UNCHANGED;
    }

    /** The list has been taken in by everyone who needs it. */
    void applied(HostList list, RequestState atRequest) {
        epoch += list.seq() < version ? 1 : 0;
        version = list.seq();
        sawOlder = false;
        if (list.whole()) {
            wholeListRequestsMet = Math.max(wholeListRequestsMet, atRequest.wholeListRequests());
        }
    }

    /** A list confirmed the one in force. */
    void confirmed() {
        sawOlder = false;
    }

    /** A list without a change moved the version on. */
    void advanced(HostList list) {
        version = Math.max(version, list.seq());
        requestWholeList();
    }

    /** A list was older than the one in force, or behind what it was asked from. */
    void sawOlder() {
        sawOlder = true;
        requestWholeList();
    }
}
