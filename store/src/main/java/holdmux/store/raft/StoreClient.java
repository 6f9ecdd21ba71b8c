package holdmux.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import holdmux.store.Entry;
import holdmux.store.EntryCodec;
import holdmux.store.Quorum;
import holdmux.store.EntryResult;
import holdmux.store.wire.Answer;
import holdmux.store.wire.Question;
import java.io.Closeable;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.proto.RaftProtos.RoleInfoProto;
import org.apache.ratis.protocol.GroupInfoReply;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.StateMachineException;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * Asks the store. A question goes to the member named and to no other; what goes into the log goes to whoever leads.
 * Each call ends within its bound; a connection that failed is dropped, since the library would wait ever longer before
 * it tried that one again. For several threads.
 */
public final class StoreClient implements Closeable {
    /** Tries of one write: as many as find a new leader; between them a part of an election's time. */
    private static final int MAX_WRITE_ATTEMPTS = 12, WRITE_RETRY_MS = 250;

    /** A log is ahead of what is applied for a round trip or, where the leader has gone, until another one leads. */
    private static final int CONFIRM_TIMEOUTS = 5, CONFIRM_RETRY_MS = 30;

    /** How one member of the store stands, as it says itself. */
    public record MemberStatus(String name, String address, String role, long committed, List<String> members) {}

    /** Those that this was told of and those that members told of since. */
    private volatile Members members;
    private final long timeoutMs;
    private final long maxHoldMs;
    private final Map<String, RaftClient> clients = new HashMap<>();

    /** {@code boundMs}: how long a call may take; nothing is asked to be held. */
    public StoreClient(Members members, long timeoutMs) {
        this(members, timeoutMs, 0);
    }

    /** {@code holdMs}: the longest that a question may ask to be held, which is allowed beside the bound. */
    public StoreClient(Members members, long timeoutMs, long maxHoldMs) {
        this.members = members;
        this.timeoutMs = timeoutMs;
        this.maxHoldMs = maxHoldMs;
    }

    /** The answer of this member from its own copy, which may be behind the others': see {@link Quorum}. */
    public Answer ask(Question question, String member) throws IOException {
        Message message = Message.valueOf(ByteString.copyFrom(question.toByteArray()));
        RaftClient client = clientFor(member);
        try {
            // the blocking way: the library's asynchronous one says hello to the leader first, whoever is asked
            RaftClientReply reply = client.io().sendStaleRead(message, 0, RaftPeerId.valueOf(member));
            if (!reply.isSuccess()) {
                throw reply.getException() == null ? new IOException("no answer") : reply.getException();
            }
            Answer answer = Answer.parseFrom(reply.getMessage().getContent().toByteArray());
            addKnownMembers(answer.getMembersList());
            return answer;
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("not an answer: " + e.getMessage(), e);
        } catch (IOException e) {
            discard(member, client);
            throw e;
        }
    }

    /**
     * The answer of the member that is furthest, once a majority has answered from all of its log: nothing that was in the
     * store when this was called is missing in it.
     *
     * @throws IOException where no majority does, or that member has a problem with the question
     */
    public Answer ask(Question question) throws IOException {
        String lastFailure = "";
        long deadlineNs = System.nanoTime() + CONFIRM_TIMEOUTS * timeoutMs * 1_000_000;
        do {
            Quorum quorum = new Quorum();
            Answer freshest = null;
            for (int i = 0; i < knownMembers().size(); i++) { // an answer may tell of one more
                String member = knownMembers().get(i);
                try {
                    Answer answer = ask(question, member);
                    if (answer.getSettled()) {
                        quorum.answered(member, 0);
                        freshest = freshest == null || answer.getApplied() > freshest.getApplied() ? answer : freshest;
                    }
                } catch (IOException e) {
                    lastFailure = ": " + e.getMessage();
                }
            }
            if (freshest != null && quorum.isMajority(memberNames(freshest))) {
                if (!freshest.getProblem().isEmpty()) {
                    throw new IOException(freshest.getProblem());
                }
                return freshest;
            }
            pause(CONFIRM_RETRY_MS);
        } while (System.nanoTime() - deadlineNs < 0);
        throw new IOException("no majority of the store's members answers" + lastFailure);
    }

    /** The members of the store by name, as the answering one has them. */
    public static List<String> memberNames(Answer answer) {
        return answer.getMembersList().stream().map(member -> member.substring(0, member.indexOf('='))).toList();
    }

    /**
     * Puts an entry into the log.
     *
     * @return whether the store took it
     * @throws IOException where nobody can tell: it may have been taken, or may yet be
     */
    public EntryResult write(Entry entry) throws IOException {
        Message message = Message.valueOf(ByteString.copyFrom(EntryCodec.encode(entry)));
        RaftClient client = clientFor("");
        try {
            RaftClientReply reply = await(client.async().send(message), MAX_WRITE_ATTEMPTS * (WRITE_RETRY_MS + timeoutMs) / 2);
            String reason = reply.getMessage().getContent().toStringUtf8();
            return new EntryResult(reason.isEmpty(), reason);
        } catch (StateMachineException e) {
            return new EntryResult(false, refusalReason(e));
        } catch (IOException e) {
            discard("", client);
            throw new IOException("no majority of the store answered in time, so it is not known whether this was taken; "
                    + "the history will tell: " + e.getMessage(), e);
        }
    }

    private static String refusalReason(Throwable e) {
        String message = String.valueOf(e.getMessage());
        String prefix = PolicyStateMachine.RefusedException.class.getName() + ": ";
        int at = message.indexOf(prefix);
        String reason = at < 0 ? message : message.substring(at + prefix.length());
        return reason.lines().findFirst().orElse(reason);
    }

    /** How a member stands, asked of itself; needs no majority. */
    public MemberStatus status(String member) throws IOException {
        RaftClient client = clientFor(member);
        try {
            GroupInfoReply info = client.getGroupManagementApi(RaftPeerId.valueOf(member)).info(Members.GROUP_ID);
            RoleInfoProto role = info.getRoleInfoProto();
            List<String> listed = info.getGroup().getPeers().stream().map(Members::nameAndAddress).sorted().toList();
            addKnownMembers(listed);
            return new MemberStatus(member, role.getSelf().getAddress().replaceAll(".*@", ""),
                    role.getRole().name().toLowerCase(Locale.ROOT),
                    info.getCommitInfos().stream().filter(c -> c.getServer().getId().toStringUtf8().equals(member))
                            .mapToLong(c -> c.getCommitIndex()).findFirst().orElse(-1),
                    listed);
        } catch (IOException | RuntimeException e) {
            discard(member, client);
            throw new IOException(e.getMessage(), e); // the library lets some of gRPC's own through
        }
    }

    /** Makes these the store's members, one change at a time; returns once a majority of them holds it. */
    public void changeMembers(List<String> listed) throws IOException {
        Members next = Members.parse(String.join(",", listed));
        RaftClient client = clientFor("");
        try {
            RaftClientReply reply = client.admin().setConfiguration(next.peers());
            if (!reply.isSuccess()) {
                throw new IOException(String.valueOf(reply.getException()));
            }
        } catch (IOException e) {
            discard("", client);
            throw e;
        }
    }

    /** All members that are known by now, first those that this was told of. */
    public List<String> knownMembers() {
        return members.names();
    }

    private synchronized void addKnownMembers(Collection<String> listed) {
        members = members.plus(listed);
    }

    private static void pause(long ms) throws InterruptedIOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    private static RaftClientReply await(CompletableFuture<RaftClientReply> reply, long timeoutMs) throws IOException {
        try {
            RaftClientReply result = reply.get(timeoutMs, TimeUnit.MILLISECONDS);
            if (!result.isSuccess()) {
                throw result.getException() == null ? new IOException("no answer") : result.getException();
            }
            return result;
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            while (!(cause instanceof StateMachineException) && cause.getCause() != null) {
                cause = cause.getCause();
            }
            throw cause instanceof IOException io ? io : new IOException(String.valueOf(cause), cause);
        } catch (TimeoutException e) {
            throw new IOException("no answer within " + timeoutMs + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    private synchronized RaftClient clientFor(String member) {
        return clients.computeIfAbsent(member, m -> {
            RaftProperties properties = new RaftProperties();
            RaftClientConfigKeys.Rpc.setRequestTimeout(properties, StoreMember.millis(m.isEmpty() ? timeoutMs : timeoutMs + maxHoldMs));
            RaftClient.Builder builder = RaftClient.newBuilder().setProperties(properties).setRaftGroup(members.group());
            if (m.isEmpty()) {
                builder.setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(MAX_WRITE_ATTEMPTS,
                        StoreMember.millis(WRITE_RETRY_MS)));
            } else {
                builder.setRetryPolicy(RetryPolicies.noRetry()).setLeaderId(RaftPeerId.valueOf(m));
            }
            return builder.build();
        });
    }

    private void discard(String member, RaftClient failed) {
        synchronized (this) {
            clients.remove(member, failed);
        }
        close(failed);
    }

    private static void close(RaftClient client) {
        try {
            client.close();
        } catch (IOException e) {
            // closing is all that was wanted
        }
    }

    @Override
    public void close() {
        List<RaftClient> all;
        synchronized (this) {
            all = new ArrayList<>(clients.values());
            clients.clear();
        }
        all.forEach(StoreClient::close);
    }
}
