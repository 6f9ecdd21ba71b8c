package holdmux.pg;

import holdmux.config.Caps;
import holdmux.config.Deployment;
import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.OtherProcess;
import holdmux.core.QueryResult;
import holdmux.core.Reply;
import holdmux.core.ServerRegistry;
import holdmux.core.ServerSlots;
import holdmux.core.StatusListener;
import holdmux.core.Upstream;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.statement.BufferPool;
import holdmux.statement.Statement;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** Executes attempts and probes on servers that speak the PostgreSQL protocol. */
public final class PgUpstream implements Upstream {
    private static final byte[] PROBE_QUERY = "SHOW pressure".getBytes(StandardCharsets.US_ASCII);

    private final ServerPool servers;
    private final Clock clock;

    /** Creates the upstream with a connection pool and buffers of its own. */
    public PgUpstream(Caps caps, ServerRegistry registry, Clock clock, Deadlines deadlines, Counters counters,
            Supplier<Deployment> deployment, OtherProcess otherProcess, ServerSlots slots, StatusListener statusListener) {
        this.clock = clock;
        // a buffer pool separate from the clients', so that slow clients cannot starve the server side
        servers = new ServerPool(registry, clock, deadlines, counters,
                new BufferPool(caps.answerBytes(), otherProcess::present), deployment, slots, statusListener);
    }

    @Override
    public AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape) {
        PgResult[] result = new PgResult[1];
        Supplier<QueryMessage> query = () -> new QueryMessage(statement, () -> attempt.remainingMs(clock.now()));
        Reply reply = servers.exchange(attempt, query, Counter.SENDS_OUTDATED, answer -> {
            Reply parsedReply = answer.reply();
            if (parsedReply.outcome() == Outcome.OK) {
                result[0] = new PgResult(answer, servers);
            } else {
                servers.releaseAnswer(answer);
            }
            return parsedReply;
        });
        return new AttemptResult(reply, result[0]);
    }

    @Override
    public Reply probe(Attempt attempt) {
        return servers.exchange(attempt, () -> new QueryMessage(PROBE_QUERY), Counter.PROBES_WITHHELD, answer -> {
            servers.releaseAnswer(answer); // closes the connection of a streamed answer, which is too long for a report
            return answer.probeReply();
        });
    }

    @Override
    public void closeIdle(long serverId) {
        servers.closeAllIdle(serverId);
    }
}
