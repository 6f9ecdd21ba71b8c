package holdmux.app;

import holdmux.config.Config;
import holdmux.config.ConfigException;
import holdmux.core.Extension;
import holdmux.store.host.StoreOptions;
import holdmux.store.host.StoreExtension;
import holdmux.store.raft.Members;
import holdmux.store.raft.MemberRoutes;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The flags of {@code serve} that put a pooler under the fleet's policy; docs/policy-rollout.md tells operators of them. */
final class StoreFlags {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(names = "--store-members", paramLabel = "MEMBERS",
            description = "The store's voting members, as n1=10.0.0.1:7001,n2=10.0.0.2:7001,n3=10.0.0.3:7001. "
                    + "Without it each pooler is told its policy by its own file.")
    private String members;

    @Option(names = "--store-dir", paramLabel = "FOLDER", description = "Where the store keeps its files here.")
    private Path folder;

    @Option(names = "--store-id", paramLabel = "NAME", description = "This pooler is that member; without it only follows.")
    private String id;

    @Option(names = "--store-listen", paramLabel = "ADDRESS", converter = Commands.AddressConverter.class,
            description = "Where the member listens, if not at its address among the members.")
    private InetSocketAddress listen;

    @Option(names = "--store-first", description = "An empty folder begins a new store: for the first start of all "
            + "members, and never again.")
    private boolean first;

    @Option(names = "--store-route", paramLabel = "NAME=ADDRESS", split = ",",
            description = "Reaches a member by another address than the others do.")
    private Map<String, String> routes = Map.of();

    @Option(names = "--policy-bound", paramLabel = "DURATION", defaultValue = "60m",
            converter = Commands.DurationConverter.class,
            description = "How long this pooler may serve a version that the store has not confirmed "
                    + "(default: ${DEFAULT-VALUE}, 3s at least).")
    private Duration stalenessBound;

    boolean isEnabled() {
        return members != null;
    }

    Extension extension() {
        try {
            Members parsedMembers = Members.parse(members);
            if (folder == null) {
                throw new ConfigException("--store-members needs --store-dir");
            }
            if (id != null && listen == null && parsedMembers.address(id) == null) {
                throw new ConfigException("--store-id " + id + " is none of the members; say --store-listen for one to come");
            }
            if (stalenessBound.compareTo(StoreOptions.MIN_STALENESS_BOUND) < 0) {
                throw new ConfigException("--policy-bound is under " + StoreOptions.MIN_STALENESS_BOUND.toSeconds() + "s");
            }
            routes.forEach((name, address) -> MemberRoutes.set(name, Config.address(address)));
            return new StoreExtension(new StoreOptions(parsedMembers, id, listen, folder, first, stalenessBound));
        } catch (ConfigException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }
}
