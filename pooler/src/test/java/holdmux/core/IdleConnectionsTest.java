package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.config.HostList;
import holdmux.core.Counters.Counter;
import holdmux.core.IdleConnections.Readiness;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class IdleConnectionsTest {
    private final List<Long> closed = new ArrayList<>();

    private record FakeConnection(long serverId, InetSocketAddress address, Readiness readiness, List<Long> closed)
            implements IdleConnections.Connection {
        @Override
        public void close() {
            closed.add(serverId);
        }
    }

    /** Guards against using a connection before its last exchange has ended while another is ready, and against opening a new one. */
    @Test
    void aReadyConnectionIsPreferredToOneThatHasToBeWaitedFor() {
        Clock clock = new Clock();
        ServerRegistry registry = new ServerRegistry(List.of(), List.of());
        long server = registry.apply(HostList.decode("{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s-1\","
                + "\"dial\":\"127.0.0.1:5433\",\"block\":2,\"health\":\"up\"}]}"), false).lines().get(0).store();
        IdleConnections<FakeConnection> idle = new IdleConnections<>(registry, clock, new Deadlines(clock), new Counters(),
                new ServerSlots(9, new OtherProcess()), () -> 15_000 * Clock.MS);
        List<FakeConnection> kept = new ArrayList<>();
        for (Readiness readiness : List.of(Readiness.READY, Readiness.NOT_YET, Readiness.NOT_YET, Readiness.BROKEN)) {
            kept.add(new FakeConnection(server, registry.address(server), readiness, closed));
            idle.keep(kept.get(kept.size() - 1));
        }
        assertSame(kept.get(0), idle.take(server));
        assertEquals(List.of(server), closed, "the broken one");
        assertSame(kept.get(1), idle.take(server), "the one that was used first will be ready first");
        assertSame(kept.get(2), idle.take(server));
        assertNull(idle.take(server));
    }

    private FakeConnection connectionTo(long serverId) {
        return new FakeConnection(serverId, null, Readiness.READY, closed);
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
