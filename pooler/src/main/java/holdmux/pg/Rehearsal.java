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
import holdmux.statement.Buffers;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import holdmux.statement.Text;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs the parsers and a module of its own over made-up input before the first client comes. A virtual machine starts
 * with cold code: on half a core the requests of its first second came too late. Touches no socket and no server.
 */
final class Rehearsal {
    /** The first compiler tier takes a method up after 200 calls, a loop after some thousand turns. */
    private static final int ROUNDS = 1_500;
    private static final long MS = 1_000_000L;
    private static final int GROUP = 0, MEMBERS = 5;

    private Rehearsal() {}

    /** Returns what was sent and parsed, so that none of it is idle work to the compiler. */
    static int run(Deployment deployment) throws ProtocolException, StatementException {
        return parsers(deployment) + module(deployment);
    }

    private static int parsers(Deployment deployment) throws ProtocolException, StatementException {
        byte[] query = ("SELECT data FROM facts WHERE code = '7f3a9c21e0b4d655' /* id=9b1f03aa5c7e2d41,c="
                + deployment.classes().get(0) + ",d=480,cluster=0 */").getBytes(StandardCharsets.UTF_8);
        byte[] buffer = new byte[Buffers.SIZE];
        Message answer = new Message(buffer).begin('T').putShort(1).put("data").put(0).putShort(0).put(17).putShort(-1)
                .put(-1).putShort(1).end().begin('D').putShort(1).put(query.length).put(query, 0, query.length).end()
                .begin('C').put("SELECT 1").end().parameterStatus("replication_role", "standby")
                .parameterStatus("log_position", "1767225600123")
                .parameterStatus("pressure", "x0=1767225599.5,x1=0,inflight=7,util=0.61").readyForQuery();
        int length = answer.bytes().remaining();
        ServerStatus.Form form = ServerStatus.Form.of(deployment);
        int parsed = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Statement statement = Statement.parse(Text.of(query, query.length));
            parsed += PgUpstream.query(statement.text(statement.waitMs)).size() > 0 ? 0 : 1;
            Answer heard = new Answer(buffer, form);
            parsed += heard.parse(length) && heard.reply().outcome() == Outcome.OK ? 1 : 0;
        }
        return parsed;
    }

    private static int module(Deployment deployment) {
        ReadWriteSplitter module = new ReadWriteSplitter(deployment.settings(), 1);
        List<Listing> lines = new ArrayList<>();
        for (int store = 1; store <= MEMBERS; store++) {
            lines.add(new Listing(store, GROUP, 0, 0, Availability.READY, store == 1, 0, 1));
        }
        long now = deployment.settings().zeroNs() + 60_000 * MS;
        List<Action> actions = new ArrayList<>();
        module.handle(now, List.of(new ListChanged(ListMode.CACHED, 1, lines)), actions::add);
        int sends = 0;
        for (int id = 1; id <= ROUNDS; id++) {
            now += 5 * MS;
            actions.clear();
            Event arrived = new Arrived(id, id % deployment.classes().size(), false, 400 * MS, 0, 0, id % 100 + 1, 0, GROUP);
            module.handle(now, List.of(arrived), actions::add);
            module.handle(now, List.of(new Wakeup(1)), actions::add);
            for (Action action : List.copyOf(actions)) {
                if (action instanceof Transmit send) {
                    sends++;
                    Role role = send.store() == 1 ? Role.PRIMARY : Role.REPLICA;
                    module.handle(now, List.of(new Answered(send.id(), send.store(), 0, true, Outcome.OK, MS, role,
                            now - MS, new float[deployment.reportFields().size()])), actions::add);
                }
            }
        }
        return sends;
    }
}
