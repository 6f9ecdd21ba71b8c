package holdmux.store;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Checked;
import holdmux.store.Entry.Propose;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicated state of the store: all versions, activations and members' checks, in log order. Immutable, so that
 * applying an entry copies little, and free of clocks and I/O, so that members that apply the same entries hold equal
 * histories. It depends on nothing local to the applying member: a member's own validation result arrives as a
 * {@link Checked} entry.
 *
 * @param versions    stored versions, numbered 1, 2, ... in this order; the texts of the oldest are pruned
 * @param activations the newest {@link #MAX_ACTIVATIONS} activations in the order they were applied; the last is in force
 * @param checks      members' validation results for versions whose text is stored, one per version and member
 */
public record PolicyHistory(List<PolicyVersion> versions, List<Activation> activations, List<Checked> checks) {
    /** The maximum delay before poolers switch to an activated version. */
    public static final long MAX_DELAY_NS = 60_000_000_000L;
    /** Versions listed, pruned ones included; a pruned version takes about 300 bytes, and this allows years of changes. */
    public static final int MAX_VERSIONS = 10_000;
    /** Total length of stored texts in characters; all are held in memory and written to each snapshot. Oldest pruned first. */
    static final int MAX_TEXT_LENGTH = 16 << 20;
    /** Activations stored for the history; serial numbers continue beyond it. */
    static final int MAX_ACTIVATIONS = 1_000;

    /** The history of a new store: no versions, nothing in force. */
    public static final PolicyHistory EMPTY = new PolicyHistory(List.of(), List.of(), List.of());

    /**
     * A version put in force.
     *
     * @param number  the version number
     * @param delayNs how long poolers wait before they switch, see {@link Activate}
     * @param serial  1 for the first activation and one more for each after it; a pooler that has seen serial k has nothing
     *                to learn from earlier ones
     * @param by      who requested it
     */
    public record Activation(long number, long delayNs, long serial, String by) {}

    public PolicyHistory {
        versions = List.copyOf(versions);
        activations = List.copyOf(activations);
        checks = List.copyOf(checks);
    }

    /** The number of the newest version, 0 if there is none. */
    public long newestNumber() {
        return versions.size();
    }

    /** The version with this number, if stored. */
    public Optional<PolicyVersion> version(long number) {
        return number >= 1 && number <= versions.size() ? Optional.of(versions.get((int) number - 1))
                : Optional.empty();
    }

    /** The activation in force, if any. */
    public Optional<Activation> active() {
        return activations.isEmpty() ? Optional.empty() : Optional.of(activations.get(activations.size() - 1));
    }

    /** Members' validation results for a version, in log order. */
    public List<Checked> checks(long number) {
        return checks.stream().filter(c -> c.number() == number).toList();
    }

    /** Whether the entry may be applied; deterministic on every member, so the validator is not consulted here. */
    public EntryResult check(Entry entry) {
        if (entry instanceof Propose propose) {
            return check(propose.version());
        }
        return entry instanceof Activate activate ? check(activate) : check((Checked) entry);
    }

    private EntryResult check(PolicyVersion version) {
        if (version.number() != newestNumber() + 1) {
            return EntryResult.refused("version " + version.number() + " cannot follow " + newestNumber() + "; the newest is "
                    + newestNumber() + proposer(newestNumber()) + "; look at the difference and propose again");
        }
        if (version.basedOn() != newestNumber()) {
            return EntryResult.refused("version " + version.number() + " was made from " + version.basedOn() + ", but "
                    + newestNumber() + " was kept meanwhile" + proposer(newestNumber()) + "; look at the difference and propose again");
        }
        if (version.isPruned() || !version.isIntact()) {
            return EntryResult.refused("version " + version.number() + " does not match its checksum: corrupted in transit");
        }
        if (versions.size() >= MAX_VERSIONS) {
            return EntryResult.refused("the limit of " + MAX_VERSIONS + " versions is reached: create a new store");
        }
        return EntryResult.ACCEPTED;
    }

    private EntryResult check(Activate activate) {
        PolicyVersion version = version(activate.number()).orElse(null);
        if (version == null) {
            return EntryResult.refused("version " + activate.number() + " does not exist; the newest is " + newestNumber());
        }
        if (version.isPruned()) {
            return EntryResult.refused("version " + activate.number() + " is too old: its text is no longer kept");
        }
        if (activate.delayNs() < 0 || activate.delayNs() > MAX_DELAY_NS) {
            return EntryResult.refused("a delay of " + activate.delayNs() + " ns is outside the range 0 to " + MAX_DELAY_NS);
        }
        if (active().map(a -> a.number() == activate.number()).orElse(false)) {
            return EntryResult.refused("version " + activate.number() + " is in force already");
        }
        int valid = 0;
        for (Checked c : checks(activate.number())) {
            if (!c.problem().isEmpty()) {
                return EntryResult.refused("member " + c.member() + " cannot serve under version " + activate.number()
                        + ": " + c.problem());
            }
            valid++;
        }
        return valid >= activate.quorum() ? EntryResult.ACCEPTED : EntryResult.refused("only " + valid + " of the "
                + activate.quorum() + " members needed have checked version " + activate.number() + " so far");
    }

    private EntryResult check(Checked checked) {
        PolicyVersion version = version(checked.number()).orElse(null);
        if (version == null || version.isPruned()) {
            return EntryResult.refused("version " + checked.number() + " does not exist or is pruned");
        }
        return checks.contains(checked) ? EntryResult.refused("already recorded") : EntryResult.ACCEPTED;
    }

    /** The history with the entry applied if {@link #check} accepts it, otherwise this history unchanged. */
    public PolicyHistory apply(Entry entry) {
        if (!check(entry).accepted()) {
            return this;
        }
        if (entry instanceof Propose propose) {
            List<PolicyVersion> updated = new ArrayList<>(versions);
            updated.add(propose.version());
            return new PolicyHistory(prune(updated), activations, checks).withoutChecksOfPruned();
        }
        if (entry instanceof Checked checked) {
            List<Checked> updated = new ArrayList<>(checks);
            // a member that has been upgraded or downgraded may reach a different result for the same version
            updated.removeIf(c -> c.number() == checked.number() && c.member().equals(checked.member()));
            updated.add(checked);
            return new PolicyHistory(versions, activations, updated);
        }
        Activate activate = (Activate) entry;
        List<Activation> updated = new ArrayList<>(activations);
        long serial = active().map(Activation::serial).orElse(0L) + 1;
        updated.add(new Activation(activate.number(), activate.delayNs(), serial, activate.by()));
        return new PolicyHistory(versions, updated.subList(Math.max(0, updated.size() - MAX_ACTIVATIONS), updated.size()), checks);
    }

    /** Prunes the oldest texts beyond {@link #MAX_TEXT_LENGTH}, but never the newest version or the one in force. */
    private List<PolicyVersion> prune(List<PolicyVersion> all) {
        long textLength = all.stream().mapToLong(v -> v.text().length()).sum();
        long inForce = active().map(Activation::number).orElse(0L);
        for (int i = 0; i < all.size() - 1 && textLength > MAX_TEXT_LENGTH; i++) {
            if (all.get(i).number() != inForce) {
                textLength -= all.get(i).text().length();
                all.set(i, all.get(i).pruned());
            }
        }
        return all;
    }

    private PolicyHistory withoutChecksOfPruned() {
        return new PolicyHistory(versions, activations,
                checks.stream().filter(c -> !version(c.number()).orElseThrow().isPruned()).toList());
    }

    private String proposer(long number) {
        return version(number).map(v -> " by " + v.by()).orElse("");
    }
}
