package holdmux.discovery;

import holdmux.core.DeadlineInputStream;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Calls to discovery's agent over one connection, one after the other, on a thread of their own. Whoever made it decides
 * when it is overdue; until it is closed it goes on listening, so that an answer that takes long is heard all the same.
 */
final class DiscoveryCall implements Runnable {
    /** Who hears what becomes of a call. */
    interface Listener {
        /** Takes an answer in; the next query on the same connection, or null to end it. */
        Query answered(DiscoveryCall call, HttpResponse response) throws IOException;

        /** The connection ended, or what came could not be used. */
        void failed(DiscoveryCall call, Throwable cause);
    }

    /** What is asked after a pause, the how manyth query of the program it is, and what was known then. */
    record Query(String parameters, long delayMs, long number, ListVersions.RequestState atRequest) {}

    /** An answer that takes longer than this is of no use: every change in it has been told by later calls. */
    private static final int READ_TIMEOUT_MS = 30_000;
    /** A connect that takes longer never comes up; another thread's close need not end it. */
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

    /** Its number in the log. */
    long number() {
        return number;
    }

    InetSocketAddress agent() {
        return agent;
    }

    /** What was asked last on this connection. */
    Query query() {
        return query;
    }

    /** Whether an answer has begun that is not whole yet, or never became whole. */
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
        } catch (Throwable e) { // an Error too must be told: nobody else would make the next call
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

    /** Ends the connection, from any thread. */
    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // closing is all that was wanted
        }
    }
}
