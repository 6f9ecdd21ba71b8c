package holdmux.pg;

import holdmux.config.Caps;
import holdmux.config.Deployment;
import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Fleet;
import holdmux.core.Reply;
import holdmux.core.ServerSlots;
import holdmux.core.Shared;
import holdmux.core.Upstream;
import holdmux.core.Value;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.statement.Buffers;
import holdmux.statement.Statement;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** The servers that speak PostgreSQL's protocol: attempts and probes as its messages. */
public final class PgUpstream implements Upstream {
    private static final byte[] PROBE = "SHOW pressure".getBytes(StandardCharsets.US_ASCII);

    private final ServerPool servers;

    public PgUpstream(Caps caps, Fleet fleet, Clock clock, Deadlines deadlines, Counters counters,
            Supplier<Deployment> deployment, Shared shared, ServerSlots slots) {
        // buffers apart from the clients', so that slow clients cannot starve the servers' side
        servers = new ServerPool(fleet, clock, deadlines, counters,
                new Buffers(caps.answerBytes(), Buffers.SIZE, shared::present), deployment, slots);
    }

    @Override
    public Attempted attempt(Attempt attempt, Statement statement, Value.Form wanted) {
        PgValue[] served = new PgValue[1];
        long limitMs = Math.max(1, attempt.limitNs / Clock.MS);
        Reply reply = servers.talk(attempt, query(statement.text(limitMs)), Counter.SENDS_OUTDATED, answer -> {
            Reply heard = answer.reply();
            if (heard.outcome() == Outcome.OK) {
                served[0] = new PgValue(answer, servers);
            } else {
                servers.giveBack(answer);
            }
            return heard;
        });
        return new Attempted(reply, served[0]);
    }

    @Override
    public Reply probe(Attempt attempt) {
        return servers.talk(attempt, query(List.of(ByteBuffer.wrap(PROBE))), Counter.PROBES_WITHHELD, answer -> {
            servers.giveBack(answer); // an endless one goes with its connection: no report is that long
            return answer.probeReply();
        });
    }

    /** The message of a simple query with this text. */
    static List<ByteBuffer> query(List<ByteBuffer> text) {
        int length = Integer.BYTES + text.stream().mapToInt(ByteBuffer::remaining).sum() + 1;
        List<ByteBuffer> parts = new ArrayList<>();
        parts.add(ByteBuffer.allocate(Message.HEAD).put((byte) 'Q').putInt(length).flip());
        parts.addAll(text);
        parts.add(ByteBuffer.wrap(new byte[1]));
        return parts;
    }

    @Override
    public void closeIdle(long store) {
        servers.closeAllIdle(store);
    }
}
