package holdmux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.core.Counters.Counter;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class WorkersTest {
    /** An Error used to end the thread for good, without a line: the list, the timers or SIGHUP were never heard again. */
    @Test
    void aLastingThreadBeginsAgainWhateverItsWorkThrows() throws Exception {
        Counters counters = new Counters();
        AtomicInteger begun = new AtomicInteger();
        Thread thread = Workers.restartingThread("test", counters, () -> {
            switch (begun.incrementAndGet()) {
                case 1 -> throw new StackOverflowError();
                case 2 -> throw new IllegalStateException("test");
                default -> { }
            }
        });
        thread.start();
        thread.join();
        assertEquals(3, begun.get());
        assertEquals(2, counters.get(Counter.THREAD_RESTARTS));
    }
}
