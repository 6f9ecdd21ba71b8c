package holdmux.store;

import holdmux.store.Entry.Checked;
import holdmux.store.PolicyHistory.Activation;
import holdmux.store.wire.Check;
import holdmux.store.wire.Snapshot;
import holdmux.store.wire.Version;

/** Converts the store's state to and from the messages of store.proto, which are used on the wire and in files. */
public final class ProtoMapper {
    private ProtoMapper() {}

    /** Converts a version. */
    public static Version toProto(PolicyVersion v) {
        return Version.newBuilder().setNumber(v.number()).setBasedOn(v.basedOn()).setText(v.text()).setSha256(v.sha256())
                .setBy(v.by()).build();
    }

    /** Converts a version back; its checksum is not verified here. */
    public static PolicyVersion toVersion(Version v) {
        return new PolicyVersion(v.getNumber(), v.getBasedOn(), v.getText(), v.getSha256(), v.getBy());
    }

    /** Converts an activation. */
    public static holdmux.store.wire.Activation toProto(Activation a) {
        return holdmux.store.wire.Activation.newBuilder().setNumber(a.number()).setDelayNs(a.delayNs())
                .setSerial(a.serial()).setBy(a.by()).build();
    }

    /** Converts an activation back. */
    public static Activation toActivation(holdmux.store.wire.Activation a) {
        return new Activation(a.getNumber(), a.getDelayNs(), a.getSerial(), a.getBy());
    }

    /** Converts the whole history; without {@code includeTexts} the texts of the versions are left empty. */
    public static Snapshot toProto(PolicyHistory history, boolean includeTexts) {
        Snapshot.Builder snapshot = Snapshot.newBuilder();
        history.versions().forEach(v -> snapshot.addVersions(toProto(includeTexts ? v : v.pruned())));
        history.activations().forEach(a -> snapshot.addActivations(toProto(a)));
        history.checks().forEach(c -> snapshot.addChecks(
                Check.newBuilder().setNumber(c.number()).setMember(c.member()).setProblem(c.problem())));
        return snapshot.build();
    }

    /**
     * Converts a history back.
     *
     * @throws IllegalArgumentException if the numbers have gaps or a version does not match its checksum
     */
    public static PolicyHistory toHistory(Snapshot snapshot) {
        long lastNumber = 0;
        for (Version v : snapshot.getVersionsList()) {
            PolicyVersion version = toVersion(v);
            if (version.number() != ++lastNumber || !version.isPruned() && !version.isIntact()) {
                throw new IllegalArgumentException("version " + version.number() + " at position " + lastNumber
                        + " is out of order or corrupt");
            }
        }
        return new PolicyHistory(snapshot.getVersionsList().stream().map(ProtoMapper::toVersion).toList(),
                snapshot.getActivationsList().stream().map(ProtoMapper::toActivation).toList(), snapshot.getChecksList().stream()
                        .map(c -> new Checked(c.getNumber(), c.getMember(), c.getProblem())).toList());
    }
}
