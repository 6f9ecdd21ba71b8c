package holdmux.app;

/** The command line for tests of other packages. */
public final class Cli {
    private Cli() {}

    public static int run(String... args) {
        return Commands.run(args);
    }
}
