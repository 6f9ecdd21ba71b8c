package holdmux.app;

import holdmux.Serve;
import holdmux.app.bench.FlightBench;
import holdmux.app.bench.PolicyBench;
import holdmux.app.demo.Demo;
import holdmux.app.drill.PolicyDrill;
import holdmux.app.soak.FaultSoak;
import holdmux.config.Config;
import holdmux.config.ConfigException;
import holdmux.core.Extension;
import holdmux.flight.FlightExtension;
import holdmux.simhost.SimHost;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.TypeConversionException;

/** The command line: names, options, help texts and exit codes. The commands themselves are implemented in other classes. */
@Command(name = "holdmux", description = "Pools connections and routes each request to a server of its group.",
        subcommands = {Commands.ServeCommand.class, Commands.SimHostCommand.class, Commands.DemoCommand.class,
            Commands.BenchCommand.class, Commands.DrillCommand.class, Commands.SoakCommand.class,
            PolicyCommands.class, StoreCommands.class, Commands.VersionCommand.class, HelpCommand.class},
        synopsisSubcommandLabel = "COMMAND", footer = {"", "Exit codes: 0 success, 1 failure, 2 invalid usage."})
final class Commands {
    private Commands() {}

    /** Runs one command. Returns exit code 0 for success, 1 for a failure, 2 for invalid usage. */
    static int run(String... args) {
        CommandLine commandLine = new CommandLine(new Commands()).setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("holdmux: " + e.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        });
        if (args.length == 0) {
            commandLine.usage(commandLine.getErr());
            return CommandLine.ExitCode.USAGE;
        }
        return commandLine.execute(args);
    }

    @Command(name = "serve", description = "Serves clients until SIGTERM.", mixinStandardHelpOptions = true,
            footer = {"", "Environment:",
                "  BALANCER_CONFIG      path of the configuration file, JSON (required)",
                "  BALANCER_LISTEN, BALANCER_DISCOVERY, BALANCER_MANAGEMENT, BALANCER_NAME",
                "                       override the values of the file"})
    static final class ServeCommand implements Callable<Integer> {
        @Option(names = "--flight", paramLabel = "ADDRESS", converter = AddressConverter.class,
                description = "Also serve Arrow Flight SQL at this numeric address and port, for example 127.0.0.1:32010.")
        private InetSocketAddress flight;

        @Option(names = "--flight-kinds", paramLabel = "KIND", split = ",",
                description = "Server kinds, as named by discovery, that speak Flight SQL. All others speak PostgreSQL.")
        private Set<String> flightKinds = Set.of();

        @Mixin
        private StoreFlags store;

        @Override
        public Integer call() throws IOException {
            List<Extension> extensions = new ArrayList<>();
            if (flight != null || !flightKinds.isEmpty()) {
                extensions.add(new FlightExtension(flight, flightKinds));
            }
            if (store.isEnabled()) {
                extensions.add(store.extension());
            }
            return Serve.run(extensions);
        }
    }

    /** Parses a numeric address and port. */
    static final class AddressConverter implements ITypeConverter<InetSocketAddress> {
        @Override
        public InetSocketAddress convert(String text) {
            try {
                return Config.address(text);
            } catch (ConfigException e) {
                throw new TypeConversionException(e.getMessage());
            }
        }
    }

    @Command(name = "demo", mixinStandardHelpOptions = true,
            description = "Starts a group of stand-in servers, discovery and a pooler with both fronts, and sends a small load.")
    static final class DemoCommand implements Callable<Integer> {
        @Option(names = "--for", paramLabel = "DURATION", defaultValue = "10s", converter = DurationConverter.class,
                description = "Duration of the load, for example 10s or 2m (default: ${DEFAULT-VALUE}).")
        private Duration duration;

        @Option(names = "--stay", description = "Keep serving after the load, until Ctrl-C.")
        private boolean stay;

        @Override
        public Integer call() throws Exception {
            return new Demo(duration, stay, System.out).run();
        }
    }

    @Command(name = "bench", mixinStandardHelpOptions = true,
            description = "Measures the overhead of Flight SQL, or of a fleet policy, on this machine as ratios within one run.")
    static final class BenchCommand implements Callable<Integer> {
        @Option(names = "--rounds", paramLabel = "N", defaultValue = "7",
                description = "Measured pairs of each comparison (default: ${DEFAULT-VALUE}).")
        private int rounds;

        @Parameters(arity = "0..1", defaultValue = "", paramLabel = "PART",
                description = "tables, reads, fronts, memory or policy (takes four minutes). Default: the first four.")
        private String part;

        @Override
        public Integer call() throws Exception {
            return part.equals("policy") ? new PolicyBench(Math.max(1, rounds), System.out).run()
                    : new FlightBench(Math.max(1, rounds), System.out).run(part);
        }
    }

    @Command(name = "drill", mixinStandardHelpOptions = true,
            description = "Changes the policy of a local fleet of processes under injected faults and checks its guarantees.")
    static final class DrillCommand implements Callable<Integer> {
        @Option(names = "--rounds", paramLabel = "N", defaultValue = "14",
                description = "Policy changes, each with one fault scenario (default: ${DEFAULT-VALUE}).")
        private int rounds;

        @Option(names = "--members", paramLabel = "N", defaultValue = "5",
                description = "Poolers that are voting members of the store, 3 or 5 (default: ${DEFAULT-VALUE}).")
        private int members;

        @Option(names = "--followers", paramLabel = "N", defaultValue = "5",
                description = "Poolers that only follow the store, at least 1 (default: ${DEFAULT-VALUE}).")
        private int followers;

        @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Seed of the order of fault scenarios.")
        private long seed;

        @Override
        public Integer call() throws Exception {
            try (PolicyDrill drill = new PolicyDrill(members, followers, System.out)) {
                return drill.run(rounds, seed);
            }
        }
    }

    @Command(name = "soak", mixinStandardHelpOptions = true,
            description = "Runs poolers in separate processes under random overlapping faults and checks their guarantees.")
    static final class SoakCommand implements Callable<Integer> {
        @Option(names = "--poolers", paramLabel = "N", defaultValue = "10",
                description = "Number of pooler processes, 10 to 40 (default: ${DEFAULT-VALUE}).")
        private int poolers;

        @Option(names = "--for", paramLabel = "DURATION", defaultValue = "30s", converter = DurationConverter.class,
                description = "How long faults are injected, for each seed (default: ${DEFAULT-VALUE}).")
        private Duration duration;

        @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "The first seed.")
        private long seed;

        @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "Number of consecutive seeds to run.")
        private int seeds;

        @Option(names = "--syscalls", description = "Also make the poolers' system calls on sockets fail. Needs a C compiler.")
        private boolean syscalls;

        @Override
        public Integer call() throws Exception {
            int failures = 0;
            for (int i = 0; i < seeds; i++) {
                try (FaultSoak soak = new FaultSoak(System.out)) {
                    failures += soak.run(poolers, (int) duration.toSeconds(), seed + i, syscalls).isEmpty() ? 0 : 1;
                }
            }
            System.out.println(seeds - failures + " passed, " + failures + " failed");
            return failures == 0 ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
        }
    }

    /** Parses a duration of milliseconds, seconds or minutes, such as {@code 200ms}, {@code 10s} or {@code 2m}. */
    static final class DurationConverter implements ITypeConverter<Duration> {
        @Override
        public Duration convert(String text) {
            if (!text.matches("[0-9]{1,6}(ms|s|m)")) {
                throw new TypeConversionException("invalid duration, expected a number followed by ms, s or m: " + text);
            }
            long amount = Long.parseLong(text.replaceAll("[a-z]", ""));
            return text.endsWith("ms") ? Duration.ofMillis(amount)
                    : text.endsWith("s") ? Duration.ofSeconds(amount) : Duration.ofMinutes(amount);
        }
    }

    @Command(name = "simhost", mixinStandardHelpOptions = true,
            description = "Serves the decision module to the simulator over standard input and output.")
    static final class SimHostCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return SimHost.run();
        }
    }

    @Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
    static final class VersionCommand implements Runnable {
        @Override
        public void run() {
            String version = Commands.class.getPackage().getImplementationVersion();
            System.out.println("holdmux " + (version == null ? "built from a work tree" : version));
        }
    }
}
