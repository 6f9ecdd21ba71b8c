package holdmux.store;

import holdmux.store.Entry.Checked;
import holdmux.store.PolicyHistory.Activation;
import holdmux.store.wire.Check;
import holdmux.store.wire.Snapshot;
import holdmux.store.wire.Version;

/** The store's state in the form of its wire and its files (store.proto), and back. */
public final class ProtoMapper {
    private ProtoMapper() {}

    public static Version toProto(PolicyVersion v) {
        return Version.newBuilder().setNumber(v.number()).setBasedOn(v.basedOn()).setText(v.text()).setSha256(v.sha256())
                .setBy(v.by()).build();
    }

    public static PolicyVersion toVersion(Version v) {
        return new PolicyVersion(v.getNumber(), v.getBasedOn(), v.getText(), v.getSha256(), v.getBy());
    }

    public static holdmux.store.wire.Activation toProto(Activation a) {
        return holdmux.store.wire.Activation.newBuilder().setNumber(a.number()).setDelayNs(a.delayNs())
                .setSerial(a.serial()).setBy(a.by()).build();
    }

    public static Activation toActivation(holdmux.store.wire.Activation a) {
        return new Activation(a.getNumber(), a.getDelayNs(), a.getSerial(), a.getBy());
    }

    /** The whole state, or without the texts of the versions where only the figures are asked for. */
    public static Snapshot toProto(PolicyHistory history, boolean includeTexts) {
        Snapshot.Builder snapshot = Snapshot.newBuilder();
        history.versions().forEach(v -> snapshot.addVersions(toProto(includeTexts ? v : v.pruned())));
        history.activations().forEach(a -> snapshot.addActivations(toProto(a)));
        history.checks().forEach(c -> snapshot.addChecks(
                Check.newBuilder().setNumber(c.number()).setMember(c.member()).setProblem(c.problem())));
        return snapshot.build();
    }

    /** @throws IllegalArgumentException where the numbers have gaps or a version does not match its checksum */
    public static PolicyHistory toHistory(Snapshot snapshot) {
        long lastNumber = 0;
        for (Version v : snapshot.getVersionsList()) {
            PolicyVersion version = toVersion(v);
            if (version.number() != ++lastNumber || !version.isPruned() && !version.isIntact()) {
                throw new IllegalArgumentException("version " + version.number() + " at place " + lastNumber + " is torn");
            }
        }
        return new PolicyHistory(snapshot.getVersionsList().stream().map(ProtoMapper::toVersion).toList(),
                snapshot.getActivationsList().stream().map(ProtoMapper::toActivation).toList(), snapshot.getChecksList().stream()
                        .map(c -> new Checked(c.getNumber(), c.getMember(), c.getProblem())).toList());
    }
}
