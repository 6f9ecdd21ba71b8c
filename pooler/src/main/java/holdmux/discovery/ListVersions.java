package holdmux.discovery;

import holdmux.config.HostList;

/** Which of the lists that calls bring is newer than the one in force: calls overlap, and agents may lag. No clock, no I/O. */
final class ListVersions {
    /** What becomes of a list. */
    enum Verdict {
        /** It is the newest: it is taken in. */
        TAKE,
        /** It tells no change, or none that was not told already. */
        NOTHING_NEW,
        /** It is older than the list in force although it was asked for since that came: it is refused. */
        OLDER
    }

    private long version;
    private boolean wholeWanted;
    /** Whether the last list was refused as an older one: a second such one, whole, shows that counting began anew. */
    private boolean refusedOlder;

    /** {@code known} is the list as it was last had, empty for none. */
    ListVersions(HostList known) {
        version = known.seq();
        wholeWanted = known.hosts().isEmpty();
    }

    /** The version in force; a call asks for what changed since. */
    long version() {
        return version;
    }

    /** Whether the next call asks for the whole list. */
    boolean wholeWanted() {
        return wholeWanted;
    }

    /** The whole list is to be asked for: what discovery told could not be used, or may lack something. */
    void wantWhole() {
        wholeWanted = true;
    }

    /** Judges a list that was asked for while version {@code askedAt} was in force. Changes nothing. */
    Verdict judge(HostList list, long askedAt) {
        boolean news = list.whole() || !list.hosts().isEmpty();
        boolean overtaken = askedAt < version;
        if (!news || overtaken && list.seq() <= version) {
            return Verdict.NOTHING_NEW;
        }
        boolean countsAnew = list.whole() && refusedOlder;
        return list.seq() >= version || countsAnew ? Verdict.TAKE : Verdict.OLDER;
    }

    /** The list has been taken in by everyone who needs it. */
    void taken(HostList list) {
        version = list.seq();
        wholeWanted = false;
        refusedOlder = false;
    }

    /** The list had nothing new; its version is known from now on. */
    void nothingNew(HostList list) {
        version = Math.max(version, list.seq());
        wholeWanted &= !list.whole();
        refusedOlder = false;
    }

    /** The list was refused as an older one. */
    void refusedAsOlder() {
        refusedOlder = true;
        wholeWanted = true;
    }
}
