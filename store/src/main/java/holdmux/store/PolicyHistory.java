package holdmux.store;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Checked;
import holdmux.store.Entry.Propose;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The store's state: every version kept, every activation and every member's check, in the order of the log.
 * Immutable, so that a step of a member or of the checker copies little, and without clock or I/O: members that apply
 * the same entries hold equal histories. Nothing here rests on the member that applies: its own finding about a version
 * comes in as an entry of its own.
 *
 * @param versions    kept versions, numbered 1, 2, ... in this order; the oldest are pruned to their figures
 * @param activations activations in the order they were applied, the last of them in force; the newest {@link
 *                    #MOST_ACTIVATIONS}
 * @param checks      what members found of versions whose text is kept, one for each version and member
 */
public record PolicyHistory(List<PolicyVersion> versions, List<Activation> activations, List<Checked> checks) {
    /** The most a pooler may be asked to wait before it switches. */
    public static final long MAX_DELAY_NS = 60_000_000_000L;
    /** Versions listed: figures alone take some 300 bytes each, and nobody changes policy ten times a day for years. */
    public static final int MAX_VERSIONS = 10_000;
    /** Text kept, in characters: a member's memory holds it, and each snapshot writes it. The oldest goes first. */
    static final int MAX_TEXT_LENGTH = 16 << 20;
    /** Activations kept: what the history shows; the serial goes on. */
    static final int MAX_ACTIVATIONS = 1_000;

    /** The history of a new store: nothing kept, nothing in force. */
    public static final PolicyHistory EMPTY = new PolicyHistory(List.of(), List.of(), List.of());

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
        checks = List.copyOf(checks);
    }

    /** The newest version kept, 0 for none. */
    public long newestNumber() {
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

    /** What members found of a version, in the order they told it. */
    public List<Checked> checks(long number) {
        return checks.stream().filter(c -> c.number() == number).toList();
    }

    /** Whether the entry may be applied to this history; the same on every member, which is why no validator is asked. */
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
            return EntryResult.refused("version " + version.number() + " does not match its checksum: torn on its way");
        }
        if (versions.size() >= MAX_VERSIONS) {
            return EntryResult.refused(MAX_VERSIONS + " versions are kept already: begin a new store");
        }
        return EntryResult.ACCEPTED;
    }

    private EntryResult check(Activate activate) {
        PolicyVersion version = version(activate.number()).orElse(null);
        if (version == null) {
            return EntryResult.refused("version " + activate.number() + " is not kept; the newest is " + newestNumber());
        }
        if (version.isPruned()) {
            return EntryResult.refused("version " + activate.number() + " is too old: its text is no longer kept");
        }
        if (activate.delayNs() < 0 || activate.delayNs() > MAX_DELAY_NS) {
            return EntryResult.refused("a delay of " + activate.delayNs() + " ns is outside 0 to " + MAX_DELAY_NS);
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
            return EntryResult.refused("version " + checked.number() + " is not kept");
        }
        return checks.contains(checked) ? EntryResult.refused("told already") : EntryResult.ACCEPTED;
    }

    /** The history with the entry applied where {@link #check} accepts it, else this same history. */
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
            // a member that runs another version of the program meanwhile may find otherwise
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

    /** Drops the text of the oldest versions beyond {@link #MAX_TEXT_LENGTH}, never of the newest or the one in force. */
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
