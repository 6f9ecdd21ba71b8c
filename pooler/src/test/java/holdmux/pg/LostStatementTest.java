package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.RoleObserved;
import java.net.Socket;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a primary that is trusted on although it stated another role, or may have, on an exchange that did not end well. */
class LostStatementTest extends PoolerFixture {
    private static final String READ = "SELECT data FROM facts WHERE code = '7f' /* id=9b,c=my-quotes,d=400,cluster=2 */";
    private static final Consumer<MessageBuilder> STANDBY = m -> m.parameterStatus("replication_role", "standby");

    @BeforeEach
    void theServerLeads() throws Exception {
        assertEquals("hello TDCZ", ask(WRITE));
        assertEquals(List.of(Role.PRIMARY), roles());
    }

    private List<Role> roles() {
        return balancer.roles().known().stream().map(RoleObserved::role).toList();
    }

    private void awaitDoubt() {
        for (int i = 0; i < 300 && roles().equals(List.of(Role.PRIMARY)); i++) {
            sleep(10);
        }
        assertNotEquals(List.of(Role.PRIMARY), roles());
    }

    private static byte[] bytes(Consumer<MessageBuilder> composer) {
        return AnswerTest.bytes(composer);
    }

    private void answerInPieces(byte[]... script) {
        pieces = script;
        nextPiece.release();
    }

    @Test
    void aRoleStatedBeforeAnAnswerThatNeverComesCountsAtOnce() throws Exception {
        answerInPieces(bytes(STANDBY), new byte[0]);
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, READ.replace("d=400", "d=3000"));
            });
            awaitDoubt();
            assertEquals(List.of(Role.REPLICA), roles());
        }
    }

    @Test
    void aServerThatDoesNotAnswerInTimeIsDoubted() throws Exception {
        answerInPieces(new byte[0], new byte[0]);
        ask(READ);
        awaitDoubt();
    }

    @Test
    void aServerWhoseStatusDoesNotFollowItsRowIsDoubted() throws Exception {
        answerInPieces(bytes(m -> AnswerTest.result(m, "v")), new byte[0]);
        assertEquals("hello TDCZ", ask(READ));
        awaitDoubt();
    }

    @Test
    void aServerThatClosesBehindItsRowIsDoubted() throws Exception {
        answerInPieces(bytes(m -> AnswerTest.result(m, "v")), null);
        assertEquals("hello TDCZ", ask(READ));
        awaitDoubt();
    }

    @Test
    void aServerWhoseClientLeavesBeforeTheAnswerIsDoubted() throws Exception {
        answerInPieces(new byte[0], new byte[0]);
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, READ.replace("d=400", "d=3000"));
            });
            awaitAnsweredQueries(2);
        }
        awaitDoubt();
    }

    private void awaitAnsweredQueries(int count) {
        for (int i = 0; i < 300 && queries.size() < count; i++) {
            sleep(10);
        }
        assertEquals(count, queries.size());
    }

    @Test
    void aRoleStatedWhenAConnectionIsOpenedCounts() throws Exception {
        greetingRole = "standby";
        closeServerConnections();
        assertEquals("hello E53300Z", ask(READ), "the session has written, and no server is known to hold that");
        assertEquals(List.of(Role.REPLICA), roles());
    }

    @Test
    void aRoleStatedBetweenRequestsCounts() throws Exception {
        syncRole = "standby";
        answerScript = m -> AnswerTest.result(m, "v").readyForQuery();
        assertEquals("hello TDCZ", ask(READ));
        assertEquals("hello E53300Z", ask(READ), "the session has written, and no server is known to hold that");
        assertEquals(List.of(Role.REPLICA), roles());
    }
}
