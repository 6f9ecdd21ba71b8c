package holdmux.management;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.core.Counters;
import holdmux.core.Workers;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(20)
class ManagementServerTest {
    @TempDir
    Path folder;
    private final List<Orders> applied = new ArrayList<>();
    private volatile boolean ready = true;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        Workers.newThread("management", new ManagementServer(address, operations(), new Counters())).start();
    }

    private Operations operations() {
        return new Operations(new StateFile(folder), Set.of("s-1", "s-2")::contains, () -> ready, applied::add,
                () -> { }, () -> 5);
    }

    private Socket connect() throws Exception {
        while (true) {
            try {
                return new Socket(address.getAddress(), address.getPort());
            } catch (IOException e) {
                Thread.sleep(5); // not listening yet
            }
        }
    }

    private int call(String text) throws Exception {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return status(socket);
        }
    }

    private static int status(Socket socket) throws IOException {
        String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(answer.startsWith("HTTP/1.1 "), answer);
        return Integer.parseInt(answer.substring(9, 12));
    }

    private int put(String path) throws Exception {
        return call("PUT /api/" + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}");
    }

    private Orders lastApplied() {
        return applied.get(applied.size() - 1);
    }

    /** An order is in force before it is answered, may be repeated, is undone by one call, and survives a restart. */
    @Test
    void ordersAreAppliedAndStoredBeforeTheirAnswer() throws Exception {
        assertEquals(200, put("exclude/s-1"));
        assertEquals(200, put("exclude/s-1"));
        assertEquals(200, put("exclude/s%2D2"));
        assertEquals(200, put("evacuate"));
        assertEquals(Set.of("s-1", "s-2"), lastApplied().excluded().keySet());
        operations(); // as after a restart
        assertEquals(Set.of("s-1", "s-2"), lastApplied().excluded().keySet());
        assertTrue(lastApplied().evacuated());
        assertEquals(200, put("include/s-1"));
        assertEquals(200, put("rejoin"));
        assertEquals(Set.of("s-2"), lastApplied().excluded().keySet());
        assertFalse(lastApplied().evacuated());
    }

    @Test
    void readinessDependsOnTheProcessAndItsOrders() throws Exception {
        String call = "GET /api/ready HTTP/1.1\r\n\r\n";
        assertEquals(200, call(call));
        put("evacuate");
        assertEquals(503, call(call));
        put("rejoin");
        ready = false;
        assertEquals(503, call(call));
    }

    /** Closing the connection with unread input resets it, and the caller used to lose the answer. */
    @Test
    void oversizedBodyDoesNotCutOffTheAnswer() throws Exception {
        assertEquals(413, call("PUT /api/evacuate HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" + "x".repeat(300_000)));
    }

    @Test
    void invalidCallsAreRejected() throws Exception {
        assertEquals(404, put("exclude/s-9"), "an unknown server");
        assertEquals(404, put("include/"));
        assertEquals(404, put("exclude"));
        assertEquals(404, put("nothing"));
        assertEquals(404, put("evacuate/s-1"));
        assertEquals(405, call("GET /api/evacuate HTTP/1.1\r\n\r\n"));
        assertEquals(405, call("POST /api/exclude/s-1 HTTP/1.1\r\n\r\n"));
        assertEquals(400, call("PUT /api/evacuate\r\n\r\n"));
        assertEquals(400, call("PUT /api/%zz HTTP/1.1\r\n\r\n"));
        assertEquals(400, call("PUT /api/evacuate HTTP/1.1\r\nContent-Length: -1\r\n\r\n"));
        assertEquals(1, applied.size(), "only the orders applied at the start");
    }

    /** Unfinished calls must neither delay nor block others: beyond the limit the oldest is closed. */
    @Test
    void unfinishedCallsMakeRoomForOthers() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            idle.add(connect());
            idle.get(i).getOutputStream().write('P');
        }
        long start = System.nanoTime();
        assertEquals(200, call("GET /api/ready HTTP/1.1\r\n\r\n"));
        assertTrue(System.nanoTime() - start < 800_000_000L);
        assertEquals(408, status(idle.get(19)), "the latest is answered with a time-out");
        try {
            assertEquals(-1, idle.get(0).getInputStream().read(), "the oldest was closed");
        } catch (SocketException e) {
            // its unread byte turns the close into a reset
        }
        for (Socket socket : idle) {
            socket.close();
        }
    }

    /** Garbage on the wire is rejected or the connection closed; it never applies an order. */
    @Test
    void garbageAppliesNoOrders() throws Exception {
        Random random = new Random(7);
        for (int i = 0; i < 50; i++) {
            byte[] garbage = new byte[random.nextInt(200)];
            random.nextBytes(garbage);
            try (Socket socket = connect()) {
                socket.getOutputStream().write(garbage);
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            } catch (SocketException e) {
                // closed with unread input
            }
        }
        assertEquals(1, applied.size());
    }

    /** An unreadable file must prevent neither the start of the pooler nor new orders. */
    @Test
    void unreadableFileIsIgnored() throws Exception {
        Files.writeString(folder.resolve("holdmux-orders.json"), "{\"excluded\":{\"s-1\"");
        assertEquals(Set.of(), new StateFile(folder).orders().excluded().keySet());
        assertEquals(200, put("exclude/s-2"));
        assertEquals(Set.of("s-2"), new StateFile(folder).orders().excluded().keySet());
    }
}
