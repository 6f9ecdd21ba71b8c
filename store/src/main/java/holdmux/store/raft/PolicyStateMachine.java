package holdmux.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import holdmux.core.Log;
import holdmux.store.Entry;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.EntryCodec;
import holdmux.store.FleetView;
import holdmux.store.Forms;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyHistory.Activation;
import holdmux.store.SealedFile;
import holdmux.store.Validator;
import holdmux.store.Verdict;
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
    static final String FORM = "holdmux1";
    /** Polls that wait here at once; further ones are answered as they come. */
    private static final int MOST_WAITING = 10_000;
    private static final int MOST_HOLD_MS = 30_000;

    private record Waiting(long seenSerial, CompletableFuture<Message> answer) {}

    /** Made anew where a snapshot was put aside, as it would go on naming that one. */
    private volatile SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final Validator validator;
    private final Runnable kept;
    private final FleetView fleet = new FleetView();
    private final Set<Waiting> waiting = new LinkedHashSet<>(); // by identity: each has a future of its own
    private PolicyHistory history = PolicyHistory.EMPTY;
    private volatile String failure = "";

    /** {@code kept}: called, quick, whenever a version may have been kept. */
    PolicyStateMachine(Validator validator, Runnable kept) {
        this.validator = validator;
        this.kept = kept;
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
        load(raftStorage);
    }

    @Override
    public void reinitialize() throws IOException {
        // another member's snapshot has been put in place
        load(getServer().join().getDivision(getGroupId()).getRaftStorage());
    }

    @Override
    public SimpleStateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** The newest snapshot that is whole; one that is not is put aside, as the one before and the log behind it serve too. */
    private void load(RaftStorage raftStorage) throws IOException {
        while (true) {
            SingleFileSnapshotInfo newest = storage.loadLatestSnapshot();
            if (newest == null) {
                return;
            }
            Path file = newest.getFile().getPath();
            try {
                PolicyHistory read = Forms.history(Snapshot.parseFrom(SealedFile.read(file, FORM)));
                synchronized (this) {
                    history = read;
                    setLastAppliedTermIndex(newest.getTermIndex());
                }
                kept.run();
                return;
            } catch (SealedFile.UnfitException | InvalidProtocolBufferException | IllegalArgumentException e) {
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
        TermIndex last;
        PolicyHistory now;
        synchronized (this) {
            last = getLastAppliedTermIndex();
            now = history;
        }
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        SealedFile.write(file.toPath(), FORM, Forms.of(now, true).toByteArray());
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), last));
        return last.getIndex();
    }

    /**
     * The leader's look before an entry goes into the log: what would be refused does not. Who may not serve under a
     * version tells it later by an entry of its own; here only the leader's own program is asked.
     */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        byte[] bytes = request.getMessage().getContent().toByteArray();
        String refused;
        try {
            Entry entry = EntryCodec.decode(bytes);
            if (entry instanceof Activate a) {
                int voters = getServer().join().getDivision(getGroupId()).getRaftConf().getCurrentPeers().size();
                entry = new Activate(a.number(), a.delayNs(), a.by(), voters / 2 + 1);
                bytes = EntryCodec.encode(entry);
            }
            refused = history().check(entry).reason();
            if (refused.isEmpty() && entry instanceof Propose propose) {
                String problem = validator.problem(propose.version().text());
                refused = problem.isEmpty() ? "" : "not a valid policy: " + problem;
            }
        } catch (IllegalArgumentException e) {
            refused = e.getMessage();
        }
        TransactionContext transaction = TransactionContext.newBuilder().setStateMachine(this).setClientRequest(request)
                .setLogData(ByteString.copyFrom(bytes)).build();
        if (!refused.isEmpty()) {
            transaction.setException(new RefusedException(refused));
        }
        return transaction;
    }

    /** The store's no, in words for the operator. */
    static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1L;

        RefusedException(String words) {
            super(words);
        }
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto logged = transaction.getLogEntry();
        byte[] bytes = logged.getStateMachineLogEntry().getLogData().toByteArray();
        Verdict verdict = apply(bytes, TermIndex.valueOf(logged));
        return CompletableFuture.completedFuture(Message.valueOf(verdict.reason()));
    }

    private Verdict apply(byte[] bytes, TermIndex at) {
        Verdict verdict;
        List<Waiting> answered = List.of();
        synchronized (this) {
            try {
                Entry entry = EntryCodec.decode(bytes);
                verdict = history.check(entry);
                history = history.apply(entry);
                if (verdict.accepted() && entry instanceof Activate) {
                    answered = new ArrayList<>(waiting);
                    waiting.clear();
                }
            } catch (IllegalArgumentException e) {
                verdict = new Verdict(false, e.getMessage()); // the same bytes on every member, and so the same no
            }
            updateLastAppliedTermIndex(at);
        }
        for (Waiting poll : answered) {
            poll.answer().complete(message(news(poll.seenSerial())));
        }
        kept.run();
        return verdict;
    }

    /** From this member's own copy, whoever leads: what that is worth the asker tells by a majority of answers. */
    @Override
    public CompletableFuture<Message> query(Message request) {
        try {
            Question question = Question.parseFrom(request.getContent().toByteArray());
            return switch (question.getOfCase()) {
                case POLL -> poll(question.getPoll());
                case HISTORY -> done(answer().setHistory(Forms.of(history(), false)).build());
                case VERSION -> done(history().version(question.getVersion())
                        .map(v -> answer().setVersion(Forms.of(v)).build())
                        .orElse(problem("version " + question.getVersion() + " is not kept; the newest is "
                                + history().newest())));
                case FLEET -> {
                    synchronized (this) {
                        yield done(answer().setFleet(fleet.told(System.nanoTime())).build());
                    }
                }
                default -> done(problem("a question that this program does not know"));
            };
        } catch (InvalidProtocolBufferException e) {
            return done(problem("not a question: " + e.getMessage()));
        }
    }

    private synchronized CompletableFuture<Message> poll(Poll poll) {
        fleet.heard(poll.getStanding(), System.nanoTime());
        boolean news = history.active().map(Activation::serial).orElse(0L) > poll.getSeenSerial();
        if (news || poll.getHoldMs() == 0 || waiting.size() >= MOST_WAITING) {
            return done(news(poll.getSeenSerial()));
        }
        Waiting held = new Waiting(poll.getSeenSerial(), new CompletableFuture<>());
        waiting.add(held);
        Message none = message(news(poll.getSeenSerial()));
        return held.answer().completeOnTimeout(none, Math.min(MOST_HOLD_MS, poll.getHoldMs()), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failed) -> {
                    synchronized (this) {
                        waiting.remove(held);
                    }
                });
    }

    private synchronized Answer news(long seenSerial) {
        News.Builder news = News.newBuilder();
        history.active().ifPresent(active -> {
            news.setActive(Forms.of(active));
            if (active.serial() > seenSerial) {
                news.setVersion(Forms.of(history.version(active.number()).orElseThrow()));
            }
        });
        return answer().setNews(news).build();
    }

    /** What the answer is worth, with it; the log is looked at first, so that all it held then is in the answer. */
    private synchronized Answer.Builder answer() {
        RaftServer.Division division;
        try {
            division = getServer().join().getDivision(getGroupId());
        } catch (IOException e) {
            return Answer.newBuilder(); // the member is just ending
        }
        TermIndex logged = division.getRaftLog().getLastEntryTermIndex();
        long applied = getLastAppliedTermIndex().getIndex();
        Answer.Builder answer = Answer.newBuilder().setApplied(Math.max(0, applied))
                .setSettled(logged == null || applied >= logged.getIndex());
        division.getRaftConf().getCurrentPeers().forEach(peer -> answer.addMembers(Members.shown(peer)));
        return answer;
    }

    private Answer problem(String words) {
        return answer().setProblem(words).build();
    }

    private static Message message(Answer answer) {
        return Message.valueOf(ByteString.copyFrom(answer.toByteArray()));
    }

    private static CompletableFuture<Message> done(Answer answer) {
        return CompletableFuture.completedFuture(message(answer));
    }

    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        failure = "the log cannot be written: " + cause.getMessage();
        Log.error("store: this member's log cannot be written; it takes no further part until it is started again", cause);
    }
}
