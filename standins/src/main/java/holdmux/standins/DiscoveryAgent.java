package holdmux.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery's agent: tells the list of servers, whole or what changed, and holds watches until there is news. */
public final class DiscoveryAgent implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("GET /v1/endpoints\\?from=(\\d+)&hold_ms=(\\d+) .*");

    private record Line(long seq, String json) {}

    private final ServerSocket listener;
    private final Map<String, Line> hosts = new LinkedHashMap<>();
    private long seq;

    DiscoveryAgent() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Lists a server; {@code health} is up, draining or removed. */
    synchronized void put(String host, InetSocketAddress dial, String kind, int group, String health, boolean primary) {
        seq++;
        hosts.put(host, new Line(seq, "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + dial.getPort()
                + "\",\"site\":\"north\",\"class\":\"" + kind + "\",\"block\":" + group + ",\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0,\"replication\":\"" + (primary ? "primary" : "standby") + "\"}"));
        notifyAll();
    }

    /** The list in discovery's form, with what is newer than {@code from}; 0 for the whole. */
    synchronized String list(long from) {
        StringBuilder lines = new StringBuilder();
        hosts.values().stream().filter(line -> line.seq() > from)
                .forEach(line -> lines.append(lines.isEmpty() ? "" : ",").append(line.json()));
        return "{\"seq\":" + seq + ",\"whole\":" + (from == 0) + ",\"hosts\":[" + lines + "]}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                thread(() -> speak(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "discovery agent");
        thread.setDaemon(true);
        thread.start();
    }

    private void speak(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String call = in.readLine(); call != null; call = in.readLine()) {
                for (String header = in.readLine(); header != null && !header.isEmpty();) {
                    header = in.readLine();
                }
                Matcher watch = WATCH.matcher(call);
                byte[] body = (watch.matches() ? held(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                        : list(0)).getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().write(body);
            }
        } catch (IOException | InterruptedException e) {
            // the caller left
        }
    }

    private synchronized String held(long from, long holdMs) throws InterruptedException {
        long by = System.nanoTime() + holdMs * 1_000_000L;
        for (long left = holdMs; seq <= from && left > 0; left = (by - System.nanoTime()) / 1_000_000L) {
            wait(left);
        }
        return list(from);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
