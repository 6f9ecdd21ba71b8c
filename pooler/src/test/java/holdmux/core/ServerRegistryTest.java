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

    /** A list that is older than the drain, from an agent that lags or after numbers began anew, says nothing against it. */
    @Test
    void anOlderListUndoesNoDrain() {
        assertEquals(Availability.READY, applyAndGet(list(41, true, Availability.READY, 0)));
        assertEquals(Availability.DRAINING, applyAndGet(list(43, false, Availability.DRAINING, 0)));
        assertEquals(Availability.DRAINING, applyAndGet(list(42, true, Availability.READY, 0)), "an older list");
        assertEquals(Availability.DRAINING, applyAndGet(list(42, true, Availability.READY, 0)), "told once more");
        assertEquals(Availability.READY, applyAndGet(list(44, true, Availability.READY, 0)), "news that came after it");
    }

    /** The same of a removal; a server that started after it is a new one. */
    @Test
    void anOlderListBringsNoRemovedServerBack() {
        long store = registry.apply(list(41, true, Availability.READY, 5), false).lines().get(0).store();
        assertEquals(Availability.GONE, applyAndGet(list(43, false, Availability.GONE, 0)));
        assertEquals(Availability.GONE, applyAndGet(list(42, true, Availability.READY, 5)), "an older list");
        assertNull(registry.address(store));
        assertEquals(Availability.READY, applyAndGet(list(42, true, Availability.READY, 6)), "it started anew since");
    }
}
