package holdmux.store.host;

import holdmux.store.raft.Members;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;

/**
 * A pooler's settings for the policy store.
 *
 * @param members        the voting members to poll
 * @param memberId       the name of the member that this pooler runs; null for a pooler that runs none
 * @param listenAddress  where that member listens; null for its address in {@code members}
 * @param directory      where the log and the last good version are stored
 * @param bootstrap      whether an empty directory starts a new store
 * @param stalenessBound how long this pooler may serve a version that it cannot confirm
 */
public record StoreOptions(Members members, String memberId, InetSocketAddress listenAddress, Path directory, boolean bootstrap,
        Duration stalenessBound) {
    /** A leader election takes up to two seconds without confirmations; a shorter bound would close the fleet meanwhile. */
    public static final Duration MIN_STALENESS_BOUND = Duration.ofSeconds(3);
}
