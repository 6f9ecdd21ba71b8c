package holdmux.app;

import holdmux.config.Config;
import holdmux.config.ConfigException;
import holdmux.core.Extension;
import holdmux.store.host.StoreExtension;
import holdmux.store.host.StoreOptions;
import holdmux.store.raft.MemberRoutes;
import holdmux.store.raft.Members;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The options of {@code serve} that make a pooler follow the fleet's policy, described in docs/policy-rollout.md. */
final class StoreFlags {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(names = "--store-members", paramLabel = "MEMBERS",
            description = "The store's voting members, as n1=10.0.0.1:7001,n2=10.0.0.2:7001,n3=10.0.0.3:7001. "
                    + "Without it the pooler takes its policy from its configuration file.")
    private String members;

    @Option(names = "--store-dir", paramLabel = "FOLDER", description = "Folder for the store's files on this host.")
    private Path folder;

    @Option(names = "--store-id", paramLabel = "NAME",
            description = "Name of the member that this pooler runs. Without it the pooler only follows.")
    private String id;

    @Option(names = "--store-listen", paramLabel = "ADDRESS", converter = Commands.AddressConverter.class,
            description = "Where the member listens, if not at its address in --store-members.")
    private InetSocketAddress listen;

    @Option(names = "--store-first", description = "Create a new store in an empty folder. Only for the very first "
            + "start of all members.")
    private boolean first;

    @Option(names = "--store-route", paramLabel = "NAME=ADDRESS", split = ",",
            description = "Reach a member at an address that differs from its address in --store-members.")
    private Map<String, String> routes = Map.of();

    @Option(names = "--policy-bound", paramLabel = "DURATION", defaultValue = "60m",
            converter = Commands.DurationConverter.class,
            description = "How long this pooler may serve under a version that the store has not confirmed "
                    + "(default: ${DEFAULT-VALUE}, at least 3s).")
    private Duration stalenessBound;

    /** Whether the pooler follows a store. */
    boolean isEnabled() {
        return members != null;
    }

    /**
     * Creates the extension that follows the store and, with {@code --store-id}, runs a member of it.
     *
     * @throws ParameterException if the options contradict each other
     */
    Extension extension() {
        try {
            Members parsedMembers = Members.parse(members);
            if (folder == null) {
                throw new ConfigException("--store-members needs --store-dir");
            }
            if (id != null && listen == null && parsedMembers.address(id) == null) {
                throw new ConfigException("--store-id " + id
                        + " is not in --store-members; a member that is yet to be added needs --store-listen");
            }
            if (stalenessBound.compareTo(StoreOptions.MIN_STALENESS_BOUND) < 0) {
                throw new ConfigException("--policy-bound must be at least " + StoreOptions.MIN_STALENESS_BOUND.toSeconds() + "s");
            }
            routes.forEach((name, address) -> MemberRoutes.set(name, Config.address(address)));
            return new StoreExtension(new StoreOptions(parsedMembers, id, listen, folder, first, stalenessBound));
        } catch (ConfigException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }
}
