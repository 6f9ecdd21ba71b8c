package holdmux.app;

import holdmux.config.ConfigException;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.EntryResult;
import holdmux.store.FleetView;
import holdmux.store.PolicyDiff;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyText;
import holdmux.store.PolicyVersion;
import holdmux.store.ProtoMapper;
import holdmux.store.raft.Members;
import holdmux.store.raft.StoreClient;
import holdmux.store.wire.Answer;
import holdmux.store.wire.Empty;
import holdmux.store.wire.Fleet;
import holdmux.store.wire.Heard;
import holdmux.store.wire.Question;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.json.JSONException;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code holdmux policy}: shows and changes the fleet's policy. Exit codes: 0 success, 1 refused or unreachable. */
@Command(name = "policy", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "Proposes, activates and shows versions of the fleet's policy.",
        subcommands = {PolicyCommands.ProposeCommand.class, PolicyCommands.ActivateCommand.class,
            PolicyCommands.RollbackCommand.class, PolicyCommands.StatusCommand.class, PolicyCommands.HistoryCommand.class,
            PolicyCommands.DiffCommand.class, PolicyCommands.ShowCommand.class})
final class PolicyCommands {
    private PolicyCommands() {}

    /** Base of the commands that call the store: its members and the time-out of one call. */
    abstract static class StoreClientCommand implements Callable<Integer> {
        @Option(names = {"-m", "--store-members"}, paramLabel = "MEMBERS", required = true,
                defaultValue = "${env:HOLDMUX_STORE_MEMBERS}",
                description = "The store's members, as n1=10.0.0.1:7001,... (or $HOLDMUX_STORE_MEMBERS).")
        private String members;

        @Option(names = "--wait", paramLabel = "DURATION", defaultValue = "2s",
                converter = Commands.DurationConverter.class,
                description = "Time-out of a call to one member (default: ${DEFAULT-VALUE}).")
        private Duration timeout;

        final PrintStream out = System.out;

        abstract int run(StoreClient store, Members members) throws IOException, InterruptedException;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Members parsedMembers = Members.parse(members);
            try (StoreClient store = new StoreClient(parsedMembers, timeout.toMillis())) {
                return run(store, parsedMembers);
            }
        }

        static PolicyHistory history(StoreClient store) throws IOException {
            Answer answer = store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance()).build());
            return ProtoMapper.toHistory(answer.getHistory());
        }

        static PolicyVersion version(StoreClient store, long number) throws IOException {
            return ProtoMapper.toVersion(store.ask(Question.newBuilder().setVersion(number).build()).getVersion());
        }

        final int printResult(EntryResult result, String successMessage) {
            out.println(result.accepted() ? successMessage : "refused: " + result.reason());
            return result.accepted() ? 0 : 1;
        }

        /** Activates a version. Retries while a version that has just been proposed is not yet checked by a majority. */
        final int activate(StoreClient store, long number, Duration delay, String author)
                throws IOException, InterruptedException {
            EntryResult result = store.write(new Activate(number, delay.toNanos(), author, 0));
            for (int attempt = 0; attempt < MAX_CHECK_RETRIES && result.reason().startsWith("only "); attempt++) {
                Thread.sleep(CHECK_RETRY_MS);
                result = store.write(new Activate(number, delay.toNanos(), author, 0));
            }
            return printResult(result, "version " + number + " is in force, " + delay.toMillis()
                    + " ms after each pooler learns of it");
        }
    }

    /** Members check a version within moments of storing it. If no majority has after these retries, it is down. */
    private static final int MAX_CHECK_RETRIES = 20, CHECK_RETRY_MS = 100;

    /** The option that names the author of a change. */
    static final class AuthorOption {
        @Option(names = "--by", paramLabel = "NAME", defaultValue = "${sys:user.name}",
                description = "Author recorded in the history (default: ${DEFAULT-VALUE}).")
        private String name;
    }

    @Command(name = "propose", mixinStandardHelpOptions = true, description = "Stores a new version based on the newest. "
            + "It is not in force until it is activated.")
    static final class ProposeCommand extends StoreClientCommand {
        @Mixin
        private AuthorOption author;

        @Option(names = "--based-on", paramLabel = "N",
                description = "The version it is based on. Refused if another has been stored since (default: the newest).")
        private Long basedOn;

        @Option(names = "--activate", description = "Also activate it, as soon as a majority has checked it.")
        private boolean activate;

        @Option(names = "--delay", paramLabel = "DURATION", defaultValue = "1s",
                converter = Commands.DurationConverter.class,
                description = "With --activate: how long each pooler waits before it switches.")
        private Duration delay;

        @Parameters(paramLabel = "FILE", description = "The policy, or a pooler's whole configuration, of which only the "
                + "settings are used.")
        private Path file;

        @Override
        int run(StoreClient store, Members members) throws IOException, InterruptedException {
            if (Files.size(file) > 2L * PolicyVersion.MAX_BYTES) {
                throw new ConfigException(file + " is larger than " + PolicyVersion.MAX_BYTES + " bytes");
            }
            String text = policyText(Files.readString(file));
            PolicyText.read(text); // rejects an invalid policy before the store is called
            long newest = history(store).newestNumber();
            long base = basedOn == null ? newest : basedOn;
            PolicyVersion version = PolicyVersion.of(base + 1, base, text, author.name);
            int exitCode = printResult(store.write(new Propose(version)), "version " + version.number() + " " + version.shortChecksum()
                    + " is stored" + (activate ? "" : "; holdmux policy activate " + version.number() + " puts it in force"));
            return exitCode != 0 || !activate ? exitCode : activate(store, version.number(), delay, author.name);
        }

        /** Extracts the settings of a whole configuration: its addresses and limits are not part of a policy. */
        private static String policyText(String content) {
            try {
                JSONObject root = new JSONObject(content);
                return root.has("listen") && root.has("settings")
                        ? new JSONObject().put("settings", root.getJSONObject("settings")).toString(2) : content;
            } catch (JSONException e) {
                throw new ConfigException("policy: " + e.getMessage());
            }
        }
    }

    @Command(name = "activate", mixinStandardHelpOptions = true, description = "Puts a stored version in force on all poolers.")
    static final class ActivateCommand extends StoreClientCommand {
        @Mixin
        private AuthorOption author;

        @Option(names = "--delay", paramLabel = "DURATION", defaultValue = "1s",
                converter = Commands.DurationConverter.class,
                description = "How long each pooler waits after it learns of the activation, so that all switch at "
                        + "about the same time (default: ${DEFAULT-VALUE}, at most 60s).")
        private Duration delay;

        @Parameters(paramLabel = "N", description = "The version.")
        private long number;

        @Override
        int run(StoreClient store, Members members) throws IOException, InterruptedException {
            return activate(store, number, delay, author.name);
        }
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true,
            description = "Puts the previous version, or the given one, in force again without delay.")
    static final class RollbackCommand extends StoreClientCommand {
        @Mixin
        private AuthorOption author;

        @Parameters(paramLabel = "N", arity = "0..1", description = "The version (default: the previously active one).")
        private Long number;

        @Override
        int run(StoreClient store, Members members) throws IOException, InterruptedException {
            if (number == null) {
                List<PolicyHistory.Activation> activations = history(store).activations();
                if (activations.size() < 2) {
                    return printResult(new EntryResult(false, "no version was in force before"), "");
                }
                number = activations.get(activations.size() - 2).number();
            }
            return activate(store, number, Duration.ZERO, author.name);
        }
    }

    @Command(name = "history", mixinStandardHelpOptions = true,
            description = "Lists versions, the members' checks of them, and activations.")
    static final class HistoryCommand extends StoreClientCommand {
        @Override
        int run(StoreClient store, Members members) throws IOException {
            PolicyHistory history = history(store);
            for (PolicyVersion version : history.versions()) {
                List<String> checks = new ArrayList<>();
                history.checks(version.number()).forEach(c -> checks.add(c.member() + (c.problem().isEmpty() ? " valid"
                        : " INVALID (" + c.problem() + ")")));
                out.println("version " + version.number() + " " + version.sha256().substring(0, 12) + " from " + version.basedOn() + " by "
                        + version.by() + (checks.isEmpty() ? "" : ": " + String.join(", ", checks)));
            }
            history.activations().forEach(a -> out.println("activation " + a.serial() + ": version " + a.number()
                    + " after " + a.delayNs() / 1_000_000 + " ms by " + a.by()));
            return 0;
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints the text of a version.")
    static final class ShowCommand extends StoreClientCommand {
        @Parameters(paramLabel = "N", description = "The version.")
        private long number;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            out.println(version(store, number).text());
            return 0;
        }
    }

    @Command(name = "diff", mixinStandardHelpOptions = true,
            description = "Shows the differences between two versions, by key.")
    static final class DiffCommand extends StoreClientCommand {
        @Parameters(index = "0", paramLabel = "N", description = "A version.")
        private long from;

        @Parameters(index = "1", arity = "0..1", paramLabel = "M", description = "Another version (default: the one in force).")
        private Long to;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            long target = to != null ? to : history(store).active().map(PolicyHistory.Activation::number).orElse(0L);
            PolicyDiff.lines(version(store, from).text(), version(store, target).text()).forEach(out::println);
            return 0;
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Shows which version is in force, and which version each pooler serves under and since when.")
    static final class StatusCommand extends StoreClientCommand {
        @Override
        int run(StoreClient store, Members members) throws IOException {
            PolicyHistory history = history(store);
            out.println(history.active().map(a -> "in force: version " + a.number() + " "
                    + history.version(a.number()).orElseThrow().sha256().substring(0, 12) + ", activation " + a.serial()
                    + " by " + a.by()).orElse("in force: none; each pooler is closed until a version is activated")
                    + "; newest stored: " + history.newestNumber());
            List<Fleet> fleets = new ArrayList<>();
            for (String member : members.names()) {
                try {
                    fleets.add(store.ask(Question.newBuilder().setFleet(Empty.getDefaultInstance()).build(), member)
                            .getFleet());
                } catch (IOException e) {
                    out.println("member " + member + " does not answer: poolers that ask it may be missing below");
                }
            }
            for (Heard heard : FleetView.merge(fleets)) {
                var standing = heard.getStanding();
                out.printf("%-24s version %d, activation %d, for %s, heard %s ago%s%n", standing.getPooler(), standing.getNumber(),
                        standing.getSerial(), formatAge(standing.getSinceMs()), formatAge(heard.getAgoMs()),
                        standing.getClosed().isEmpty() ? "" : ", CLOSED: " + standing.getClosed());
            }
            return 0;
        }

        private static String formatAge(long ms) {
            return ms < 10_000 ? ms + " ms" : ms / 1_000 + " s";
        }
    }
}
