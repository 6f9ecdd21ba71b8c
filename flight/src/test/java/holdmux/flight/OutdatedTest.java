package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Services;
import holdmux.core.Upstream.Attempted;
import holdmux.core.Value;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.standins.StandIns;
import holdmux.statement.Statement;
import holdmux.statement.Text;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(40)
class OutdatedTest {
    /** A read whose data has grown too old while its connection came up is planned, but not fetched nor served. */
    @Test
    void aReadIsNotFetchedThatNoLongerStands() throws Exception {
        try (Rig rig = new Rig(StandIns.FLIGHT_KIND)) {
            Services services = rig.pooler.services();
            byte[] sql = "SELECT data FROM facts WHERE code = 'k' /* id=r1,c=history,d=1500,cluster=1 */"
                    .getBytes(StandardCharsets.UTF_8);
            int[] asked = new int[1];
            Attempt attempt = new Attempt(store("s-2"), 0, services.clock().now(), 1_500 * Clock.MS, () -> asked[0]++ == 0);
            Attempted ended = rig.part.upstream(services).attempt(attempt, Statement.parse(Text.of(sql, sql.length)),
                    Value.Form.TABLE);
            assertEquals(Outcome.RESET, ended.reply().outcome());
            assertNull(ended.value());
            assertEquals(1, services.counters().get(Counter.SENDS_OUTDATED));
            assertEquals(Map.of(), rig.standIns.group().runs());
        }
    }

    /** The number that a server has by its name alone. */
    private static long store(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
