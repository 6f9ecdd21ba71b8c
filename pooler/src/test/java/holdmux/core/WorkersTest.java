package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.core.Counters.Counter;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class WorkersTest {
    /** Guards against an Error silently ending a long-lived thread, which would stop discovery, the timers or reloads. */
    @Test
    void restartingThreadRestartsWorkThatThrows() throws Exception {
        Counters counters = new Counters();
        AtomicInteger starts = new AtomicInteger();
        Thread thread = Workers.restartingThread("test", counters, () -> {
            switch (starts.incrementAndGet()) {
                case 1 -> throw new StackOverflowError();
                case 2 -> throw new IllegalStateException("test");
                default -> { }
            }
        });
        thread.start();
        thread.join();
        assertEquals(3, starts.get());
        assertEquals(2, counters.get(Counter.THREAD_RESTARTS));
    }
}
