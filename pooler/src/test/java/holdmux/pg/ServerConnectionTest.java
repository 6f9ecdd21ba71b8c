package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import holdmux.core.Clock;
import holdmux.core.Deadlines;
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
     * A server whose queue of connections is full takes no more: the kernel drops the next handshakes, as a server cut
     * off drops them, and a connect waits for minutes unless its own thread bounds it. Guards against a connect that
     * waits for another thread to close it (which on the fleet's days does not end it) and so answers its request late.
     */
    @Test
    void connectToAnUnresponsiveServerTimesOutByItself() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket silent = new ServerSocket(0, 1, loopback)) {
            InetSocketAddress address = new InetSocketAddress(loopback, silent.getLocalPort());
            fillQueue(address, queued);
            ServerConnection connection = new ServerConnection(1, address, new BufferPool(4 * BufferPool.BUFFER_SIZE, BufferPool.BUFFER_SIZE, () -> false));
            try (connection) {
                // no other thread and no deadline: only the bound given to connect can end it
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
     * An answer of messages without end fills the buffer with no room for a next one's head: reading on gave nothing for
     * ever, and the thread spun until its attempt was cut.
     */
    @Test
    void anEndlessAnswerFailsOnceTheBufferIsFull() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        byte[] notices = new byte[BufferPool.BUFFER_SIZE];
        for (int i = 0; i < notices.length; i++) {
            notices[i] = (byte) (i % 7 == 0 ? 'N' : i % 7 == 4 ? 6 : 0); // a head of five bytes and two of content
        }
        try (ServerSocket server = new ServerSocket(0, 1, loopback);
                ServerConnection connection = new ServerConnection(1,
                        new InetSocketAddress(loopback, server.getLocalPort()), new BufferPool(4 * BufferPool.BUFFER_SIZE, BufferPool.BUFFER_SIZE, () -> false))) {
            connection.connect(5_000 * Clock.MS);
            try (Socket socket = server.accept()) {
                socket.getOutputStream().write(notices);
                assertTimeoutPreemptively(Duration.ofSeconds(20), () -> assertThrows(ProtocolException.class,
                        () -> connection.receive(new ServerStatus.ReportFormat(List.of(), 0), new Deadlines(new Clock()))));
            }
        }
    }

    /** Connects until one does not come up within a short bound: from then on the server drops handshakes. */
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
        throw new IllegalStateException("the server took 64 connections with a queue of one");
    }
}
