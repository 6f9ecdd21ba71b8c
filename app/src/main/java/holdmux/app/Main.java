package holdmux.app;

import holdmux.Serve;
import holdmux.simhost.SimHost;
import java.io.IOException;
import java.util.List;

/**
 * The program's entry. The platform starts {@code serve} and {@code simhost} with nothing behind them; these two go
 * their way before the command line's library is loaded, which docs/design.md has the figures for.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(Serve.run(List.of()));
        } else if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(SimHost.run());
        }
        System.exit(Commands.run(args));
    }
}
