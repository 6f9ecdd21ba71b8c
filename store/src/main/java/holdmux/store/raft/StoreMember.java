package holdmux.store.raft;

import holdmux.core.Log;
import holdmux.store.Entry.Checked;
import holdmux.store.EntryResult;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyVersion;
import holdmux.store.Validator;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.util.ExitUtils;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/** A voting member of the store in this process: its log, its copy of the history and its validation of each version. */
public final class StoreMember implements Closeable {
    /** Election time-out range: several round trips plus the scheduling pauses of a busy machine. */
    private static final int ELECTION_MIN_MS = 600, ELECTION_MAX_MS = 1_200;
    private static final int REQUEST_TIMEOUT_MS = 1_000;
    /** Entries between snapshots; replaying this many takes well under a second. */
    private static final int SNAPSHOT_ENTRIES = 200;
    /** A history takes a few megabytes; Ratis' defaults are sized for logs of gigabytes. */
    private static final SizeInBytes PREALLOCATED_SIZE = SizeInBytes.valueOf("64KB"), MAX_SEGMENT_SIZE = SizeInBytes.valueOf("8MB");
    private static final long CHECK_RETRY_MS = 500;

    private final String name;
    private final PolicyStateMachine stateMachine;
    private final RaftServer server;
    private final StoreClient client;
    private final Validator validator;
    private final Semaphore versionKept = new Semaphore(1);
    private volatile boolean closed;

    /**
     * Starts the member on its directory, which is created if missing.
     *
     * @param bootstrap whether an empty directory makes this an initial member of a new store. Otherwise a member with an
     *                  empty directory cannot vote until the others add it, so that one that lost its disk cannot
     *                  contradict its earlier votes
     * @throws IOException if the log cannot be read or the address is in use
     */
    public StoreMember(String name, Members members, InetSocketAddress listen, Path directory, boolean bootstrap,
            Validator validator) throws IOException {
        this.name = name;
        this.validator = validator;
        ExitUtils.disableSystemExit(); // the pooler continues without its member
        ExitUtils.setTerminateOnUncaughtException(false);
        stateMachine = new PolicyStateMachine(validator, versionKept::release);
        boolean hasLog = Files.isDirectory(directory.resolve(Members.GROUP_ID.getUuid().toString()));
        RaftGroup group = hasLog || bootstrap ? members.group() : RaftGroup.valueOf(Members.GROUP_ID, List.of());
        server = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(name)).setGroup(group).setStateMachine(stateMachine)
                .setProperties(properties(listen, directory))
                .setOption(hasLog ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT).build();
        try {
            server.start();
        } catch (IOException | RuntimeException e) {
            server.close();
            throw new IOException("member " + name + " cannot start on " + directory + ": " + e.getMessage(), e);
        }
        client = new StoreClient(members, REQUEST_TIMEOUT_MS);
        Thread checkThread = new Thread(this::runChecks, "store-checks");
        checkThread.setDaemon(true);
        checkThread.start();
    }

    private static RaftProperties properties(InetSocketAddress listen, Path directory) {
        RaftProperties p = new RaftProperties();
        GrpcConfigKeys.Server.setHost(p, listen.getAddress().getHostAddress());
        GrpcConfigKeys.Server.setPort(p, listen.getPort());
        RaftServerConfigKeys.setStorageDir(p, List.of(directory.toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(p, millis(ELECTION_MIN_MS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(p, millis(ELECTION_MAX_MS));
        RaftServerConfigKeys.Rpc.setRequestTimeout(p, millis(REQUEST_TIMEOUT_MS));
        // Ratis' metadata entries, one after each entry, would keep every log one entry ahead of the applied index
        RaftServerConfigKeys.Log.setLogMetadataEnabled(p, false);
        RaftServerConfigKeys.Log.setPreallocatedSize(p, PREALLOCATED_SIZE);
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, MAX_SEGMENT_SIZE);
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(p, true);
        RaftServerConfigKeys.Log.setPurgePreservationLogNum(p, 2 * SNAPSHOT_ENTRIES); // enough to replay from the older snapshot too
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, SNAPSHOT_ENTRIES);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, 2);
        return p;
    }

    static TimeDuration millis(long ms) {
        return TimeDuration.valueOf(ms, TimeUnit.MILLISECONDS);
    }

    /** This member's copy of the history, which may be behind the others'. */
    public PolicyHistory history() {
        return stateMachine.history();
    }

    /** Why this member has stopped; empty while it runs. */
    public String failure() {
        LifeCycle.State state = server.getLifeCycleState();
        return !stateMachine.failure().isEmpty() ? stateMachine.failure()
                : state.isClosingOrClosed() || state == LifeCycle.State.EXCEPTION ? "the Raft server is in state " + state : "";
    }

    /** Validates each new version with this member's program and writes the result to the store. */
    private void runChecks() {
        while (!closed) {
            try {
                versionKept.acquire();
                versionKept.drainPermits();
                Optional<PolicyVersion> next;
                while (!closed && (next = nextUnchecked()).isPresent()) {
                    PolicyVersion version = next.get();
                    Checked checked = new Checked(version.number(), name, validator.problem(version.text()));
                    EntryResult result = client.write(checked);
                    if (!checked.problem().isEmpty() && result.accepted()) {
                        Log.warn("store: version " + version.number() + " cannot be served here: " + checked.problem());
                    }
                    if (nextUnchecked().equals(next)) {
                        Thread.sleep(CHECK_RETRY_MS / 10); // accepted by the leader, not yet applied to this copy
                    }
                }
            } catch (IOException e) {
                pause(); // no leader, or this member is disconnected: retried later
                versionKept.release();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(CHECK_RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<PolicyVersion> nextUnchecked() {
        PolicyHistory now = stateMachine.history();
        return now.versions().stream().filter(v -> !v.isPruned()
                && now.checks(v.number()).stream().noneMatch(c -> c.member().equals(name))).findFirst();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        versionKept.release();
        client.close();
        server.close();
    }
}
