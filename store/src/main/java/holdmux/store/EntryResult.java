package holdmux.store;

/**
 * Whether an entry is taken into the history; a refusal says why in words meant for the operator.
 *
 * @param accepted whether the history changes
 * @param reason   empty when accepted
 */
public record EntryResult(boolean accepted, String reason) {
    static final EntryResult ACCEPTED = new EntryResult(true, "");

    static EntryResult refused(String reason) {
        return new EntryResult(false, reason);
    }
}
