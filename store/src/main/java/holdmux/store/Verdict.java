package holdmux.store;

/**
 * Whether an entry is taken into the history; a refusal says why in words meant for the operator.
 *
 * @param accepted whether the history changes
 * @param reason   empty when accepted
 */
public record Verdict(boolean accepted, String reason) {
    static final Verdict ACCEPTED = new Verdict(true, "");

    static Verdict refused(String reason) {
        return new Verdict(false, reason);
    }
}
