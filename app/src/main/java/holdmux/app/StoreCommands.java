package holdmux.app;

import holdmux.app.PolicyCommands.Asking;
import holdmux.store.raft.Members;
import holdmux.store.raft.StoreClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code holdmux store}: the members that keep the fleet's policy. */
@Command(name = "store", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "Shows and changes the members that keep the fleet's policy.",
        subcommands = {StoreCommands.StatusCommand.class, StoreCommands.MembersCommand.class,
            StoreCommands.AddCommand.class, StoreCommands.RemoveCommand.class})
final class StoreCommands {
    private StoreCommands() {}

    /** How each member that answers stands. */
    private static List<StoreClient.MemberStatus> standings(StoreClient store, boolean print) {
        List<StoreClient.MemberStatus> all = new ArrayList<>();
        for (int i = 0; i < store.knownMembers().size(); i++) { // one may tell of another
            String name = store.knownMembers().get(i);
            try {
                StoreClient.MemberStatus s = store.status(name);
                all.add(s);
                if (print) {
                    System.out.printf("%-12s %-21s %-9s committed up to %d%n", s.name(), s.address(), s.role(),
                            s.committed());
                }
            } catch (IOException e) {
                if (print) {
                    System.out.printf("%-12s does not answer: %s%n", name, e.getMessage());
                }
            }
        }
        return all;
    }

    /** The members as the one that leads has them; asked of it, since another may be behind. */
    private static TreeSet<String> current(StoreClient store) throws IOException {
        return standings(store, false).stream().filter(s -> s.role().equals("leader")).findFirst()
                .map(s -> new TreeSet<>(s.members()))
                .orElseThrow(() -> new IOException("nobody leads the store now, as when no majority of its members is up"));
    }

    /** Makes these the members, and tells them. */
    private static int put(StoreClient store, TreeSet<String> next) throws IOException {
        store.changeMembers(List.copyOf(next));
        System.out.println("members: " + String.join(",", next));
        return 0;
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Tells how each member stands; 0 if a majority of them answers and one leads.")
    static final class StatusCommand extends Asking {
        @Override
        int run(StoreClient store, Members members) {
            List<StoreClient.MemberStatus> all = standings(store, true);
            List<String> voters = all.stream().filter(s -> s.role().equals("leader")).findFirst()
                    .map(StoreClient.MemberStatus::members).orElse(List.of());
            boolean led = !voters.isEmpty();
            // who was taken out may still answer
            boolean majority = led ? 2 * all.stream().filter(s -> voters.stream().anyMatch(v -> v.startsWith(s.name() + "=")))
                    .count() > voters.size() : 2 * all.size() > members.names().size();
            out.println(majority && led ? "the store takes changes" : "the store takes no changes now: "
                    + (majority ? "nobody leads" : "no majority answers") + "; poolers serve on under what is in force");
            return majority && led ? 0 : 1;
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true, description = "Lists the members as the log has them.")
    static final class MembersCommand extends Asking {
        @Override
        int run(StoreClient store, Members members) throws IOException {
            current(store).forEach(out::println);
            return 0;
        }
    }

    @Command(name = "add", mixinStandardHelpOptions = true,
            description = "Takes a member in that has been started, on an empty folder and without --store-first.")
    static final class AddCommand extends Asking {
        @Parameters(paramLabel = "NAME=ADDRESS", description = "The new member.")
        private String added;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            TreeSet<String> next = current(store);
            next.add(added);
            return put(store, next);
        }
    }

    @Command(name = "remove", mixinStandardHelpOptions = true, description = "Takes a member out; it may be down.")
    static final class RemoveCommand extends Asking {
        @Parameters(paramLabel = "NAME", description = "The member.")
        private String removed;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            TreeSet<String> next = current(store);
            if (!next.removeIf(member -> member.startsWith(removed + "="))) {
                throw new IOException(removed + " is no member: " + String.join(",", next));
            }
            return put(store, next);
        }
    }
}
