package holdmux.pg;

import holdmux.config.Deployment;
import holdmux.core.ServerStatus;
import holdmux.decision.ReadWriteSplitter;
import holdmux.decision.SplitterApi.Action;
import holdmux.decision.SplitterApi.Answered;
import holdmux.decision.SplitterApi.Arrived;
import holdmux.decision.SplitterApi.Availability;
import holdmux.decision.SplitterApi.Event;
import holdmux.decision.SplitterApi.ListChanged;
import holdmux.decision.SplitterApi.ListMode;
import holdmux.decision.SplitterApi.Listing;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.Transmit;
import holdmux.decision.SplitterApi.Wakeup;
import holdmux.statement.BufferPool;
import holdmux.statement.ChunkedText;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs the parsers and a separate decision module on synthetic input before the first client is accepted, so that the JIT
 * compiler has seen the hot code: with cold code on half a core, requests in the first second missed their deadlines. Uses no
 * socket and no server.
 */
final class JitWarmUp {
    /** The first JIT tier compiles a method after 200 calls and a loop after a few thousand iterations. */
    private static final int ITERATIONS = 1_500;
    private static final long MS = 1_000_000L;
    private static final int GROUP = 0, SERVERS = 5;

    private JitWarmUp() {}

    /** Returns the number of answers parsed and requests sent, so that the compiler cannot eliminate the work as dead code. */
    static int run(Deployment deployment) throws ProtocolException, StatementException {
        return warmUpParsers(deployment) + warmUpModule(deployment);
    }

    private static int warmUpParsers(Deployment deployment) throws ProtocolException, StatementException {
        byte[] query = ("SELECT data FROM facts WHERE code = '7f3a9c21e0b4d655' /* id=9b1f03aa5c7e2d41,c="
                + deployment.classes().get(0) + ",d=480,cluster=0 */").getBytes(StandardCharsets.UTF_8);
        byte[] buffer = new byte[BufferPool.BUFFER_SIZE];
        MessageBuilder answer = new MessageBuilder(buffer).begin('T').putShort(1).put("data").put(0).putShort(0).put(17).putShort(-1)
                .put(-1).putShort(1).end().begin('D').putShort(1).put(query.length).put(query, 0, query.length).end()
                .begin('C').put("SELECT 1").end().parameterStatus("replication_role", "standby")
                .parameterStatus("log_position", "1767225600123")
                .parameterStatus("pressure", "x0=1767225599.5,x1=0,inflight=7,util=0.61").readyForQuery();
        int answerLength = answer.bytes().remaining();
        ServerStatus.ReportFormat reportFormat = ServerStatus.ReportFormat.of(deployment);
        int parsedCount = 0;
        for (int i = 0; i < ITERATIONS; i++) {
            Statement statement = Statement.parse(ChunkedText.of(query, query.length));
            parsedCount += new QueryMessage(statement, () -> statement.timeoutMs).tail() != null ? 0 : 1;
            Answer parsedAnswer = new Answer(buffer, reportFormat);
            parsedCount += parsedAnswer.parse(answerLength) && parsedAnswer.reply().outcome() == Outcome.OK ? 1 : 0;
        }
        return parsedCount;
    }

    private static int warmUpModule(Deployment deployment) {
        ReadWriteSplitter module = new ReadWriteSplitter(deployment.settings(), 1);
        List<Listing> listings = new ArrayList<>();
        for (int serverId = 1; serverId <= SERVERS; serverId++) {
            listings.add(new Listing(serverId, GROUP, 0, 0, Availability.READY, serverId == 1, 0, 1));
        }
        long now = deployment.settings().zeroNs() + 60_000 * MS;
        List<Action> actions = new ArrayList<>();
        module.handle(now, List.of(new ListChanged(ListMode.CACHED, 1, listings)), actions::add);
        int sendCount = 0;
        for (int id = 1; id <= ITERATIONS; id++) {
            now += 5 * MS;
            actions.clear();
            Event arrived = new Arrived(id, id % deployment.classes().size(), false, 400 * MS, 0, 0, id % 100 + 1, 0, GROUP);
            module.handle(now, List.of(arrived), actions::add);
            module.handle(now, List.of(new Wakeup(1)), actions::add);
            for (Action action : List.copyOf(actions)) {
                if (action instanceof Transmit transmit) {
                    sendCount++;
                    Role role = transmit.store() == 1 ? Role.PRIMARY : Role.REPLICA;
                    module.handle(now, List.of(new Answered(transmit.id(), transmit.store(), 0, true, Outcome.OK, MS, role,
                            now - MS, new float[deployment.reportFields().size()])), actions::add);
                }
            }
        }
        return sendCount;
    }
}
