package holdmux.store;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The store's state: every version kept and every activation, in the order of the log. Immutable, so that a step
 * of a member or of the checker copies little, and without clock or I/O: members that apply the same entries hold
 * equal histories.
 *
 * @param versions    kept versions, numbered 1, 2, ... in this order
 * @param activations activations in the order they were applied; the last is in force
 */
public record PolicyHistory(List<PolicyVersion> versions, List<Activation> activations) {
    /** The most a pooler may be asked to wait before it switches. */
    public static final long MOST_DELAY_NS = 60_000_000_000L;
    /**
     * Versions kept: a thousand of 1 MiB would not fit a member's memory. Pruning old ones is not built yet, so past
     * this a proposal is refused with that word.
     */
    public static final int MOST_VERSIONS = 1_000;

    /** The history of a new store: nothing kept, nothing in force. */
    public static final PolicyHistory EMPTY = new PolicyHistory(List.of(), List.of());

    /**
     * One version put in force.
     *
     * @param number  the version
     * @param delayNs as the entry told it
     * @param serial  1 for the first activation, one more for each after it: a pooler that has seen serial k has
     *                seen all before it
     * @param by      who asked
     */
    public record Activation(long number, long delayNs, long serial, String by) {}

    public PolicyHistory {
        versions = List.copyOf(versions);
        activations = List.copyOf(activations);
    }

    /** The newest version kept, 0 for none. */
    public long newest() {
        return versions.size();
    }

    /** The version of that number, if kept. */
    public Optional<PolicyVersion> version(long number) {
        return number >= 1 && number <= versions.size() ? Optional.of(versions.get((int) number - 1))
                : Optional.empty();
    }

    /** The activation in force, if any. */
    public Optional<Activation> active() {
        return activations.isEmpty() ? Optional.empty() : Optional.of(activations.get(activations.size() - 1));
    }

    /** Whether the entry may be applied to this history; the same on every member for the same validator. */
    public Verdict check(Entry entry, Validator validator) {
        if (entry instanceof Propose propose) {
            PolicyVersion version = propose.version();
            if (version.number() != newest() + 1) {
                return Verdict.refused("version " + version.number() + " cannot follow " + newest()
                        + "; the newest is " + newest());
            }
            if (version.basedOn() != newest()) {
                return Verdict.refused("version " + version.number() + " was made from " + version.basedOn()
                        + ", but " + newest() + " was kept meanwhile" + by(newest()) + "; look at the difference"
                        + " and propose again");
            }
            if (!version.intact()) {
                return Verdict.refused("version " + version.number() + " does not match its checksum: torn on its way");
            }
            if (versions.size() >= MOST_VERSIONS) {
                return Verdict.refused(MOST_VERSIONS + " versions are kept already; the oldest must be pruned");
            }
            String problem = validator.problem(version.text());
            return problem.isEmpty() ? Verdict.ACCEPTED
                    : Verdict.refused("version " + version.number() + " is not a valid policy: " + problem);
        }
        Activate activate = (Activate) entry;
        if (version(activate.number()).isEmpty()) {
            return Verdict.refused("version " + activate.number() + " is not kept; the newest is " + newest());
        }
        if (activate.delayNs() < 0 || activate.delayNs() > MOST_DELAY_NS) {
            return Verdict.refused("a delay of " + activate.delayNs() + " ns is outside 0 to " + MOST_DELAY_NS);
        }
        if (active().map(a -> a.number() == activate.number()).orElse(false)) {
            return Verdict.refused("version " + activate.number() + " is in force already");
        }
        return Verdict.ACCEPTED;
    }

    /** The history with the entry applied where {@link #check} accepts it, else this same history. */
    public PolicyHistory apply(Entry entry, Validator validator) {
        if (!check(entry, validator).accepted()) {
            return this;
        }
        if (entry instanceof Propose propose) {
            List<PolicyVersion> more = new ArrayList<>(versions);
            more.add(propose.version());
            return new PolicyHistory(more, activations);
        }
        Activate activate = (Activate) entry;
        List<Activation> more = new ArrayList<>(activations);
        more.add(new Activation(activate.number(), activate.delayNs(), activations.size() + 1L, activate.by()));
        return new PolicyHistory(versions, more);
    }

    private String by(long number) {
        return version(number).map(v -> " by " + v.by()).orElse("");
    }
}
