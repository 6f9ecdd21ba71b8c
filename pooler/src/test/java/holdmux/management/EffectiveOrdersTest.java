package holdmux.management;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** A server stays excluded as long as either the operators or the fleet's policy exclude it. */
class EffectiveOrdersTest {
    @Test
    void combinesTheOrdersOfOperatorsAndFleet() {
        List<Orders> applied = new ArrayList<>();
        AtomicLong unixMs = new AtomicLong(100);
        EffectiveOrders orders = new EffectiveOrders(applied::add, unixMs::get);
        orders.setPoolerOrders(Orders.NONE.exclude("s-1", 50));
        orders.setFleetOrders(Set.of("s-1", "s-2"), false);
        assertEquals(new Orders(Map.of("s-1", 50L, "s-2", 100L), false), applied.get(1));
        unixMs.set(200);
        orders.setFleetOrders(Set.of("s-2"), true);
        assertEquals(new Orders(Map.of("s-1", 50L, "s-2", 100L), true), applied.get(2), "excluded since the policy first named it");
        orders.setPoolerOrders(Orders.NONE);
        assertEquals(new Orders(Map.of("s-2", 100L), true), applied.get(3));
        orders.setFleetOrders(Set.of(), false);
        assertEquals(Orders.NONE, applied.get(4));
    }
}
