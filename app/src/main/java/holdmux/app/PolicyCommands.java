package holdmux.app;

import holdmux.config.ConfigException;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.FleetView;
import holdmux.store.ProtoMapper;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyText;
import holdmux.store.PolicyVersion;
import holdmux.store.PolicyDiff;
import holdmux.store.EntryResult;
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

/** {@code holdmux policy}: what the fleet serves under, and changes of it. Exit codes: 0 done, 1 refused or unreachable. */
@Command(name = "policy", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "Proposes, activates and shows versions of the fleet's policy.",
        subcommands = {PolicyCommands.ProposeCommand.class, PolicyCommands.ActivateCommand.class,
            PolicyCommands.RollbackCommand.class, PolicyCommands.StatusCommand.class, PolicyCommands.HistoryCommand.class,
            PolicyCommands.DiffCommand.class, PolicyCommands.ShowCommand.class})
final class PolicyCommands {
    private PolicyCommands() {}

    /** What each of these needs: the members, and how long to wait for one. */
    abstract static class Asking implements Callable<Integer> {
        @Option(names = {"-m", "--store-members"}, paramLabel = "MEMBERS", required = true,
                defaultValue = "${env:HOLDMUX_STORE_MEMBERS}",
                description = "The store's members, as n1=10.0.0.1:7001,... (or $HOLDMUX_STORE_MEMBERS).")
        private String members;

        @Option(names = "--wait", paramLabel = "DURATION", defaultValue = "2s",
                converter = Commands.DurationConverter.class,
                description = "How long one member may take to answer (default: ${DEFAULT-VALUE}).")
        private Duration wait;

        final PrintStream out = System.out;

        abstract int run(StoreClient store, Members members) throws IOException, InterruptedException;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Members all = Members.parse(members);
            try (StoreClient store = new StoreClient(all, wait.toMillis())) {
                return run(store, all);
            }
        }

        static PolicyHistory history(StoreClient store) throws IOException {
            Answer answer = store.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance()).build());
            return ProtoMapper.toHistory(answer.getHistory());
        }

        static PolicyVersion version(StoreClient store, long number) throws IOException {
            return ProtoMapper.toVersion(store.ask(Question.newBuilder().setVersion(number).build()).getVersion());
        }

        final int told(EntryResult verdict, String done) {
            out.println(verdict.accepted() ? done : "refused: " + verdict.reason());
            return verdict.accepted() ? 0 : 1;
        }

        /** Puts a version in force, giving the members a moment to check one that has just been proposed. */
        final int activate(StoreClient store, long number, Duration delay, String by)
                throws IOException, InterruptedException {
            EntryResult verdict = store.write(new Activate(number, delay.toNanos(), by, 0));
            for (int tries = 0; tries < CHECK_TRIES && verdict.reason().startsWith("only "); tries++) {
                Thread.sleep(CHECK_AGAIN_MS);
                verdict = store.write(new Activate(number, delay.toNanos(), by, 0));
            }
            return told(verdict, "version " + number + " is in force, " + delay.toMillis()
                    + " ms after each pooler hears of it");
        }
    }

    /** A majority of members checks a version within a moment of its being kept, or is not there. */
    private static final int CHECK_TRIES = 20, CHECK_AGAIN_MS = 100;

    /** Who asks, for the history. */
    static final class By {
        @Option(names = "--by", paramLabel = "NAME", defaultValue = "${sys:user.name}",
                description = "Who asks, for the history (default: ${DEFAULT-VALUE}).")
        private String by;
    }

    @Command(name = "propose", mixinStandardHelpOptions = true, description = "Keeps a new version, made from the newest. "
            + "It is not in force until it is activated.")
    static final class ProposeCommand extends Asking {
        @Mixin
        private By by;

        @Option(names = "--based-on", paramLabel = "N",
                description = "The version it was made from: refused if another has been kept since (default: the newest).")
        private Long basedOn;

        @Option(names = "--activate", description = "Puts it in force as well, as soon as a majority has checked it.")
        private boolean activate;

        @Option(names = "--delay", paramLabel = "DURATION", defaultValue = "1s",
                converter = Commands.DurationConverter.class, description = "With --activate: how long each pooler waits.")
        private Duration delay;

        @Parameters(paramLabel = "FILE", description = "The policy, or a pooler's whole configuration, of which the settings "
                + "are taken.")
        private Path file;

        @Override
        int run(StoreClient store, Members members) throws IOException, InterruptedException {
            if (Files.size(file) > 2L * PolicyVersion.MAX_BYTES) {
                throw new ConfigException(file + " is over " + PolicyVersion.MAX_BYTES + " bytes");
            }
            String text = text(Files.readString(file));
            PolicyText.read(text); // a plain word here rather than from afar
            long newest = history(store).newestNumber();
            long base = basedOn == null ? newest : basedOn;
            PolicyVersion version = PolicyVersion.of(base + 1, base, text, by.by);
            int code = told(store.write(new Propose(version)), "version " + version.number() + " " + version.shortChecksum()
                    + " is kept" + (activate ? "" : "; holdmux policy activate " + version.number() + " puts it in force"));
            return code != 0 || !activate ? code : activate(store, version.number(), delay, by.by);
        }

        /** A whole configuration has addresses and limits, which are no policy. */
        private static String text(String given) {
            try {
                JSONObject all = new JSONObject(given);
                return all.has("listen") && all.has("settings")
                        ? new JSONObject().put("settings", all.getJSONObject("settings")).toString(2) : given;
            } catch (JSONException e) {
                throw new ConfigException("policy: " + e.getMessage());
            }
        }
    }

    @Command(name = "activate", mixinStandardHelpOptions = true, description = "Puts a kept version in force everywhere.")
    static final class ActivateCommand extends Asking {
        @Mixin
        private By by;

        @Option(names = "--delay", paramLabel = "DURATION", defaultValue = "1s",
                converter = Commands.DurationConverter.class,
                description = "How long each pooler waits after it hears of it, so that all switch close together "
                        + "(default: ${DEFAULT-VALUE}, 60s at most).")
        private Duration delay;

        @Parameters(paramLabel = "N", description = "The version.")
        private long number;

        @Override
        int run(StoreClient store, Members members) throws IOException, InterruptedException {
            return activate(store, number, delay, by.by);
        }
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true,
            description = "Puts an older version in force again: the one before, or the one named; without delay.")
    static final class RollbackCommand extends Asking {
        @Mixin
        private By by;

        @Parameters(paramLabel = "N", arity = "0..1", description = "The version (default: the one in force before).")
        private Long number;

        @Override
        int run(StoreClient store, Members members) throws IOException, InterruptedException {
            if (number == null) {
                List<PolicyHistory.Activation> all = history(store).activations();
                if (all.size() < 2) {
                    return told(new EntryResult(false, "there was none in force before"), "");
                }
                number = all.get(all.size() - 2).number();
            }
            return activate(store, number, Duration.ZERO, by.by);
        }
    }

    @Command(name = "history", mixinStandardHelpOptions = true, description = "Lists versions, their checks and activations.")
    static final class HistoryCommand extends Asking {
        @Override
        int run(StoreClient store, Members members) throws IOException {
            PolicyHistory history = history(store);
            for (PolicyVersion v : history.versions()) {
                List<String> checks = new ArrayList<>();
                history.checks(v.number()).forEach(c -> checks.add(c.member() + (c.problem().isEmpty() ? " valid"
                        : " INVALID (" + c.problem() + ")")));
                out.println("version " + v.number() + " " + v.sha256().substring(0, 12) + " from " + v.basedOn() + " by "
                        + v.by() + (checks.isEmpty() ? "" : ": " + String.join(", ", checks)));
            }
            history.activations().forEach(a -> out.println("activation " + a.serial() + ": version " + a.number()
                    + " after " + a.delayNs() / 1_000_000 + " ms by " + a.by()));
            return 0;
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints the text of a version.")
    static final class ShowCommand extends Asking {
        @Parameters(paramLabel = "N", description = "The version.")
        private long number;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            out.println(version(store, number).text());
            return 0;
        }
    }

    @Command(name = "diff", mixinStandardHelpOptions = true, description = "Tells what differs between two versions, by key.")
    static final class DiffCommand extends Asking {
        @Parameters(index = "0", paramLabel = "N", description = "A version.")
        private long from;

        @Parameters(index = "1", arity = "0..1", paramLabel = "M", description = "Another (default: the one in force).")
        private Long to;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            long other = to != null ? to : history(store).active().map(PolicyHistory.Activation::number).orElse(0L);
            PolicyDiff.lines(version(store, from).text(), version(store, other).text()).forEach(out::println);
            return 0;
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Tells what is in force, and which pooler serves under which version since when.")
    static final class StatusCommand extends Asking {
        @Override
        int run(StoreClient store, Members members) throws IOException {
            PolicyHistory history = history(store);
            out.println(history.active().map(a -> "in force: version " + a.number() + " "
                    + history.version(a.number()).orElseThrow().sha256().substring(0, 12) + ", activation " + a.serial()
                    + " by " + a.by()).orElse("in force: none; each pooler is closed until a version is activated")
                    + "; newest kept: " + history.newestNumber());
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
                var s = heard.getStanding();
                out.printf("%-24s version %d, activation %d, for %s, heard %s ago%s%n", s.getPooler(), s.getNumber(),
                        s.getSerial(), seconds(s.getSinceMs()), seconds(heard.getAgoMs()),
                        s.getClosed().isEmpty() ? "" : ", CLOSED: " + s.getClosed());
            }
            return 0;
        }

        private static String seconds(long ms) {
            return ms < 10_000 ? ms + " ms" : ms / 1_000 + " s";
        }
    }
}
