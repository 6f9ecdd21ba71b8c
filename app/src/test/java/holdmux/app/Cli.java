package holdmux.app;

/** Gives tests in other packages access to the command line. */
public final class Cli {
    private Cli() {}

    /** Runs one command. Returns its exit code. */
    public static int run(String... args) {
        return Commands.run(args);
    }
}
