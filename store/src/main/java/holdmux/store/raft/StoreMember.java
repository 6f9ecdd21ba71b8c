package holdmux.store.raft;

import holdmux.core.Log;
import holdmux.store.Entry.Checked;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyVersion;
import holdmux.store.Validator;
import holdmux.store.EntryResult;
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

/** One voting member of the store in this process: its log, its copy of the history, and its own check of each version. */
public final class StoreMember implements Closeable {
    /** A follower that hears no leader for so long stands for election: several round trips and a busy core's pauses. */
    private static final int ELECTION_MIN_MS = 600, ELECTION_MAX_MS = 1_200;
    private static final int REQUEST_TIMEOUT_MS = 1_000;
    /** A snapshot each so many entries: a replay of that many takes well under a second. */
    private static final int SNAPSHOT_ENTRIES = 200;
    /** A history is some megabytes; the library's default sizes are for logs of gigabytes. */
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
     * Starts the member on its folder, made where there is none.
     *
     * @param first whether this begins a new store: an empty folder then counts as that of a founder. Without, a member
     *              with an empty folder has no vote until the others take it in, so that one that lost its disk cannot
     *              vote against what it had promised
     * @throws IOException where its log cannot be read or its address is taken
     */
    public StoreMember(String name, Members members, InetSocketAddress listen, Path directory, boolean bootstrap,
            Validator validator) throws IOException {
        this.name = name;
        this.validator = validator;
        ExitUtils.disableSystemExit(); // a pooler serves on without its member
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
        // entries of the library's own, each behind another, would leave every log one entry ahead of what is applied
        RaftServerConfigKeys.Log.setLogMetadataEnabled(p, false);
        RaftServerConfigKeys.Log.setPreallocatedSize(p, PREALLOCATED_SIZE);
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, MAX_SEGMENT_SIZE);
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(p, true);
        RaftServerConfigKeys.Log.setPurgePreservationLogNum(p, 2 * SNAPSHOT_ENTRIES); // behind the older snapshot too
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, SNAPSHOT_ENTRIES);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, 2);
        return p;
    }

    static TimeDuration millis(long ms) {
        return TimeDuration.valueOf(ms, TimeUnit.MILLISECONDS);
    }

    /** This member's copy of the history, which may be behind. */
    public PolicyHistory history() {
        return stateMachine.history();
    }

    /** Why this member takes no part, in words; empty while it does. */
    public String failure() {
        LifeCycle.State state = server.getLifeCycleState();
        return !stateMachine.failure().isEmpty() ? stateMachine.failure()
                : state.isClosingOrClosed() || state == LifeCycle.State.EXCEPTION ? "its log has ended: " + state : "";
    }

    /** Tells the store what this member's program finds of each version that it has not told of yet. */
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
                        Thread.sleep(CHECK_RETRY_MS / 10); // taken by the leader; this copy is a moment behind
                    }
                }
            } catch (IOException e) {
                pause(); // no leader now, or this member is cut off: the check is told later
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
