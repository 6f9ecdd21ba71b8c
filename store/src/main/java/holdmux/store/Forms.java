package holdmux.store;

import holdmux.store.Entry.Checked;
import holdmux.store.PolicyHistory.Activation;
import holdmux.store.wire.Check;
import holdmux.store.wire.Snapshot;
import holdmux.store.wire.Version;

/** The store's state in the form of its wire and its files (store.proto), and back. */
public final class Forms {
    private Forms() {}

    public static Version of(PolicyVersion v) {
        return Version.newBuilder().setNumber(v.number()).setBasedOn(v.basedOn()).setText(v.text()).setSha256(v.sha256())
                .setBy(v.by()).build();
    }

    public static PolicyVersion version(Version v) {
        return new PolicyVersion(v.getNumber(), v.getBasedOn(), v.getText(), v.getSha256(), v.getBy());
    }

    public static holdmux.store.wire.Activation of(Activation a) {
        return holdmux.store.wire.Activation.newBuilder().setNumber(a.number()).setDelayNs(a.delayNs())
                .setSerial(a.serial()).setBy(a.by()).build();
    }

    public static Activation activation(holdmux.store.wire.Activation a) {
        return new Activation(a.getNumber(), a.getDelayNs(), a.getSerial(), a.getBy());
    }

    /** The whole state, or without the texts of the versions where only the figures are asked for. */
    public static Snapshot of(PolicyHistory history, boolean texts) {
        Snapshot.Builder all = Snapshot.newBuilder();
        history.versions().forEach(v -> all.addVersions(of(texts ? v : v.pruned())));
        history.activations().forEach(a -> all.addActivations(of(a)));
        history.checks().forEach(c -> all.addChecks(
                Check.newBuilder().setNumber(c.number()).setMember(c.member()).setProblem(c.problem())));
        return all.build();
    }

    /** @throws IllegalArgumentException where the numbers have gaps or a version does not match its checksum */
    public static PolicyHistory history(Snapshot snapshot) {
        long number = 0;
        for (Version v : snapshot.getVersionsList()) {
            PolicyVersion version = version(v);
            if (version.number() != ++number || !version.isPruned() && !version.intact()) {
                throw new IllegalArgumentException("version " + version.number() + " at place " + number + " is torn");
            }
        }
        return new PolicyHistory(snapshot.getVersionsList().stream().map(Forms::version).toList(),
                snapshot.getActivationsList().stream().map(Forms::activation).toList(), snapshot.getChecksList().stream()
                        .map(c -> new Checked(c.getNumber(), c.getMember(), c.getProblem())).toList());
    }
}
