package holdmux.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Workers;
import holdmux.statement.BufferPool.ExhaustedException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class QueryBuffersTest {
    private static final int SIZE = BufferPool.BUFFER_SIZE;
    /** Sizes in buffers; the first two of each message are ordinary, the rest has to be reserved. */
    private static final int BUDGET = 36, LONGEST = 16, ORDINARY_SHARE = 3, ORDINARY_BUFFERS = 2;
    private static final long NO_WAIT = 0, LONG_WAIT_NS = 10_000_000_000L;

    private final boolean[] halved = {false};
    private final QueryBuffers buffers = new QueryBuffers(BUDGET * SIZE, LONGEST * SIZE, () -> halved[0]);

    /** Takes buffers for a message of this many until there are none; returns those taken. */
    private List<byte[]> take(int count) {
        QueryBuffers.Message message = buffers.begin(count * SIZE);
        List<byte[]> taken = new ArrayList<>();
        try {
            while (taken.size() < count) {
                taken.add(message.next(NO_WAIT));
            }
        } catch (ExhaustedException e) {
            // as many as there are
        }
        return taken;
    }

    private int takeOrdinary() {
        int taken = 0;
        while (take(1).size() == 1) {
            taken++;
        }
        return taken;
    }

    /** Guards against long messages that hold up ordinary ones, which waited without limit and were never answered. */
    @Test
    void longMessagesLeaveOrdinaryOnesTheirShare() {
        assertEquals(LONGEST, take(LONGEST).size());
        assertEquals(LONGEST, take(LONGEST).size());
        List<byte[]> third = take(LONGEST);
        assertEquals(ORDINARY_BUFFERS, third.size());
        buffers.release(third, LONGEST * SIZE);
        assertEquals(BUDGET - 2 * LONGEST, takeOrdinary());
        assertTrue(BUDGET - 2 * LONGEST >= ORDINARY_SHARE);
    }

    /** Guards against ordinary messages that take all buffers, so that no long one is completed. */
    @Test
    void ordinaryMessagesLeaveRoomForALongOne() {
        List<byte[]> begun = take(ORDINARY_BUFFERS);
        assertEquals(BUDGET - LONGEST, takeOrdinary());
        buffers.release(begun, ORDINARY_BUFFERS * SIZE);
        assertEquals(LONGEST, take(LONGEST).size());
    }

    /** A message that has begun its long part is completed, however slowly; others fail in time rather than wait without limit. */
    @Test
    void aMessageWithAReservationIsCompleted() throws Exception {
        QueryBuffers.Message slow = buffers.begin(LONGEST * SIZE);
        List<byte[]> ofSlow = new ArrayList<>();
        for (int i = 0; i <= ORDINARY_BUFFERS; i++) {
            ofSlow.add(slow.next(NO_WAIT));
        }
        assertEquals(LONGEST, take(LONGEST).size());
        QueryBuffers.Message third = buffers.begin(LONGEST * SIZE);
        for (int i = 0; i < ORDINARY_BUFFERS; i++) {
            third.next(NO_WAIT);
        }
        assertThrows(ExhaustedException.class, () -> third.next(1_000_000));
        while (ofSlow.size() < LONGEST) {
            ofSlow.add(slow.next(NO_WAIT));
        }
        buffers.release(ofSlow, LONGEST * SIZE);
        assertEquals(SIZE, third.next(NO_WAIT).length);
    }

    /** Guards against a reservation that is kept when a message is given up, which would shut out long messages for good. */
    @Test
    void aMessageThatIsGivenUpLeavesNothingBehind() throws Exception {
        for (int held = 0; held <= LONGEST; held++) {
            QueryBuffers.Message message = buffers.begin(LONGEST * SIZE);
            List<byte[]> parts = new ArrayList<>();
            while (parts.size() < held) {
                parts.add(message.next(NO_WAIT));
            }
            buffers.release(parts, LONGEST * SIZE);
        }
        assertEquals(LONGEST, take(LONGEST).size());
        assertEquals(LONGEST, take(LONGEST).size());
        assertEquals(BUDGET - 2 * LONGEST, takeOrdinary());
    }

    /** While another process shares the budget, the longest message and the ordinary share fit. */
    @Test
    void aHalvedBudgetFitsTheLongestMessage() {
        halved[0] = true;
        assertEquals(LONGEST, take(LONGEST).size());
        assertEquals(ORDINARY_BUFFERS, take(LONGEST).size());
    }

    /** Guards against a deadlock between long messages that are all partly read when the budget is exhausted. */
    @Test
    void partlyReadMessagesDoNotDeadlock() throws Exception {
        CountDownLatch completed = new CountDownLatch(6);
        CountDownLatch halfway = new CountDownLatch(1);
        for (int i = 0; i < 6; i++) {
            Workers.newThread("reader", () -> {
                try {
                    QueryBuffers.Message message = buffers.begin(LONGEST * SIZE);
                    List<byte[]> parts = new ArrayList<>();
                    parts.add(message.next(LONG_WAIT_NS));
                    halfway.await();
                    while (parts.size() < LONGEST) {
                        parts.add(message.next(LONG_WAIT_NS));
                    }
                    buffers.release(parts, LONGEST * SIZE);
                    completed.countDown();
                } catch (ExhaustedException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }).start();
        }
        halfway.countDown();
        assertTrue(completed.await(10, TimeUnit.SECONDS));
    }
}
