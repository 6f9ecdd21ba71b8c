package holdmux.management;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** A server that one of two leaves out is out; that the other puts it back must not undo it. */
class EffectiveOrdersTest {
    @Test
    void theOperatorsAndTheFleetsOrdersCountTogether() {
        List<Orders> put = new ArrayList<>();
        AtomicLong unixMs = new AtomicLong(100);
        EffectiveOrders both = new EffectiveOrders(put::add, unixMs::get);
        both.setPoolerOrders(Orders.NONE.exclude("s-1", 50));
        both.setFleetOrders(Set.of("s-1", "s-2"), false);
        assertEquals(new Orders(Map.of("s-1", 50L, "s-2", 100L), false), put.get(1));
        unixMs.set(200);
        both.setFleetOrders(Set.of("s-2"), true);
        assertEquals(new Orders(Map.of("s-1", 50L, "s-2", 100L), true), put.get(2), "out since it was first named");
        both.setPoolerOrders(Orders.NONE);
        assertEquals(new Orders(Map.of("s-2", 100L), true), put.get(3));
        both.setFleetOrders(Set.of(), false);
        assertEquals(Orders.NONE, put.get(4));
    }
}
