package holdmux.store.host;

import holdmux.store.raft.Members;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;

/**
 * What a pooler is told of the store.
 *
 * @param members the voting members that this pooler asks
 * @param id      the member that this pooler is itself; null for a pooler that only follows
 * @param listen  where that member listens; null for its address among the members
 * @param folder  where the log and the last good version are kept
 * @param first   whether an empty folder begins a new store
 * @param bound   how long this pooler may serve a version that it cannot confirm
 */
public record StoreOptions(Members members, String memberId, InetSocketAddress listenAddress, Path directory, boolean bootstrap,
        Duration stalenessBound) {
    /** An election takes up to two seconds, in which nobody can confirm anything: a shorter bound closes the fleet then. */
    public static final Duration MIN_STALENESS_BOUND = Duration.ofSeconds(3);
}
