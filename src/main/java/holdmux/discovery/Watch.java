package holdmux.discovery;

import holdmux.config.ConfigException;
import holdmux.config.HostList;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Follows discovery's list for ever: the whole of it first, then changes, over one connection at a time. */
public final class Watch implements Runnable {
    /** How long one call waits. Short, because what a lost call had to tell counts as told 2 s after this. */
    static final int HOLD_MS = 2_000;
    /** Silence beyond the hold that shows a dead call: the agent is on this machine and answers at once. */
    static final int SILENCE_MS = 1_000;
    private static final int CONNECT_MS = 1_000;
    /** Between failed tries: soon enough for any rule, seldom enough to cost nothing. */
    private static final int AGAIN_MS = 100;
    /** Failures between log lines: one line in some seconds of silence. */
    private static final int LOG_EVERY = 10;

    /** Where the agent is now, and the connection to it; a change takes hold at the next call. */
    private InetSocketAddress agent;
    private Socket calling;
    private boolean moved;
    private final Counters counters;
    private final Consumer<HostList> lists;
    private long seq;
    private boolean whole = true;
    private int failures;

    /** {@code lists} takes each list in, in order. */
    public Watch(InetSocketAddress agent, Counters counters, Consumer<HostList> lists) {
        this.agent = agent;
        calling = new Socket();
        this.counters = counters;
        this.lists = lists;
    }

    @Override
    public void run() {
        while (true) {
            try (Socket socket = new Socket()) {
                InetSocketAddress at = begin(socket);
                socket.connect(at, CONNECT_MS);
                socket.setTcpNoDelay(true);
                follow(socket, at);
            } catch (IOException | RuntimeException e) {
                failed(e);
            }
        }
    }

    /**
     * Follows the list at another address from now on. The call under way is cut short: what the old agent has
     * still to tell may never come, and the new one's whole list holds it all.
     */
    public synchronized void moveTo(InetSocketAddress to) {
        if (!to.equals(agent)) {
            agent = to;
            moved = true;
            try {
                calling.close();
            } catch (IOException e) {
                // closing is all that was wanted
            }
        }
    }

    private synchronized InetSocketAddress begin(Socket socket) {
        calling = socket;
        whole |= moved;
        moved = false;
        return agent;
    }

    private synchronized boolean hasMoved() {
        return moved;
    }

    /** Calls over one connection until it ends; its last answer may close it in good order. */
    private void follow(Socket socket, InetSocketAddress at) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open) {
            socket.setSoTimeout((whole ? 0 : HOLD_MS) + SILENCE_MS);
            socket.getOutputStream().write(call(at).getBytes(StandardCharsets.US_ASCII));
            HttpResponse response = HttpResponse.read(in);
            if (response.status() != 200) {
                whole = true; // our version may be one that discovery no longer knows
                throw new IOException("status " + response.status());
            }
            take(HostList.decode(response.body()));
            open = response.keepAlive();
        }
    }

    private String call(InetSocketAddress at) {
        String query = whole ? "" : "?from=" + seq + "&hold_ms=" + HOLD_MS;
        return "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + at.getHostString() + ":" + at.getPort()
                + "\r\nAccept: application/json\r\n\r\n";
    }

    private void take(HostList list) {
        if (list.whole() || !list.hosts().isEmpty()) {
            lists.accept(list);
        }
        seq = list.seq();
        whole = false;
        if (failures > 0) {
            Log.info("discovery answers again after " + failures + " failed calls");
            failures = 0;
        }
    }

    private void failed(Exception e) {
        if (hasMoved()) {
            return; // the old agent's call was ended by us
        }
        counters.count(Counter.WATCH_FAILURES);
        whole |= e instanceof ConfigException;
        if (failures++ % LOG_EVERY == 0) {
            Log.warn("discovery does not answer: " + e.getMessage());
        }
        try {
            Thread.sleep(AGAIN_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
