package holdmux.core;

import holdmux.core.RequestIds.Verdict;

/** The other process of this pooler as far as request ids are concerned; together they accept an id once. */
public interface IdPeer {
    /** The peer where there is no other process. */
    IdPeer NONE = new IdPeer() {
        @Override
        public Verdict confirm(RequestId id, boolean repeatable) {
            return Verdict.GRANTED;
        }

        @Override
        public void released(RequestId id) { }
    };

    /**
     * Confirms an id that is unknown to this process. Blocks for a short time at most; null if the other process did not
     * answer in it.
     */
    Verdict confirm(RequestId id, boolean repeatable);

    /** Tells that the request with this id certainly never ran. */
    void released(RequestId id);
}
