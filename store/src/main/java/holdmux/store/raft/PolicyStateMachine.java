package holdmux.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import holdmux.core.Log;
import holdmux.store.ChecksummedFile;
import holdmux.store.Entry;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.EntryCodec;
import holdmux.store.EntryResult;
import holdmux.store.FleetView;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyHistory.Activation;
import holdmux.store.ProtoMapper;
import holdmux.store.Validator;
import holdmux.store.wire.Answer;
import holdmux.store.wire.News;
import holdmux.store.wire.Poll;
import holdmux.store.wire.Question;
import holdmux.store.wire.Snapshot;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.MD5FileUtil;

/**
 * The Raft state machine that holds one member's copy of the history. The rules for entries are in {@link PolicyHistory};
 * this class connects them to the log, the snapshots and the long polls of poolers.
 */
final class PolicyStateMachine extends BaseStateMachine {
    /** Magic of snapshot files; the last character is the format version. */
    static final String SNAPSHOT_MAGIC = "holdmux1";
    /** Maximum number of held polls; further ones are answered immediately. */
    private static final int MAX_WAITING_POLLS = 10_000;
    private static final int MAX_HOLD_MS = 30_000;

    private record WaitingPoll(long seenSerial, CompletableFuture<Message> answer) {}

    /** Replaced when a snapshot is set aside, because the old instance would keep returning that snapshot. */
    private volatile SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final Validator validator;
    private final Runnable onVersionKept;
    private final FleetView fleet = new FleetView();
    private final Set<WaitingPoll> waitingPolls = new LinkedHashSet<>(); // distinct by identity, as each has its own future
    private PolicyHistory history = PolicyHistory.EMPTY;
    private volatile String failure = "";

    /** @param onVersionKept called whenever a version may have been added; must return quickly */
    PolicyStateMachine(Validator validator, Runnable onVersionKept) {
        this.validator = validator;
        this.onVersionKept = onVersionKept;
    }

    synchronized PolicyHistory history() {
        return history;
    }

    /** Why this member can no longer write its log; empty while it can. */
    String failure() {
        return failure;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        loadSnapshot(raftStorage);
    }

    @Override
    public void reinitialize() throws IOException {
        // a snapshot from another member has been installed
        loadSnapshot(getServer().join().getDivision(getGroupId()).getRaftStorage());
    }

    @Override
    public SimpleStateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** Loads the newest valid snapshot. Invalid ones are renamed, since the previous one and the log after it suffice. */
    private void loadSnapshot(RaftStorage raftStorage) throws IOException {
        while (true) {
            SingleFileSnapshotInfo newest = storage.loadLatestSnapshot();
            if (newest == null) {
                return;
            }
            Path file = newest.getFile().getPath();
            try {
                PolicyHistory loaded = ProtoMapper.toHistory(Snapshot.parseFrom(ChecksummedFile.read(file, SNAPSHOT_MAGIC)));
                synchronized (this) {
                    history = loaded;
                    setLastAppliedTermIndex(newest.getTermIndex());
                }
                onVersionKept.run();
                return;
            } catch (ChecksummedFile.InvalidFileException | InvalidProtocolBufferException | IllegalArgumentException e) {
                Log.warn("store: set aside an invalid snapshot: " + e.getMessage());
                Files.move(file, file.resolveSibling("unfit-" + file.getFileName()));
                Files.deleteIfExists(MD5FileUtil.getDigestFileForFile(file.toFile()).toPath());
                storage = new SimpleStateMachineStorage();
                storage.init(raftStorage);
            }
        }
    }

    @Override
    public long takeSnapshot() throws IOException {
        TermIndex lastApplied;
        PolicyHistory current;
        synchronized (this) {
            lastApplied = getLastAppliedTermIndex();
            current = history;
        }
        File file = storage.getSnapshotFile(lastApplied.getTerm(), lastApplied.getIndex());
        ChecksummedFile.write(file.toPath(), SNAPSHOT_MAGIC, ProtoMapper.toProto(current, true).toByteArray());
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), lastApplied));
        return lastApplied.getIndex();
    }

    /**
     * Called on the leader before an entry is appended: entries that would be refused are not written to the log. A new
     * version is validated by the leader's program only; the other members report their results later as entries.
     */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        byte[] bytes = request.getMessage().getContent().toByteArray();
        String refusal;
        try {
            Entry entry = EntryCodec.decode(bytes);
            if (entry instanceof Activate a) {
                int voters = getServer().join().getDivision(getGroupId()).getRaftConf().getCurrentPeers().size();
                entry = new Activate(a.number(), a.delayNs(), a.by(), voters / 2 + 1);
                bytes = EntryCodec.encode(entry);
            }
            refusal = history().check(entry).reason();
            if (refusal.isEmpty() && entry instanceof Propose propose) {
                String problem = validator.problem(propose.version().text());
                refusal = problem.isEmpty() ? "" : "not a valid policy: " + problem;
            }
        } catch (IllegalArgumentException e) {
            refusal = e.getMessage();
        }
        TransactionContext transaction = TransactionContext.newBuilder().setStateMachine(this).setClientRequest(request)
                .setLogData(ByteString.copyFrom(bytes)).build();
        if (!refusal.isEmpty()) {
            transaction.setException(new RefusedException(refusal));
        }
        return transaction;
    }

    /**
     * A refused entry, worded for the operator. Clients recognize this class by its name in the transmitted message
     * ({@link StoreClient#write}).
     */
    static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1L;

        RefusedException(String reason) {
            super(reason);
        }
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto logEntry = transaction.getLogEntry();
        byte[] bytes = logEntry.getStateMachineLogEntry().getLogData().toByteArray();
        EntryResult result = apply(bytes, TermIndex.valueOf(logEntry));
        return CompletableFuture.completedFuture(Message.valueOf(result.reason()));
    }

    private EntryResult apply(byte[] bytes, TermIndex termIndex) {
        EntryResult result;
        List<WaitingPoll> pollsToAnswer = List.of();
        synchronized (this) {
            try {
                Entry entry = EntryCodec.decode(bytes);
                result = history.check(entry);
                history = history.apply(entry);
                if (result.accepted() && entry instanceof Activate) {
                    pollsToAnswer = new ArrayList<>(waitingPolls);
                    waitingPolls.clear();
                }
            } catch (IllegalArgumentException e) {
                result = new EntryResult(false, e.getMessage()); // deterministic: every member gets the same bytes
            }
            updateLastAppliedTermIndex(termIndex);
        }
        for (WaitingPoll poll : pollsToAnswer) {
            poll.answer().complete(toMessage(newsAnswer(poll.seenSerial())));
        }
        onVersionKept.run();
        return result;
    }

    /** Answers from this member's own copy, leader or not; clients confirm its freshness from a majority of answers. */
    @Override
    public CompletableFuture<Message> query(Message request) {
        try {
            Question question = Question.parseFrom(request.getContent().toByteArray());
            return switch (question.getOfCase()) {
                case POLL -> poll(question.getPoll());
                case HISTORY -> completed(newAnswer().setHistory(ProtoMapper.toProto(history(), false)).build());
                case VERSION -> completed(history().version(question.getVersion())
                        .map(v -> newAnswer().setVersion(ProtoMapper.toProto(v)).build())
                        .orElse(problemAnswer("version " + question.getVersion() + " does not exist; the newest is "
                                + history().newestNumber())));
                case FLEET -> {
                    synchronized (this) {
                        yield completed(newAnswer().setFleet(fleet.toFleet(System.nanoTime())).build());
                    }
                }
                default -> completed(problemAnswer("unknown question"));
            };
        } catch (InvalidProtocolBufferException e) {
            return completed(problemAnswer("malformed question: " + e.getMessage()));
        }
    }

    private synchronized CompletableFuture<Message> poll(Poll poll) {
        fleet.update(poll.getStanding(), System.nanoTime());
        boolean hasNews = history.active().map(Activation::serial).orElse(0L) > poll.getSeenSerial();
        if (hasNews || poll.getHoldMs() == 0 || waitingPolls.size() >= MAX_WAITING_POLLS) {
            return completed(newsAnswer(poll.getSeenSerial()));
        }
        WaitingPoll waitingPoll = new WaitingPoll(poll.getSeenSerial(), new CompletableFuture<>());
        waitingPolls.add(waitingPoll);
        Message unchanged = toMessage(newsAnswer(poll.getSeenSerial()));
        return waitingPoll.answer().completeOnTimeout(unchanged, Math.min(MAX_HOLD_MS, poll.getHoldMs()), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failed) -> {
                    synchronized (this) {
                        waitingPolls.remove(waitingPoll);
                    }
                });
    }

    private synchronized Answer newsAnswer(long seenSerial) {
        News.Builder news = News.newBuilder();
        history.active().ifPresent(active -> {
            news.setActive(ProtoMapper.toProto(active));
            if (active.serial() > seenSerial) {
                news.setVersion(ProtoMapper.toProto(history.version(active.number()).orElseThrow()));
            }
        });
        return newAnswer().setNews(news).build();
    }

    /** Starts an answer with its log position. The log end is read first, so {@code settled} covers all it held by then. */
    private synchronized Answer.Builder newAnswer() {
        RaftServer.Division division;
        try {
            division = getServer().join().getDivision(getGroupId());
        } catch (IOException e) {
            return Answer.newBuilder(); // the member is shutting down
        }
        TermIndex lastLogged = division.getRaftLog().getLastEntryTermIndex();
        long applied = getLastAppliedTermIndex().getIndex();
        Answer.Builder answer = Answer.newBuilder().setApplied(Math.max(0, applied))
                .setSettled(lastLogged == null || applied >= lastLogged.getIndex());
        division.getRaftConf().getCurrentPeers().forEach(peer -> answer.addMembers(Members.nameAndAddress(peer)));
        return answer;
    }

    private Answer problemAnswer(String problem) {
        return newAnswer().setProblem(problem).build();
    }

    private static Message toMessage(Answer answer) {
        return Message.valueOf(ByteString.copyFrom(answer.toByteArray()));
    }

    private static CompletableFuture<Message> completed(Answer answer) {
        return CompletableFuture.completedFuture(toMessage(answer));
    }

    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        failure = "the log cannot be written: " + cause.getMessage();
        Log.error("store: this member's log cannot be written; the member stops until it is restarted", cause);
    }
}
