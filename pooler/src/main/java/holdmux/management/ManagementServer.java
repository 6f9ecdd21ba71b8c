package holdmux.management;

import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.DeadlineInputStream;
import holdmux.core.Log;
import holdmux.core.Workers;
import holdmux.discovery.HttpHead;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Serves the operators' HTTP/1.1 API at an address of its own, with one call per connection. It shares neither threads nor
 * deadlines with client traffic, so that load does not delay calls. Unfinished calls are closed to make room for new ones.
 */
public final class ManagementServer implements Runnable {
    /** The most concurrent calls, enough for a few operators and their scripts; their sockets come from the descriptors left spare. */
    private static final int MAX_CALLS = 16;
    /** The time within which a request must be complete; callers wait for 1 s. */
    private static final int CALL_TIMEOUT_MS = 2_000;
    /** How long the caller is given to close the connection after its answer. */
    private static final int LINGER_MS = 100;
    /** The delay after a failed accept or bind, too short for an operator to notice. */
    private static final int RETRY_DELAY_MS = 200;
    /** Calls need no body. One of up to this size is read and discarded, so that it does not reset the connection. */
    private static final int MAX_BODY = 65_536;

    /** The HTTP status of an answer and its message. */
    private record Result(int status, String message) {}

    private final InetSocketAddress address;
    private final Operations operations;
    private final Counters counters;
    /** The connections of the calls in progress, the oldest first. */
    private final Set<Socket> calls = new LinkedHashSet<>();

    /** Creates a server; {@link #run} starts it. */
    public ManagementServer(InetSocketAddress address, Operations operations, Counters counters) {
        this.address = address;
        this.operations = operations;
        this.counters = counters;
    }

    /** Listens for the lifetime of the process. The address may still be in use by an older process, so binding is retried. */
    @Override
    public void run() {
        boolean warned = false;
        while (true) {
            try (ServerSocket server = new ServerSocket()) {
                server.setReuseAddress(true);
                server.bind(address);
                Log.info("management at " + address);
                while (true) {
                    startCall(server.accept());
                }
            } catch (IOException e) {
                if (!warned) {
                    Log.warn("management cannot listen at " + address + ": " + e.getMessage());
                }
                warned = true;
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startCall(Socket socket) {
        Socket oldest = null;
        synchronized (calls) {
            calls.add(socket);
            if (calls.size() > MAX_CALLS) {
                oldest = calls.iterator().next();
                calls.remove(oldest);
            }
        }
        close(oldest);
        try {
            Workers.newThread("management call", () -> handle(socket)).start();
        } catch (OutOfMemoryError e) {
            finish(socket); // no thread could be created: the caller may try again
        }
    }

    private void handle(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            Result result = readAndExecute(new BufferedInputStream(new DeadlineInputStream(socket, CALL_TIMEOUT_MS)));
            counters.count(result.status < 300 ? Counter.MANAGEMENT_CALLS : Counter.MANAGEMENT_REFUSED);
            String body = "{\"status\":\"" + result.message + "\"}\n";
            socket.getOutputStream().write(("HTTP/1.1 " + result.status + " " + reason(result.status)
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                    + "\r\nConnection: close\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            linger(socket);
        } catch (IOException e) {
            counters.count(Counter.MANAGEMENT_REFUSED); // the caller disconnected, or its unfinished call was closed
        } finally {
            finish(socket);
        }
    }

    /**
     * Ends the output and reads the rest of a refused request. Closing a socket with unread input resets the connection, and the
     * caller may lose the answer.
     */
    private static void linger(Socket socket) {
        byte[] discarded = new byte[1_024];
        try {
            socket.shutdownOutput();
            InputStream rest = new DeadlineInputStream(socket, LINGER_MS);
            while (rest.read(discarded) >= 0) {
                // discarded
            }
        } catch (IOException e) {
            // timed out or disconnected
        }
    }

    private Result readAndExecute(InputStream in) throws IOException {
        try {
            HttpHead head = HttpHead.read(in);
            String[] parts = head.startLine().split(" ");
            if (parts.length != 3 || !parts[2].matches("HTTP/1\\.[01]")) {
                return new Result(400, "not an HTTP/1.1 request");
            }
            long body = Math.max(0, head.contentLength());
            if (body > MAX_BODY || head.headers().containsKey("transfer-encoding")) {
                return new Result(413, "request body too large or chunked");
            }
            in.skipNBytes(body);
            return execute(parts[0], path(parts[1]));
        } catch (SocketTimeoutException e) {
            return new Result(408, "timed out waiting for the rest of the request");
        } catch (IOException | URISyntaxException e) {
            return new Result(400, "malformed request");
        }
    }

    private static String path(String target) throws URISyntaxException {
        String path = new URI(target).getPath();
        return path == null ? "" : path;
    }

    private Result execute(String method, String path) {
        String[] segments = path.split("/", -1);
        String operation = segments.length >= 3 && segments[0].isEmpty() && segments[1].equals("api") ? segments[2] : "";
        String server = segments.length == 4 ? segments[3] : "";
        boolean namesServer = operation.equals("exclude") || operation.equals("include");
        boolean knownOperation = operation.equals("ready") || namesServer || operation.equals("evacuate") || operation.equals("rejoin");
        if (!knownOperation || segments.length != (namesServer ? 4 : 3)) {
            return new Result(404, "no such call");
        }
        if (!method.equals(operation.equals("ready") ? "GET" : "PUT")) {
            return new Result(405, "method not allowed");
        }
        try {
            return switch (operation) {
                case "ready" -> operations.ready() ? new Result(200, "ready") : new Result(503, "not ready");
                case "exclude" -> done(operations.exclude(server));
                case "include" -> done(operations.include(server));
                default -> done(operations.evacuate(operation.equals("evacuate")));
            };
        } catch (IOException | RuntimeException e) {
            Log.error("an operators' order could not be kept", e);
            return new Result(500, "the order could not be kept");
        }
    }

    private static Result done(boolean found) {
        return found ? new Result(200, "done") : new Result(404, "no such server");
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 503 -> "Service Unavailable";
            default -> "Internal Server Error";
        };
    }

    private void finish(Socket socket) {
        synchronized (calls) {
            calls.remove(socket);
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // the connection is discarded either way
        }
    }
}
