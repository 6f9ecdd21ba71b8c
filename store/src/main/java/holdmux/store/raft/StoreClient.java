package holdmux.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import holdmux.store.Entry;
import holdmux.store.EntryCodec;
import holdmux.store.EntryResult;
import holdmux.store.Quorum;
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
 * Client of the store. Questions go to the named member only; log entries go to the current leader. Every call has a
 * time-out. A failed connection is discarded, because the library would reconnect it with growing back-off. Thread-safe.
 */
public final class StoreClient implements Closeable {
    /** Attempts of one write, enough to outlast a leader election; the pause is a fraction of an election time-out. */
    private static final int MAX_WRITE_ATTEMPTS = 12, WRITE_RETRY_MS = 250;

    /**
     * A confirmed read retries for this many call time-outs: a member's log is ahead of its applied index for a round trip or,
     * after losing the leader, until a new one is elected.
     */
    private static final int CONFIRM_TIMEOUTS = 5, CONFIRM_RETRY_MS = 30;

    /** Status of one member as reported by itself; {@code members} lists all members as {@code name=address}. */
    public record MemberStatus(String name, String address, String role, long committed, List<String> members) {}

    /** The configured members and those learned from answers. */
    private volatile Members members;
    private final long timeoutMs;
    private final long maxHoldMs;
    private final Map<String, RaftClient> clients = new HashMap<>();

    /** @param timeoutMs how long a call may take; polls must not ask to be held */
    public StoreClient(Members members, long timeoutMs) {
        this(members, timeoutMs, 0);
    }

    /**
     * @param timeoutMs how long a call may take, beside the time for which a poll is held
     * @param maxHoldMs the longest time for which a poll may ask to be held
     */
    public StoreClient(Members members, long timeoutMs, long maxHoldMs) {
        this.members = members;
        this.timeoutMs = timeoutMs;
        this.maxHoldMs = maxHoldMs;
    }

    /** Asks one member, which answers from its own copy; it may be behind the others, see {@link Quorum}. */
    public Answer ask(Question question, String member) throws IOException {
        Message message = Message.valueOf(ByteString.copyFrom(question.toByteArray()));
        RaftClient client = clientFor(member);
        try {
            // the blocking API: Ratis' asynchronous one contacts the leader first, whichever member is asked
            RaftClientReply reply = client.io().sendStaleRead(message, 0, RaftPeerId.valueOf(member));
            if (!reply.isSuccess()) {
                throw reply.getException() == null ? new IOException("no answer") : reply.getException();
            }
            Answer answer = Answer.parseFrom(reply.getMessage().getContent().toByteArray());
            addKnownMembers(answer.getMembersList());
            return answer;
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("malformed answer: " + e.getMessage(), e);
        } catch (IOException e) {
            discard(member, client);
            throw e;
        }
    }

    /**
     * Asks all members and returns the answer with the highest applied index, once a majority has answered with its whole
     * log applied. The answer then includes everything committed before this call.
     *
     * @throws IOException if no majority does in time, or the answer reports a problem with the question
     */
    public Answer ask(Question question) throws IOException {
        String lastFailure = "";
        long deadlineNs = System.nanoTime() + CONFIRM_TIMEOUTS * timeoutMs * 1_000_000;
        do {
            Quorum quorum = new Quorum();
            Answer freshest = null;
            for (int i = 0; i < knownMembers().size(); i++) { // an answer may add a member
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
        throw new IOException("no majority of the store's members answered" + lastFailure);
    }

    /** The names of the store's members according to this answer. */
    public static List<String> memberNames(Answer answer) {
        return answer.getMembersList().stream().map(member -> member.substring(0, member.indexOf('='))).toList();
    }

    /**
     * Writes an entry to the log.
     *
     * @return whether the entry was accepted, or why not
     * @throws IOException if the outcome is unknown: the entry may have been applied, or may still be
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
            throw new IOException("no majority of the store answered in time, so the outcome is unknown; "
                    + "check the history: " + e.getMessage(), e);
        }
    }

    private static String refusalReason(Throwable e) {
        String message = String.valueOf(e.getMessage());
        String prefix = PolicyStateMachine.RefusedException.class.getName() + ": ";
        int at = message.indexOf(prefix);
        String reason = at < 0 ? message : message.substring(at + prefix.length());
        return reason.lines().findFirst().orElse(reason);
    }

    /** The status of one member, reported by itself; needs no majority. */
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
            throw new IOException(e.getMessage(), e); // Ratis lets some of gRPC's unchecked exceptions through
        }
    }

    /** Changes the store's members, one at a time; returns once a majority of them has the new configuration. */
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

    /** The names of all known members, the configured ones first. */
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
            // nothing to recover: the client is discarded
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
