package holdmux.decision;

/**
 * Why a request may be sent to a store although only data of a certain age may answer it. All but {@link Kind#ROLE} are
 * facts that hold for good, or for the time in which no later statement of the store counts as known.
 *
 * @param kind the kind of proof
 * @param requiredNs the position that the data must have reached; 0 if any will do
 * @param asOfNs the time that the proof is from: the known position, or when the store was last known to be the
 *     primary; 0 for {@link Kind#NOT_NEEDED} and for a primary that only the list names
 */
public record ReadProof(Kind kind, long requiredNs, long asOfNs) {
    /** The kinds of proof. */
    public enum Kind {
        /** Data of any age will do, or the store checks the age itself. */
        NOT_NEEDED,
        /** The store is known to have reached the required position. */
        POSITION,
        /** The store has answered as the primary a request sent after all that it must hold was written. */
        CURRENT,
        /** The store was the primary so lately that no later statement of its role counts as known. */
        LEASE,
        /** The store is believed to be the primary, which holds all data; used where nothing better is to be had. */
        ROLE,
        /** There is no proof, so that the request must not be sent. */
        NONE
    }
}
