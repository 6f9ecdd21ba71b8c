package holdmux.core;

/** A 128-bit hash of the id that a client gave its request: fixed in size, and the same in every process. */
public record RequestId(long high, long low) {
    private static final long HIGH_BASIS = 0xcbf29ce484222325L, HIGH_PRIME = 0x100000001b3L;
    private static final long LOW_BASIS = 0x9e3779b97f4a7c15L, LOW_PRIME = 0xff51afd7ed558ccdL;

    /** Hashes the text of an id. */
    public static RequestId of(String id) {
        long high = HIGH_BASIS; // FNV-1a
        long low = LOW_BASIS;
        for (int i = 0; i < id.length(); i++) {
            high = (high ^ id.charAt(i)) * HIGH_PRIME;
            low = Long.rotateLeft(low ^ id.charAt(i), 23) * LOW_PRIME;
        }
        return new RequestId(high, low);
    }
}
