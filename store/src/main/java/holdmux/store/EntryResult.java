package holdmux.store;

/**
 * The result of applying an entry to the history.
 *
 * @param accepted whether the entry changes the history
 * @param reason   why the entry is refused, worded for the operator; empty if accepted
 */
public record EntryResult(boolean accepted, String reason) {
    static final EntryResult ACCEPTED = new EntryResult(true, "");

    static EntryResult refused(String reason) {
        return new EntryResult(false, reason);
    }
}
