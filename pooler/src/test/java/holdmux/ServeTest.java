package holdmux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.config.ConfigTest;
import holdmux.core.Front;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the pooler as a separate process and checks its reaction to signals. */
class ServeTest {
    private static ServerSocket agent() throws IOException {
        return new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
    }

    /** Answers the first call with an empty list and stays silent afterwards. Returns the request line of the call. */
    private static String answerOnce(ServerSocket agent) throws IOException {
        Socket socket = agent.accept();
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        String request = in.readLine();
        String body = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8));
        return request;
    }

    private static String config(ServerSocket agent, int port) {
        return ConfigTest.sample().replace("127.0.0.1:8500", "127.0.0.1:" + agent.getLocalPort())
                .replace("127.0.0.1:5433", "127.0.0.1:" + port);
    }

    /** An unhandled SIGHUP would end the virtual machine; handled, the discovery agent of the new file is asked for its whole list. */
    @Test
    @Timeout(30)
    void sighupReloadsDiscoveryAddress(@TempDir Path directory) throws Exception {
        int port = freePort();
        Path file = directory.resolve("config.json");
        try (ServerSocket first = agent(); ServerSocket second = agent()) {
            Files.writeString(file, config(first, port));
            Process pooler = serve(directory, file, "log", freePort());
            try {
                assertEquals("GET /v1/endpoints HTTP/1.1", answerOnce(first), "the agent's whole list is in effect at once");
                Files.writeString(file, "{");
                sendSighup(pooler);
                Thread.sleep(300); // two signals in quick succession would be merged into one
                Files.writeString(file, config(second, port));
                sendSighup(pooler);
                assertEquals("GET /v1/endpoints HTTP/1.1", answerOnce(second));
                assertTrue(pooler.isAlive());
                pooler.destroy(); // SIGTERM
                assertTrue(pooler.waitFor(10, TimeUnit.SECONDS));
                String log = Files.readString(directory.resolve("log"));
                assertTrue(log.contains("the old one stays") && log.contains("reloads=1 reloads_refused=1"), log);
            } finally {
                pooler.destroyForcibly();
            }
        }
    }

    /** Under nohup the virtual machine receives no SIGHUP; operators must learn that from the log, not from stale settings. */
    @Test
    @Timeout(30)
    void warnsWhenSighupIsIgnored(@TempDir Path directory) throws Exception {
        try (ServerSocket agent = agent()) {
            Path file = directory.resolve("config.json");
            Files.writeString(file, config(agent, freePort()));
            ProcessBuilder builder = processBuilder(directory, file, "log", freePort());
            builder.command().addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
            Process pooler = builder.start();
            try {
                answerOnce(agent);
            } finally {
                pooler.destroyForcibly().waitFor();
            }
            assertTrue(Files.readString(directory.resolve("log")).contains("started with SIGHUP ignored"));
        }
    }

    /** A log output that is not read used to block every thread that wrote to it, the discovery watch among them. */
    @Test
    @Timeout(40)
    void unreadLogBlocksNoThread(@TempDir Path directory) throws Exception {
        int port = freePort();
        Path file = directory.resolve("config.json");
        try (ServerSocket agent = agent()) {
            Files.writeString(file, config(agent, port));
            Process pooler = processBuilder(directory, file, "log", freePort()).redirectOutput(ProcessBuilder.Redirect.PIPE).start();
            try {
                String longName = "x".repeat(200);
                agent.setSoTimeout(10_000); // if no more calls come, the test fails instead of hanging
                for (int seq = 42; seq < 42 + 600; seq++) { // a pipe holds 64 KiB
                    answer(agent, seq, longName);
                }
            } finally {
                pooler.destroyForcibly();
            }
        }
    }

    /** Answers one call with a list of one draining server of the given name. */
    private static void answer(ServerSocket agent, int seq, String host) throws IOException {
        try (Socket socket = agent.accept()) {
            new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8)).readLine();
            String body = "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[{\"host\":\"" + host
                    + "\",\"dial\":\"127.0.0.1:1\",\"block\":2,\"health\":\"draining\"}]}";
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = agent()) {
            return free.getLocalPort();
        }
    }

    private static Process serve(Path directory, Path file, String log, int management) throws IOException {
        return processBuilder(directory, file, log, management).start();
    }

    private static ProcessBuilder processBuilder(Path directory, Path file, String log, int management) {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "holdmux.Serve");
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_MANAGEMENT", "127.0.0.1:" + management);
        builder.environment().put("TMPDIR", directory.toString());
        return builder.redirectErrorStream(true).redirectOutput(directory.resolve(log).toFile());
    }

    /** The HTTP status of a call to the management address; retries until it accepts connections. */
    private static int callManagement(int port, String request) throws Exception {
        while (true) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.getOutputStream().write((request + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                return Integer.parseInt(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                        .substring(9, 12));
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    /** A second process takes over from the first, which ends at SIGTERM; an order given to one of them applies to both. */
    @Test
    @Timeout(40)
    void newerProcessTakesOverFromOlder(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("config.json");
        int[] management = {freePort(), freePort()};
        try (ServerSocket agent = agent()) {
            Files.writeString(file, config(agent, freePort()));
            Process older = serve(directory, file, "older", management[0]);
            Process newer = null;
            try {
                while (callManagement(management[0], "GET /api/ready") != 200) {
                    Thread.sleep(20);
                }
                newer = serve(directory, file, "newer", management[1]);
                while (callManagement(management[1], "GET /api/ready") != 200) {
                    Thread.sleep(20);
                }
                assertEquals(200, callManagement(management[1], "PUT /api/exclude/s-1"));
                assertEquals(200, callManagement(management[0], "PUT /api/evacuate"));
                assertEquals(503, callManagement(management[1], "GET /api/ready"));
                older.destroy(); // SIGTERM
                assertTrue(older.waitFor(10, TimeUnit.SECONDS));
                assertTrue(newer.isAlive());
                assertEquals(200, callManagement(management[1], "PUT /api/include/s-1"));
                assertEquals(200, callManagement(management[1], "PUT /api/rejoin"));
                assertEquals(200, callManagement(management[1], "GET /api/ready"));
            } finally {
                older.destroyForcibly();
                if (newer != null) {
                    newer.destroyForcibly();
                }
            }
        }
    }

    /** Guards against a backlog at the start: requests accepted while the code was cold had passed their deadline when they were read. */
    @Test
    void listensAfterWarmUpAndSync() throws IOException {
        List<String> steps = new ArrayList<>();
        Serve.start(() -> steps.add("warmUp"), () -> steps.add("sync"), () -> steps.add("listen"));
        assertEquals(List.of("warmUp", "sync", "listen"), steps);
    }

    /** SIGTERM before the start has reached listening: clients that connected after it used to be cut off by the exit. */
    @Test
    void doesNotListenAfterSigterm() throws Exception {
        List<String> calls = new ArrayList<>();
        Front front = (Front) Proxy.newProxyInstance(Front.class.getClassLoader(), new Class<?>[] {Front.class},
                (proxy, method, args) -> calls.add(method.getName()) ? null : null);
        Thread.currentThread().interrupt(); // in production listen() then blocks until the drain ends the process
        assertThrows(InterruptedException.class, () -> Serve.listen(front, new AtomicBoolean(true)));
        assertEquals(List.of(), calls);
        Serve.listen(front, new AtomicBoolean(false));
        assertEquals(List.of("listen"), calls);
    }

    private static void sendSighup(Process pooler) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(pooler.pid())).start().waitFor());
    }
}
