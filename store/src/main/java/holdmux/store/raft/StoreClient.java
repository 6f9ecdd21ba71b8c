package holdmux.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import holdmux.store.Entry;
import holdmux.store.EntryCodec;
import holdmux.store.Verdict;
import holdmux.store.wire.Answer;
import holdmux.store.wire.Question;
import java.io.Closeable;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.ArrayList;
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
    private static final int WRITE_TRIES = 12, WRITE_AGAIN_MS = 250;

    /** How one member of the store stands, as it says itself. */
    public record Standing(String name, String address, boolean leads, String role, long committed, List<String> members) {}

    private final Members members;
    private final long boundMs;
    private final Map<String, RaftClient> clients = new HashMap<>();

    /** {@code boundMs}: how long a call may take beside what it asks to be held. */
    public StoreClient(Members members, long boundMs) {
        this.members = members;
        this.boundMs = boundMs;
    }

    /** The answer of this member, confirmed to be of this moment or later. */
    public Answer ask(Question question, String member) throws IOException {
        long holdMs = question.hasPoll() ? question.getPoll().getHoldMs() : 0;
        Message message = Message.valueOf(ByteString.copyFrom(question.toByteArray()));
        RaftClient client = client(member);
        try {
            RaftClientReply reply = within(client.async().sendReadOnlyUnordered(message, RaftPeerId.valueOf(member)),
                    boundMs + holdMs);
            return Answer.parseFrom(reply.getMessage().getContent().toByteArray());
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("not an answer: " + e.getMessage(), e);
        } catch (IOException e) {
            drop(member, client);
            throw e;
        }
    }

    /** The answer of the first member that gives one. */
    public Answer ask(Question question) throws IOException {
        IOException last = null;
        for (String member : members.names()) {
            try {
                Answer answer = ask(question, member);
                if (!answer.getProblem().isEmpty()) {
                    throw new IOException(answer.getProblem());
                }
                return answer;
            } catch (IOException e) {
                last = e;
            }
        }
        throw new IOException("no member of the store answers, as when no majority of them is up: " + last.getMessage(), last);
    }

    /**
     * Puts an entry into the log.
     *
     * @return whether the store took it
     * @throws IOException where nobody can tell: it may have been taken, or may yet be
     */
    public Verdict write(Entry entry) throws IOException {
        Message message = Message.valueOf(ByteString.copyFrom(EntryCodec.encode(entry)));
        RaftClient client = client("");
        try {
            RaftClientReply reply = within(client.async().send(message), WRITE_TRIES * (WRITE_AGAIN_MS + boundMs) / 2);
            String reason = reply.getMessage().getContent().toStringUtf8();
            return new Verdict(reason.isEmpty(), reason);
        } catch (StateMachineException e) {
            return new Verdict(false, words(e));
        } catch (IOException e) {
            drop("", client);
            throw new IOException("no majority of the store answered in time, so it is not known whether this was taken; "
                    + "the history will tell: " + e.getMessage(), e);
        }
    }

    private static String words(Throwable e) {
        String message = String.valueOf(e.getMessage());
        String mark = PolicyStateMachine.RefusedException.class.getName() + ": ";
        int at = message.indexOf(mark);
        String words = at < 0 ? message : message.substring(at + mark.length());
        return words.lines().findFirst().orElse(words);
    }

    /** How a member stands, asked of itself; needs no majority. */
    public Standing standing(String member) throws IOException {
        RaftClient client = client(member);
        try {
            GroupInfoReply info = client.getGroupManagementApi(RaftPeerId.valueOf(member)).info(Members.GROUP);
            RoleInfoProto role = info.getRoleInfoProto();
            return new Standing(member, role.getSelf().getAddress().replaceAll(".*@", ""), role.hasLeaderInfo(),
                    role.getRole().name().toLowerCase(Locale.ROOT),
                    info.getCommitInfos().stream().filter(c -> c.getServer().getId().toStringUtf8().equals(member))
                            .mapToLong(c -> c.getCommitIndex()).findFirst().orElse(-1),
                    info.getGroup().getPeers().stream().map(Members::shown).sorted().toList());
        } catch (IOException e) {
            drop(member, client);
            throw e;
        }
    }

    /** Makes these the store's members, one change at a time; returns once a majority of them holds it. */
    public void change(List<String> shown) throws IOException {
        Members next = Members.parse(String.join(",", shown));
        RaftClient client = client("");
        try {
            RaftClientReply reply = client.admin().setConfiguration(next.peers());
            if (!reply.isSuccess()) {
                throw new IOException(String.valueOf(reply.getException()));
            }
        } catch (IOException e) {
            drop("", client);
            throw e;
        }
    }

    private static RaftClientReply within(CompletableFuture<RaftClientReply> reply, long ms) throws IOException {
        try {
            RaftClientReply got = reply.get(ms, TimeUnit.MILLISECONDS);
            if (!got.isSuccess()) {
                throw got.getException() == null ? new IOException("no answer") : got.getException();
            }
            return got;
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            while (!(cause instanceof StateMachineException) && cause.getCause() != null) {
                cause = cause.getCause();
            }
            throw cause instanceof IOException io ? io : new IOException(String.valueOf(cause), cause);
        } catch (TimeoutException e) {
            throw new IOException("no answer within " + ms + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    private synchronized RaftClient client(String member) {
        return clients.computeIfAbsent(member, m -> {
            RaftProperties properties = new RaftProperties();
            RaftClientConfigKeys.Rpc.setRequestTimeout(properties, StoreMember.ms(m.isEmpty() ? boundMs : 10 * boundMs));
            RaftClient.Builder builder = RaftClient.newBuilder().setProperties(properties).setRaftGroup(members.group());
            if (m.isEmpty()) {
                builder.setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(WRITE_TRIES,
                        StoreMember.ms(WRITE_AGAIN_MS)));
            } else {
                builder.setRetryPolicy(RetryPolicies.noRetry()).setLeaderId(RaftPeerId.valueOf(m));
            }
            return builder.build();
        });
    }

    private void drop(String member, RaftClient failed) {
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
