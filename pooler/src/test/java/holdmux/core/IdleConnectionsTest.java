package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Counters.Counter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class IdleConnectionsTest {
    private final List<Long> closed = new ArrayList<>();

    private record FakeConnection(long serverId, InetSocketAddress address, boolean isReusable, List<Long> closed)
            implements IdleConnections.Connection {
        @Override
        public void close() {
            closed.add(serverId);
        }
    }

    private FakeConnection connectionTo(long serverId) {
        return new FakeConnection(serverId, null, true, closed);
    }

    /** Guards against idle connections to many servers using up the limit when a request needs one to another server. */
    @Test
    void longestIdleConnectionIsClosedAtTheLimit() {
        Clock clock = new Clock();
        Counters counters = new Counters();
        ServerSlots slots = new ServerSlots(2, new OtherProcess());
        IdleConnections<FakeConnection> idle = new IdleConnections<>(new ServerRegistry(List.of(), List.of()), clock,
                new Deadlines(clock), counters, slots, () -> 15_000 * Clock.MS);
        assertTrue(idle.reserve());
        assertTrue(idle.reserve());
        assertFalse(idle.reserve(), "both are in use");
        idle.keep(connectionTo(7));
        idle.keep(connectionTo(5));
        assertTrue(idle.reserve());
        assertEquals(List.of(7L), closed);
        assertTrue(idle.reserve());
        assertFalse(idle.reserve());
        assertEquals(2, slots.held());
        assertEquals(2, counters.get(Counter.OVER_CAPACITY), "not counted when an idle connection was closed");
    }
}
