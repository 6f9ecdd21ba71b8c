package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Deadlines;
import holdmux.core.IdleConnections.Readiness;
import holdmux.core.ServerStatus;
import holdmux.statement.BufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerConnectionTest {
    /**
     * When a server's accept queue is full, the kernel drops further handshakes, just as for an unreachable server, and a connect
     * without its own time-out blocks for minutes. Guards against a connect that relies on another thread closing the channel,
     * which does not always interrupt it, so that the request is answered late.
     */
    @Test
    void connectToAnUnresponsiveServerTimesOutByItself() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 1, loopback)) {
            InetSocketAddress address = new InetSocketAddress(loopback, silent.getLocalPort());
            fillQueue(address, queued);
            ServerConnection connection = new ServerConnection(1, address,
                    new BufferPool(4 * BufferPool.BUFFER_SIZE, () -> false), status -> { });
            try (connection) {
                // without another thread or a deadline, only the time-out passed to connect can end it
                assertTimeoutPreemptively(Duration.ofSeconds(20),
                        () -> assertThrows(SocketTimeoutException.class, () -> connection.connect(200 * Clock.MS)));
            }
        } finally {
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /**
     * An endless sequence of messages fills the buffer until there is no room for the next header. Guards against reading into
     * the full buffer, which returns 0 bytes each time, so that the thread spins until its attempt is aborted.
     */
    @Test
    void anEndlessAnswerFailsOnceTheBufferIsFull() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        byte[] notices = new byte[BufferPool.BUFFER_SIZE];
        for (int i = 0; i < notices.length; i++) {
            notices[i] = (byte) (i % 7 == 0 ? 'N' : i % 7 == 4 ? 6 : 0); // a header of five bytes and two bytes of content
        }
        try (ServerSocket server = new ServerSocket(0, 1, loopback);
                ServerConnection connection = new ServerConnection(1,
                        new InetSocketAddress(loopback, server.getLocalPort()),
                        new BufferPool(4 * BufferPool.BUFFER_SIZE, () -> false), status -> { })) {
            connection.connect(5_000 * Clock.MS);
            try (Socket socket = server.accept()) {
                socket.getOutputStream().write(notices);
                assertTimeoutPreemptively(Duration.ofSeconds(20), () -> assertThrows(ProtocolException.class,
                        () -> connection.receive(new ServerStatus.ReportFormat(List.of(), 0), new Deadlines(new Clock()),
                                status -> { })));
            }
        }
    }

    /** Guards against writing a request to a connection that its server has closed, unseen behind the last response. */
    @Test
    void aConnectionClosedBehindItsSyncResponseIsNotReady() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket server = new ServerSocket(0, 1, loopback);
                ServerConnection connection = new ServerConnection(1, new InetSocketAddress(loopback, server.getLocalPort()),
                        new BufferPool(4 * BufferPool.BUFFER_SIZE, () -> false), status -> { })) {
            connection.connect(5_000 * Clock.MS);
            byte[] text = {'q'};
            assertTrue(connection.send(new QueryMessage(text), new Attempt(1, 0, 0, 1, () -> true), new Deadlines(new Clock())));
            assertTrue(connection.synchronize());
            assertFalse(connection.isSynchronized());
            try (Socket socket = server.accept()) {
                socket.getInputStream().readNBytes(new QueryMessage(text).length() + SyncQuery.message().remaining());
                MessageBuilder response = new MessageBuilder(new byte[64]).begin('C').put(SyncQuery.COMMAND).end().readyForQuery();
                response.writeTo(socket.getOutputStream());
            }
            assertEquals(Readiness.BROKEN, connection.readiness());
        }
    }

    /** Opens connections until one times out: the accept queue is full then, and further handshakes are dropped. */
    private static void fillQueue(InetSocketAddress address, List<Socket> queued) throws IOException {
        for (int i = 0; i < 64; i++) {
            Socket socket = new Socket();
            try {
                socket.connect(address, 200);
                queued.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return;
            }
        }
        throw new IllegalStateException("the server accepted 64 connections with a queue of one");
    }
}
