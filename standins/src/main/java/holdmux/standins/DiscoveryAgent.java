package holdmux.standins;

import holdmux.standins.ServerList.Entry;
import holdmux.standins.ServerList.ListResponse;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A discovery agent: serves the server list, whole or as changes, holds watches (long polls), and injects faults. */
public final class DiscoveryAgent implements AutoCloseable {
    private static final Pattern WATCH_REQUEST = Pattern.compile("GET /v1/endpoints\\?from=(\\d+)&hold_ms=(\\d+) .*");
    /** How long a held watch takes to notice a fault that was injected. */
    private static final long FAULT_POLL_MS = 50;

    private final ServerList serverList;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    /** How many of the next answers that contain changes are truncated, and how many are made unparsable. */
    private final AtomicInteger answersToTruncate = new AtomicInteger(), answersToGarble = new AtomicInteger();
    private final AtomicBoolean silentAfterTruncation = new AtomicBoolean();
    /** How many of the next calls are never answered, independent of the active faults. */
    private final AtomicInteger callsToIgnore = new AtomicInteger();
    // the fields below are guarded by this
    private final Set<DiscoveryFault> activeFaults = EnumSet.noneOf(DiscoveryFault.class);
    private int answerDelayMs;
    /** Subtracted from the versions in answers; 0 until {@link DiscoveryFault#RENUMBERED} restarts the numbering. */
    private long versionOffset;
    /** Incremented to leave all open calls unanswered: they were received under a lower number. */
    private int silenceEpoch;

    DiscoveryAgent(ServerList serverList) throws IOException {
        this.serverList = serverList;
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    /** Returns the address that the agent listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Starts a fault. */
    public synchronized void inject(DiscoveryFault fault) {
        activeFaults.add(fault);
        if (fault == DiscoveryFault.RENUMBERED) {
            versionOffset = Math.max(0, serverList.version() - 1);
        }
    }

    /** Ends a fault; calls that it already affected are not repaired. */
    public synchronized void clear(DiscoveryFault fault) {
        activeFaults.remove(fault);
    }

    /** Delays answers from now on, until {@link DiscoveryFault#SLOW_ANSWERS} is cleared. */
    public synchronized void delayAnswers(int delayMs) {
        answerDelayMs = delayMs;
        activeFaults.add(DiscoveryFault.SLOW_ANSWERS);
    }

    /** Never answers the calls that are open now. */
    public synchronized void leaveOpenCallsUnanswered() {
        silenceEpoch++;
    }

    /** Accepts the next calls and never answers them. */
    public void ignoreNextCalls(int calls) {
        callsToIgnore.set(calls);
    }

    /** Closes the connection in the middle of the next answers that contain changes. */
    public void truncateNextAnswers(int answers) {
        answersToTruncate.set(answers);
    }

    /** Makes the next answers that contain changes unparsable. */
    public void garbleNextAnswers(int answers) {
        answersToGarble.set(answers);
    }

    /** Truncates the next answer that contains changes and never answers calls from then on. */
    public void truncateNextAnswerThenGoSilent() {
        silentAfterTruncation.set(true);
        truncateNextAnswers(1);
    }

    /** Stops listening and answering, as an agent that moved to another address; closes open connections after a delay. */
    public void retire(long closeDelayMs) throws IOException {
        inject(DiscoveryFault.SILENT_CALLS);
        leaveOpenCallsUnanswered();
        listener.close();
        startThread(() -> {
            try {
                Thread.sleep(closeDelayMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            closeConnections();
        });
    }

    /** Returns the whole list as JSON. */
    String fullList() {
        return toJson(serverList.changesSince(0), 0, Set.of());
    }

    private synchronized boolean isActive(DiscoveryFault fault) {
        return activeFaults.contains(fault);
    }

    private synchronized Set<DiscoveryFault> activeFaults() {
        return Set.copyOf(activeFaults);
    }

    private synchronized int answerDelayMs() {
        return answerDelayMs;
    }

    private synchronized long versionOffset() {
        return versionOffset;
    }

    private synchronized int silenceEpoch() {
        return silenceEpoch;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                startThread(() -> serveConnection(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "discovery agent");
        thread.setDaemon(true);
        thread.start();
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String requestLine = in.readLine(); requestLine != null; requestLine = in.readLine()) {
                for (String header = in.readLine(); header != null && !header.isEmpty();) {
                    header = in.readLine();
                }
                if (!answer(requestLine, socket)) {
                    awaitClose(in);
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // the client disconnected, or a fault closed the connection
        } finally {
            connections.remove(socket);
        }
    }

    /** Answers a call; returns false if a fault leaves it unanswered. */
    private boolean answer(String requestLine, Socket socket) throws IOException, InterruptedException {
        int epochAtArrival = silenceEpoch();
        boolean ignored = tryConsume(callsToIgnore);
        Matcher watch = WATCH_REQUEST.matcher(requestLine);
        ListResponse response = watch.matches() ? awaitChange(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                : listSince(0);
        if (isActive(DiscoveryFault.SLOW_ANSWERS)) {
            Thread.sleep(answerDelayMs());
        }
        if (isActive(DiscoveryFault.RESET)) {
            reset(socket);
            throw new IOException("reset");
        }
        if (ignored || isActive(DiscoveryFault.SILENT_CALLS) || silenceEpoch() != epochAtArrival) {
            return false;
        }
        writeResponse(socket, response);
        return true;
    }

    private void writeResponse(Socket socket, ListResponse response) throws IOException {
        boolean hasChanges = !response.entries().isEmpty();
        String text = toJson(response, versionOffset(), activeFaults());
        if (hasChanges && tryConsume(answersToGarble)) {
            text = text.replace(':', ';');
        }
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        if (hasChanges && tryConsume(answersToTruncate)) {
            if (silentAfterTruncation.get()) {
                inject(DiscoveryFault.SILENT_CALLS);
            }
            socket.getOutputStream().write(body, 0, body.length / 2);
            throw new IOException("cut");
        }
        socket.getOutputStream().write(body);
    }

    private static boolean tryConsume(AtomicInteger remaining) {
        return remaining.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    /** Answers a call that is not a watch. */
    private ListResponse listSince(long fromVersion) {
        return isActive(DiscoveryFault.OLDER_LIST) ? serverList.previous() : serverList.changesSince(fromVersion);
    }

    /** Answers a watch: the changes as soon as there are any, or no changes when its hold time is over. */
    private ListResponse awaitChange(long fromVersion, long holdMs) throws InterruptedException {
        long sinceVersion = fromVersion + versionOffset();
        long deadlineNs = System.nanoTime() + holdMs * 1_000_000L;
        while (System.nanoTime() < deadlineNs && (isActive(DiscoveryFault.OLDER_LIST) || serverList.version() <= sinceVersion)) {
            serverList.awaitNewer(sinceVersion, Math.min(deadlineNs, System.nanoTime() + FAULT_POLL_MS * 1_000_000L));
            sinceVersion = fromVersion + versionOffset();
            if (isActive(DiscoveryFault.OLDER_LIST)) {
                Thread.sleep(FAULT_POLL_MS);
            }
        }
        if (isActive(DiscoveryFault.OLDER_LIST)) {
            return new ListResponse(serverList.previous().version(), false, List.of());
        }
        ListResponse response = sinceVersion == 0 ? new ListResponse(serverList.version(), false, serverList.changesSince(0).entries())
                : serverList.changesSince(sinceVersion);
        return isActive(DiscoveryFault.EMPTY_CHANGES) ? new ListResponse(response.version(), false, List.of()) : response;
    }

    private static String toJson(ListResponse response, long versionOffset, Set<DiscoveryFault> faults) {
        String entries = response.entries().stream().map(entry -> toJson(entry, faults)).collect(Collectors.joining(","));
        return "{\"seq\":" + (response.version() - versionOffset) + ",\"whole\":" + response.whole() + ",\"hosts\":[" + entries + "]}";
    }

    private static String toJson(Entry entry, Set<DiscoveryFault> faults) {
        String json = entry.toJson();
        if (entry.health().equals("up")) {
            return json;
        }
        json = faults.contains(DiscoveryFault.ENTRY_WITHOUT_DIAL) ? withoutKey("dial", json) : json;
        json = faults.contains(DiscoveryFault.ENTRY_WITHOUT_HEALTH) ? withoutKey("health", json) : json;
        return faults.contains(DiscoveryFault.ENTRY_WITHOUT_NAME) ? withoutKey("host", json) : json;
    }

    private static String withoutKey(String key, String json) {
        return json.replaceAll("\"" + key + "\":\"[^\"]*\",", "");
    }

    private static void awaitClose(BufferedReader in) throws IOException {
        while (in.read() >= 0) {
            // discard input until the client closes the connection
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void closeConnections() {
        for (Socket socket : connections) {
            try {
                socket.close();
            } catch (IOException e) {
                // closing failed: nothing else to release
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeConnections();
    }
}
