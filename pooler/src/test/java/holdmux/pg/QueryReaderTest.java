package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Clock;
import holdmux.core.Workers;
import holdmux.statement.BufferPool;
import holdmux.statement.BufferPool.ExhaustedException;
import holdmux.statement.QueryBuffers;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests reading while no buffer is free: a query of one buffer, and others that hold all of them. */
@Timeout(20)
class QueryReaderTest {
    private static final int QUERY_BYTES = 10_000;

    private final Clock clock = new Clock();
    private final QueryBuffers buffers = new QueryBuffers(8 * BufferPool.BUFFER_SIZE, 8 * BufferPool.BUFFER_SIZE, () -> false);
    private final List<byte[]> occupied = new ArrayList<>();
    private Socket client;
    private Socket accepted;
    private ClientInput in;

    @BeforeEach
    void connect() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            client = new Socket(listener.getInetAddress(), listener.getLocalPort());
            accepted = listener.accept();
        }
        in = new ClientInput(accepted, clock);
        in.setTimeLimits(10_000, 10_000);
        try {
            while (true) {
                occupied.add(buffers.begin(QUERY_BYTES).next(0));
            }
        } catch (ExhaustedException e) {
            // all are in use
        }
    }

    @AfterEach
    void disconnect() throws IOException {
        client.close();
        accepted.close();
    }

    /** Starts reading and returns once the reader waits for a buffer. */
    private CompletableFuture<QueryReader.Query> startReading() throws InterruptedException {
        CompletableFuture<QueryReader.Query> result = new CompletableFuture<>();
        Thread reader = Workers.newThread("reader", () -> {
            try {
                result.complete(new QueryReader(in, buffers, clock).read(QUERY_BYTES));
            } catch (IOException | ProtocolException e) {
                result.completeExceptionally(e);
            }
        });
        reader.start();
        while (reader.getState() != Thread.State.TIMED_WAITING && !result.isDone()) {
            Thread.sleep(1);
        }
        return result;
    }

    private void releaseAll() {
        occupied.forEach(buffer -> buffers.release(List.of(buffer), QUERY_BYTES));
    }

    /** Guards against a wait without limit: the query is dropped in time, and the connection is at the next message. */
    @Test
    void aQueryWithoutABufferIsReadToItsEndAndDropped() throws Exception {
        client.getOutputStream().write(new byte[QUERY_BYTES]);
        client.getOutputStream().write('X');
        long start = System.nanoTime();
        assertNull(startReading().get().text());
        assertTrue(System.nanoTime() - start < 500 * Clock.MS, "an answer is due within 0.5 s");
        assertEquals('X', in.awaitFirstByte());
    }

    /** The time that a query waited for a buffer is told with it, since its client has waited as long. */
    @Test
    void theWaitForABufferIsCounted() throws Exception {
        client.getOutputStream().write(new byte[QUERY_BYTES]);
        CompletableFuture<QueryReader.Query> reading = startReading();
        long start = System.nanoTime();
        Thread.sleep(50);
        long waitedNs = System.nanoTime() - start;
        releaseAll();
        QueryReader.Query query = reading.get();
        assertTrue(query.text() == null || query.delayNs() >= Math.min(waitedNs, 50 * Clock.MS), query.toString());
    }

    /** Guards against sending a query that waited for a buffer after its client had closed the connection. */
    @Test
    void aQueryWhoseClientLeftDuringTheWaitIsDropped() throws Exception {
        client.getOutputStream().write(new byte[QUERY_BYTES]);
        client.close();
        CompletableFuture<QueryReader.Query> reading = startReading();
        Thread.sleep(20);
        releaseAll();
        try {
            assertNull(reading.get().text());
        } catch (ExecutionException e) {
            assertInstanceOf(EOFException.class, e.getCause());
        }
    }

    /** Guards against sending a query on after its client has closed the connection, with further input unread before the close. */
    @Test
    void aQueryWhoseClientMayHaveLeftBehindFurtherInputIsDropped() throws Exception {
        client.getOutputStream().write(new byte[QUERY_BYTES + 2_000]);
        client.close();
        CompletableFuture<QueryReader.Query> reading = startReading();
        Thread.sleep(150);
        releaseAll();
        assertNull(reading.get().text());
    }

    /** Little further input is looked through: the close behind it is found at once. */
    @Test
    void aCloseBehindLittleInputIsFound() throws Exception {
        client.getOutputStream().write(new byte[QUERY_BYTES + 100]);
        client.close();
        CompletableFuture<QueryReader.Query> reading = startReading();
        Thread.sleep(20);
        releaseAll();
        try {
            assertNull(reading.get().text());
        } catch (ExecutionException e) {
            assertInstanceOf(EOFException.class, e.getCause());
        }
    }

    /** Input behind a query that waited is kept, and read in order. */
    @Test
    void inputBehindAQueryThatWaitedIsKept() throws Exception {
        client.getOutputStream().write(new byte[QUERY_BYTES]);
        client.getOutputStream().write("behind".getBytes(StandardCharsets.US_ASCII));
        CompletableFuture<QueryReader.Query> reading = startReading();
        Thread.sleep(20);
        releaseAll();
        reading.get();
        byte[] behind = new byte[6];
        behind[0] = (byte) in.awaitFirstByte();
        client.getOutputStream().write("!".getBytes(StandardCharsets.US_ASCII));
        byte[] rest = new byte[6];
        in.readFully(rest, rest.length);
        assertEquals("behind!", (char) behind[0] + new String(rest, StandardCharsets.US_ASCII));
    }
}
