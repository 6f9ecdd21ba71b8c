package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.QueryResult;
import holdmux.core.Services;
import holdmux.core.Upstream.AttemptResult;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.RoleObserved;
import holdmux.standins.StandIns;
import holdmux.statement.ChunkedText;
import holdmux.statement.Statement;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a read is not sent once the decision to send it is outdated. */
@Timeout(40)
class OutdatedReadTest {
    /** If the data became too old while the connection was established, the read is planned but neither fetched nor served. */
    @Test
    void outdatedReadIsNotFetched() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            Services services = fixture.pooler.services();
            byte[] sql = "SELECT data FROM facts WHERE code = 'k' /* id=r1,c=history,d=1500,cluster=1 */"
                    .getBytes(StandardCharsets.UTF_8);
            int[] checks = new int[1];
            Attempt attempt = new Attempt(serverId("s-2"), 0, services.clock().now(), 1_500 * Clock.MS, () -> checks[0]++ == 0);
            AttemptResult attempted = fixture.extension.upstream(services).attempt(attempt, Statement.parse(ChunkedText.of(sql, sql.length)),
                    QueryResult.Shape.TABLE);
            assertEquals(Outcome.RESET, attempted.reply().outcome());
            assertNull(attempted.queryResult());
            assertEquals(1, services.counters().get(Counter.SENDS_OUTDATED));
            assertEquals(Map.of(), fixture.standIns.group().runCounts());
        }
    }

    /** Guards against a read that is given up since its plan took long, although the plan itself stated all that the read needs. */
    @Test
    void whatAPlanStatesIsKnownWhenItsReadIsCheckedAgain() throws Exception {
        try (FlightFixture fixture = new FlightFixture(StandIns.FLIGHT_KIND)) {
            Services services = fixture.pooler.services();
            byte[] sql = "SELECT data FROM facts WHERE code = 'k' /* id=r1,c=history,d=1500,cluster=1 */"
                    .getBytes(StandardCharsets.UTF_8);
            List<List<Role>> rolesAtChecks = new ArrayList<>();
            Attempt attempt = new Attempt(serverId("s-1"), 0, services.clock().now(), 1_500 * Clock.MS,
                    () -> rolesAtChecks.add(services.balancer().roles().known().stream().map(RoleObserved::role).toList()));
            fixture.extension.upstream(services).attempt(attempt, Statement.parse(ChunkedText.of(sql, sql.length)),
                    QueryResult.Shape.TABLE).queryResult().close();
            assertEquals(List.of(List.of(), List.of(Role.PRIMARY)), rolesAtChecks);
        }
    }

    /** A server's id, derived from its name. */
    private static long serverId(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
