package holdmux.discovery;

import holdmux.config.HostList;

/**
 * Decides which of the received lists are newer than the one in force, and whether the whole list has to be requested. Calls
 * overlap, and agents may lag, restart their version numbering or skip a change. Uses neither clock nor I/O.
 */
final class ListVersions {
    /** How a received list is to be handled. */
    enum Disposition {
        /** The list is the newest and is to be applied. */
        APPLY,
        /** The list confirms the one in force. */
        UNCHANGED,
        /** The list was requested before a newer one was applied, or under an earlier numbering, and is ignored. */
        SUPERSEDED,
        /** The list is older than the one in force although it was requested after that was applied; it is refused. */
        OLDER,
        /** The list has no entries and a version below the one requested from: the agent lags or restarted its numbering. */
        BEHIND,
        /** The list has no entries but a version above the one requested from: a change may be missing. */
        EMPTY_ADVANCE
    }

    /**
     * The state at the time of a request, by which its answer is classified.
     *
     * @param version the version in force, from which changes are requested
     * @param epoch how often discovery had restarted its version numbering
     * @param wholeListRequests how often the whole list had been found to be needed
     */
    record RequestState(long version, int epoch, int wholeListRequests) {}

    private long version;
    private int epoch;
    /** How often the whole list was found to be needed, and how many of these times a list requested afterwards has covered. */
    private int wholeListRequests, wholeListRequestsMet;
    /** Whether the last list was an older one; a whole list that is older as well shows that the numbering was restarted. */
    private boolean sawOlder;

    /** {@code cachedList} is the last known list, empty if there is none. */
    ListVersions(HostList cachedList) {
        version = cachedList.seq();
        wholeListRequests = cachedList.hosts().isEmpty() ? 1 : 0;
    }

    /** The version in force; calls request the changes since then. */
    long version() {
        return version;
    }

    /** The state to record with a call that is made now. */
    RequestState requestState() {
        return new RequestState(version, epoch, wholeListRequests);
    }

    /** Whether the next call has to request the whole list. */
    boolean needsWholeList() {
        return wholeListRequestsMet < wholeListRequests;
    }

    /** Has the next call request the whole list, because an answer could not be used or may lack a change. */
    void requestWholeList() {
        wholeListRequests++;
    }

    /** Classifies a list by the state at the time of its request. Changes nothing. */
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

    /** Records that a list has been applied. */
    void applied(HostList list, RequestState atRequest) {
        epoch += list.seq() < version ? 1 : 0;
        version = list.seq();
        sawOlder = false;
        if (list.whole()) {
            wholeListRequestsMet = Math.max(wholeListRequestsMet, atRequest.wholeListRequests());
        }
    }

    /** Records that a list confirmed the one in force. */
    void confirmed() {
        sawOlder = false;
    }

    /** Records a list that has a newer version but no entries. */
    void advanced(HostList list) {
        version = Math.max(version, list.seq());
        requestWholeList();
    }

    /** Records a list that is older than the one in force or than the version it was requested from. */
    void sawOlder() {
        sawOlder = true;
        requestWholeList();
    }
}
