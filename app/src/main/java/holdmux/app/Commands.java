package holdmux.app;

import holdmux.Serve;
import holdmux.simhost.SimHost;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The command line: names, options, help and exit codes; what a command does stands elsewhere. */
@Command(name = "holdmux", description = "Routes each request to the one server of its group that may answer it.",
        subcommands = {Commands.ServeCommand.class, Commands.SimHostCommand.class, Commands.VersionCommand.class,
            HelpCommand.class},
        synopsisSubcommandLabel = "COMMAND", footer = {"", "Exit codes: 0 done, 1 a fault, 2 wrong usage."})
final class Commands {
    private Commands() {}

    /** Runs one command; the exit code is 0 when done, 1 for a fault, 2 for wrong usage. */
    static int run(String... args) {
        CommandLine line = new CommandLine(new Commands()).setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("holdmux: " + e.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        });
        if (args.length == 0) {
            line.usage(line.getErr());
            return CommandLine.ExitCode.USAGE;
        }
        return line.execute(args);
    }

    @Command(name = "serve", description = "Serves clients until SIGTERM.", mixinStandardHelpOptions = true,
            footer = {"", "Environment:",
                "  BALANCER_CONFIG      the configuration, a JSON file (needed)",
                "  BALANCER_LISTEN, BALANCER_DISCOVERY, BALANCER_MANAGEMENT, BALANCER_NAME",
                "                       have the last word over the file"})
    static final class ServeCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return Serve.run(List.of());
        }
    }

    @Command(name = "simhost", mixinStandardHelpOptions = true,
            description = "Plays the decisions on the simulator's wire, from standard input to standard output.")
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
