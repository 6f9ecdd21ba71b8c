package holdmux.app;

import holdmux.Serve;
import holdmux.simhost.SimHost;
import java.io.IOException;
import java.util.List;

/**
 * The program's entry point. {@code serve} and {@code simhost} without options, as supervisors start them, run before
 * picocli is loaded, which shortens their start (figures in docs/design.md).
 */
public final class Main {
    private Main() {}

    /** Runs the command named by the first argument and exits with its exit code. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(Serve.run(List.of()));
        } else if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(SimHost.run());
        }
        System.exit(Commands.run(args));
    }
}
