package holdmux.discovery;

import holdmux.core.DeadlineInputStream;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A connection to the discovery agent that sends queries one after the other, on a thread of its own. Its owner decides when
 * an answer is overdue; the connection is read until it is closed, so that a late answer is still received.
 */
final class DiscoveryCall implements Runnable {
    /** Receives the answers and the failure of a call. */
    interface Listener {
        /** Handles an answer; returns the next query to send on the same connection, or null to close it. */
        Query answered(DiscoveryCall call, HttpResponse response) throws IOException;

        /** The connection failed, or its answer could not be used. */
        void failed(DiscoveryCall call, Throwable cause);
    }

    /**
     * A query for the list or its changes.
     *
     * @param parameters the query string of the request, empty for the whole list
     * @param delayMs the delay before the request is sent
     * @param number the sequence number of the query in this process
     * @param atRequest the state of the list when the query was made
     */
    record Query(String parameters, long delayMs, long number, ListVersions.RequestState atRequest) {}

    /** An answer that takes longer is useless: later calls have delivered every change in it. */
    private static final int READ_TIMEOUT_MS = 30_000;
    /** A connect that takes longer does not succeed; closing the socket from another thread may not interrupt it. */
    private static final int CONNECT_TIMEOUT_MS = 3_000;

    private final long number;
    private final InetSocketAddress agent;
    private final Query firstQuery;
    private final Listener listener;
    private final Socket socket = new Socket();
    private volatile Query query;
    private volatile boolean partialResponse;

    DiscoveryCall(long number, InetSocketAddress agent, Query firstQuery, Listener listener) {
        this.number = number;
        this.agent = agent;
        this.firstQuery = firstQuery;
        this.listener = listener;
        query = firstQuery;
    }

    /** The number of this call in log lines. */
    long number() {
        return number;
    }

    /** The address of the agent that is called. */
    InetSocketAddress agent() {
        return agent;
    }

    /** The last query on this connection. */
    Query query() {
        return query;
    }

    /** Whether an answer has begun and is incomplete so far, or was cut off. */
    boolean hasPartialResponse() {
        return partialResponse;
    }

    @Override
    public void run() {
        try (socket) {
            socket.connect(agent, CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            DeadlineInputStream timed = new DeadlineInputStream(socket, READ_TIMEOUT_MS);
            InputStream in = new BufferedInputStream(timed);
            for (Query next = firstQuery; next != null;) {
                query = next;
                Thread.sleep(next.delayMs());
                timed.setTimeout(READ_TIMEOUT_MS);
                socket.getOutputStream().write(request(next).getBytes(StandardCharsets.US_ASCII));
                next = listener.answered(this, read(in));
            }
        } catch (Throwable e) { // also an Error: without this report no further call would be made
            listener.failed(this, e);
        }
    }

    private HttpResponse read(InputStream in) throws IOException {
        in.mark(1);
        partialResponse = in.read() >= 0;
        in.reset();
        HttpResponse response = HttpResponse.read(in);
        partialResponse = false;
        return response;
    }

    private String request(Query next) {
        return "GET /v1/endpoints" + next.parameters() + " HTTP/1.1\r\nHost: " + agent.getHostString() + ":"
                + agent.getPort() + "\r\nAccept: application/json\r\n\r\n";
    }

    /** Closes the connection; callable from any thread. */
    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // the connection is discarded either way
        }
    }
}
