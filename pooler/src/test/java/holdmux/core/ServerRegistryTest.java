package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import holdmux.config.HostList;
import holdmux.config.HostList.Host;
import holdmux.decision.SplitterApi.Availability;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerRegistryTest {
    private final ServerRegistry registry = new ServerRegistry(List.of("north"), List.of("std"));

    private static HostList list(long seq, boolean whole, Availability health, long bornMs) {
        InetSocketAddress dial = health == Availability.GONE ? null : new InetSocketAddress("127.0.0.1", 5500);
        return new HostList(seq, whole, List.of(new Host("s-1", dial, "north", "std", 2, health, 1, bornMs, false)));
    }

    private Availability applyAndGet(HostList list) {
        return registry.apply(list, false).lines().get(0).availability();
    }

    /** A list older than the drain, from a lagging agent or after version numbers restarted, must not undo it. */
    @Test
    void olderListDoesNotUndoDrain() {
        assertEquals(Availability.READY, applyAndGet(list(41, true, Availability.READY, 0)));
        assertEquals(Availability.DRAINING, applyAndGet(list(43, false, Availability.DRAINING, 0)));
        assertEquals(Availability.DRAINING, applyAndGet(list(42, true, Availability.READY, 0)), "an older list");
        assertEquals(Availability.DRAINING, applyAndGet(list(42, true, Availability.READY, 0)), "an older list, repeated");
        assertEquals(Availability.READY, applyAndGet(list(44, true, Availability.READY, 0)), "a newer list");
    }

    /** An older list must not undo a removal either, unless the server has started since. */
    @Test
    void olderListDoesNotRestoreRemovedServer() {
        long serverId = registry.apply(list(41, true, Availability.READY, 5), false).lines().get(0).store();
        assertEquals(Availability.GONE, applyAndGet(list(43, false, Availability.GONE, 0)));
        assertEquals(Availability.GONE, applyAndGet(list(42, true, Availability.READY, 5)), "an older list");
        assertNull(registry.address(serverId));
        assertEquals(Availability.READY, applyAndGet(list(42, true, Availability.READY, 6)), "it has started since");
    }
}
