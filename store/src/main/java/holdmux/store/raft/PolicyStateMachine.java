package holdmux.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import holdmux.core.Log;
import holdmux.store.Entry;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.EntryCodec;
import holdmux.store.FleetView;
import holdmux.store.ProtoMapper;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyHistory.Activation;
import holdmux.store.ChecksummedFile;
import holdmux.store.Validator;
import holdmux.store.EntryResult;
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
 * One member's copy of the history, fed by the committed log. All that it decides stands in {@link PolicyHistory}; here
 * are the log, the snapshots and the questions that wait for news.
 */
final class PolicyStateMachine extends BaseStateMachine {
    /** The snapshot's file: what it is and, in the last place, its form. */
    static final String SNAPSHOT_MAGIC = "holdmux1";
    /** Polls that wait here at once; further ones are answered as they come. */
    private static final int MAX_WAITING_POLLS = 10_000;
    private static final int MAX_HOLD_MS = 30_000;

    private record WaitingPoll(long seenSerial, CompletableFuture<Message> answer) {}

    /** Made anew where a snapshot was put aside, as it would go on naming that one. */
    private volatile SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final Validator validator;
    private final Runnable onVersionKept;
    private final FleetView fleet = new FleetView();
    private final Set<WaitingPoll> waitingPolls = new LinkedHashSet<>(); // by identity: each has a future of its own
    private PolicyHistory history = PolicyHistory.EMPTY;
    private volatile String failure = "";

    /** {@code kept}: called, quick, whenever a version may have been kept. */
    PolicyStateMachine(Validator validator, Runnable onVersionKept) {
        this.validator = validator;
        this.onVersionKept = onVersionKept;
    }

    synchronized PolicyHistory history() {
        return history;
    }

    /** Why this member's log stands still, in words; empty while it does not. */
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
        // another member's snapshot has been put in place
        loadSnapshot(getServer().join().getDivision(getGroupId()).getRaftStorage());
    }

    @Override
    public SimpleStateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** The newest snapshot that is whole; one that is not is put aside, as the one before and the log behind it serve too. */
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
                Log.warn("store: a snapshot is put aside: " + e.getMessage());
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
     * The leader's look before an entry goes into the log: what would be refused does not. Who may not serve under a
     * version tells it later by an entry of its own; here only the leader's own program is asked.
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

    /** The store's no, in words for the operator. */
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
                result = new EntryResult(false, e.getMessage()); // the same bytes on every member, and so the same no
            }
            updateLastAppliedTermIndex(termIndex);
        }
        for (WaitingPoll poll : pollsToAnswer) {
            poll.answer().complete(toMessage(newsAnswer(poll.seenSerial())));
        }
        onVersionKept.run();
        return result;
    }

    /** From this member's own copy, whoever leads: what that is worth the asker tells by a majority of answers. */
    @Override
    public CompletableFuture<Message> query(Message request) {
        try {
            Question question = Question.parseFrom(request.getContent().toByteArray());
            return switch (question.getOfCase()) {
                case POLL -> poll(question.getPoll());
                case HISTORY -> completed(newAnswer().setHistory(ProtoMapper.toProto(history(), false)).build());
                case VERSION -> completed(history().version(question.getVersion())
                        .map(v -> newAnswer().setVersion(ProtoMapper.toProto(v)).build())
                        .orElse(problemAnswer("version " + question.getVersion() + " is not kept; the newest is "
                                + history().newestNumber())));
                case FLEET -> {
                    synchronized (this) {
                        yield completed(newAnswer().setFleet(fleet.toFleet(System.nanoTime())).build());
                    }
                }
                default -> completed(problemAnswer("a question that this program does not know"));
            };
        } catch (InvalidProtocolBufferException e) {
            return completed(problemAnswer("not a question: " + e.getMessage()));
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

    /** What the answer is worth, with it; the log is looked at first, so that all it held then is in the answer. */
    private synchronized Answer.Builder newAnswer() {
        RaftServer.Division division;
        try {
            division = getServer().join().getDivision(getGroupId());
        } catch (IOException e) {
            return Answer.newBuilder(); // the member is just ending
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
        Log.error("store: this member's log cannot be written; it takes no further part until it is started again", cause);
    }
}
