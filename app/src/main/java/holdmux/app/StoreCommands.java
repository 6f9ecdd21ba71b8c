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

/** {@code holdmux store}: shows and changes the members that replicate the fleet's policy. */
@Command(name = "store", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "Shows and changes the members that replicate the fleet's policy.",
        subcommands = {StoreCommands.StatusCommand.class, StoreCommands.MembersCommand.class,
            StoreCommands.AddCommand.class, StoreCommands.RemoveCommand.class})
final class StoreCommands {
    private StoreCommands() {}

    /** Queries the status of every known member. Members that do not answer are left out. */
    private static List<StoreClient.MemberStatus> memberStatuses(StoreClient store, boolean print) {
        List<StoreClient.MemberStatus> statuses = new ArrayList<>();
        for (int i = 0; i < store.knownMembers().size(); i++) { // an answer may add members to the list
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

    /** The members as the leader has them; any other member may lag behind. */
    private static TreeSet<String> currentMembers(StoreClient store) throws IOException {
        return memberStatuses(store, false).stream().filter(s -> s.role().equals("leader")).findFirst()
                .map(s -> new TreeSet<>(s.members()))
                .orElseThrow(() -> new IOException("the store has no leader, as when no majority of its members is up"));
    }

    /** Replaces the members and prints the new list. */
    private static int changeMembers(StoreClient store, TreeSet<String> members) throws IOException {
        store.changeMembers(List.copyOf(members));
        System.out.println("members: " + String.join(",", members));
        return 0;
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Shows the status of each member. Exits with 0 if a majority answers and there is a leader.")
    static final class StatusCommand extends StoreClientCommand {
        @Override
        int run(StoreClient store, Members members) {
            List<StoreClient.MemberStatus> statuses = memberStatuses(store, true);
            List<String> voters = statuses.stream().filter(s -> s.role().equals("leader")).findFirst()
                    .map(StoreClient.MemberStatus::members).orElse(List.of());
            boolean hasLeader = !voters.isEmpty();
            // a removed member may still answer, so only current voters count
            boolean hasMajority = hasLeader ? 2 * statuses.stream().filter(s -> voters.stream().anyMatch(v -> v.startsWith(s.name() + "=")))
                    .count() > voters.size() : 2 * statuses.size() > members.names().size();
            out.println(hasMajority && hasLeader ? "the store accepts changes" : "the store accepts no changes now: "
                    + (hasMajority ? "there is no leader" : "no majority answers") + "; poolers keep serving under the version in force");
            return hasMajority && hasLeader ? 0 : 1;
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true, description = "Lists the members recorded in the log.")
    static final class MembersCommand extends StoreClientCommand {
        @Override
        int run(StoreClient store, Members members) throws IOException {
            currentMembers(store).forEach(out::println);
            return 0;
        }
    }

    @Command(name = "add", mixinStandardHelpOptions = true,
            description = "Adds a member that has been started on an empty folder and without --store-first.")
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

    @Command(name = "remove", mixinStandardHelpOptions = true, description = "Removes a member, which may be down.")
    static final class RemoveCommand extends StoreClientCommand {
        @Parameters(paramLabel = "NAME", description = "The member to remove.")
        private String removed;

        @Override
        int run(StoreClient store, Members members) throws IOException {
            TreeSet<String> updated = currentMembers(store);
            if (!updated.removeIf(member -> member.startsWith(removed + "="))) {
                throw new IOException(removed + " is not a member; members: " + String.join(",", updated));
            }
            return changeMembers(store, updated);
        }
    }
}
