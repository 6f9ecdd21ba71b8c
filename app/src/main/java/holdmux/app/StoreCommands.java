package holdmux.app;

import holdmux.app.PolicyCommands.StoreClientCommand;
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
    private static List<StoreClient.MemberStatus> memberStatuses(StoreClient store, boolean print) {
        List<StoreClient.MemberStatus> statuses = new ArrayList<>();
        for (int i = 0; i < store.knownMembers().size(); i++) { // one may tell of another
            String name = store.knownMembers().get(i);
            try {
                StoreClient.MemberStatus status = store.status(name);
                statuses.add(status);
                if (print) {
                    System.out.printf("%-12s %-21s %-9s committed up to %d%n", status.name(), status.address(), status.role(),
                            status.committed());
                }
            } catch (IOException e) {
                if (print) {
                    System.out.printf("%-12s does not answer: %s%n", name, e.getMessage());
                }
            }
        }
        return statuses;
    }

    /** The members as the one that leads has them; asked of it, since another may be behind. */
    private static TreeSet<String> currentMembers(StoreClient store) throws IOException {
        return memberStatuses(store, false).stream().filter(s -> s.role().equals("leader")).findFirst()
                .map(s -> new TreeSet<>(s.members()))
                .orElseThrow(() -> new IOException("nobody leads the store now, as when no majority of its members is up"));
    }

    /** Makes these the members, and tells them. */
    private static int changeMembers(StoreClient store, TreeSet<String> members) throws IOException {
        store.changeMembers(List.copyOf(members));
        System.out.println("members: " + String.join(",", members));
        return 0;
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Tells how each member stands; 0 if a majority of them answers and one leads.")
    static final class StatusCommand extends StoreClientCommand {
        @Override
        int run(StoreClient store, Members members) {
            List<StoreClient.MemberStatus> statuses = memberStatuses(store, true);
            List<String> voters = statuses.stream().filter(s -> s.role().equals("leader")).findFirst()
                    .map(StoreClient.MemberStatus::members).orElse(List.of());
            boolean hasLeader = !voters.isEmpty();
            // who was taken out may still answer
            boolean hasMajority = hasLeader ? 2 * statuses.stream().filter(s -> voters.stream().anyMatch(v -> v.startsWith(s.name() + "=")))
                    .count() > voters.size() : 2 * statuses.size() > members.names().size();
            out.println(hasMajority && hasLeader ? "the store takes changes" : "the store takes no changes now: "
                    + (hasMajority ? "nobody leads" : "no majority answers") + "; poolers serve on under what is in force");
            return hasMajority && hasLeader ? 0 : 1;
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true, description = "Lists the members as the log has them.")
    static final class MembersCommand extends StoreClientCommand {
        @Override
        int run(StoreClient store, Members members) throws IOException {
            currentMembers(store).forEach(out::println);
            return 0;
        }
    }

    @Command(name = "add", mixinStandardHelpOptions = true,
            description = "Takes a member in that has been started, on an empty folder and without --store-first.")
    static final class AddCommand extends StoreClientCommand {
        @Parameters(paramLabel = "NAME=ADDRESS", description = "The new member.")
        private String added;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            TreeSet<String> updated = currentMembers(store);
            updated.add(added);
            return changeMembers(store, updated);
        }
    }

    @Command(name = "remove", mixinStandardHelpOptions = true, description = "Takes a member out; it may be down.")
    static final class RemoveCommand extends StoreClientCommand {
        @Parameters(paramLabel = "NAME", description = "The member.")
        private String removed;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            TreeSet<String> updated = currentMembers(store);
            if (!updated.removeIf(member -> member.startsWith(removed + "="))) {
                throw new IOException(removed + " is no member: " + String.join(",", updated));
            }
            return changeMembers(store, updated);
        }
    }
}
