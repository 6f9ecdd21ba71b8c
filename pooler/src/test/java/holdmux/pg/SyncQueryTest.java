package holdmux.pg;

import static holdmux.pg.AnswerTest.bytes;
import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.pg.SyncQuery.Progress;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class SyncQueryTest {
    private static final Consumer<MessageBuilder> RESPONSE = m -> m.begin('C').put(SyncQuery.COMMAND).end()
            .parameterStatus("replication_role", "standby").readyForQuery();

    private static Progress progress(byte[] bytes) {
        SyncQuery sync = new SyncQuery();
        sync.received().put(bytes);
        return sync.parse();
    }

    @Test
    void aResponseInPiecesIsCompleteWithItsLastByte() {
        byte[] response = bytes(RESPONSE);
        SyncQuery sync = new SyncQuery();
        for (int i = 0; i < response.length; i++) {
            assertEquals(Progress.PENDING, sync.parse(), "with " + i + " bytes");
            sync.received().put(response[i]);
        }
        assertEquals(Progress.COMPLETE, sync.parse());
    }

    /** Guards against reading into a full buffer, which returns 0 bytes each time, so that the thread that waits spins. */
    @Test
    void anEndlessResponseIsUnexpectedOnceTheBufferIsFull() {
        SyncQuery sync = new SyncQuery();
        while (sync.received().remaining() >= 7) {
            sync.received().put(new byte[] {'N', 0, 0, 0, 6, 0, 0});
            sync.parse();
        }
        sync.received().put(new byte[sync.received().remaining()]);
        assertEquals(Progress.UNEXPECTED, sync.parse());
    }

    /** Guards against reusing a connection on which more than the response was received, before it or behind it. */
    @Test
    void anythingBesidesTheResponseIsUnexpected() {
        Consumer<MessageBuilder> copy = m -> AnswerTest.result(m, "v").readyForQuery();
        assertEquals(Progress.UNEXPECTED, progress(bytes(copy.andThen(RESPONSE))));
        assertEquals(Progress.UNEXPECTED, progress(bytes(RESPONSE.andThen(copy))));
        assertEquals(Progress.UNEXPECTED, progress(bytes(RESPONSE.andThen(RESPONSE))));
        assertEquals(Progress.UNEXPECTED, progress(bytes(m -> m.error(false, "53300", "full", null).readyForQuery())));
        assertEquals(Progress.UNEXPECTED, progress(bytes(MessageBuilder::readyForQuery)));
        assertEquals(Progress.UNEXPECTED, progress(new byte[] {'S', 127, 0, 0, 0, 'x'}));
    }
}
