package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.core.StartupRetry;
import holdmux.statement.SqlState;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Accepts clients; connections above the cap are rejected immediately. */
final class Listener {
    /** Clients connect in bursts after a restart; the kernel queues them until they are accepted. */
    private static final int BACKLOG = 512;

    /** How often the listener checks whether to stop; also the pause after a failed accept. */
    private static final int STOP_POLL_MS = 20;
    /** When stopping: an accept time-out that shows the kernel's queue to be empty, and the limit for emptying it. */
    private static final int FINAL_ACCEPT_MS = 1, MAX_FINAL_ACCEPTS_MS = 200;
    /** How long a rejected connection stays open to receive the client's startup packet, since closing with unread input resets
     * the connection and loses the error message; how many do so at a time, and how much input each discards. */
    private static final long LINGER_NS = 100 * Clock.MS;
    private static final int MAX_LINGERING = 16, MAX_DISCARDED_BYTES = 64 * 1024;

    private final ServerSocket serverSocket = new ServerSocket();
    private final InetSocketAddress address;
    private final ClientSession.Context context;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Executor executor;
    private final AtomicInteger lingeringSockets = new AtomicInteger();
    private volatile boolean stopping;

    /** {@code executor} provides a thread per client; it should reuse threads, since in a burst most clients stay only briefly. */
    Listener(InetSocketAddress address, ClientSession.Context context, Executor executor) throws IOException {
        this.executor = executor;
        this.address = address;
        this.context = context;
        StartupRetry.run("cannot create a listening socket", () -> serverSocket.setReuseAddress(true));
        StartupRetry.run("cannot configure a listening socket", () -> serverSocket.setSoTimeout(STOP_POLL_MS));
        enableReusePort();
    }

    /** Lets a newer process listen on the same address during an upgrade. If this fails, only upgrades in place are impossible. */
    private void enableReusePort() {
        try {
            serverSocket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } catch (IOException | UnsupportedOperationException e) {
            // the JVM probes for the option once; a system call that fails then disables it for the lifetime of the process
            Log.warn("no other process can listen beside this one, so that it cannot be upgraded in place: " + e.getMessage());
        }
    }

    /** Binds the socket; from then on the kernel queues connections. */
    void listen() throws IOException {
        StartupRetry.run("cannot listen at " + address, () -> serverSocket.bind(address, BACKLOG));
    }

    /** Accepts clients until stopped, then those still in the kernel's queue, which closing the socket would reset. */
    void run() throws IOException {
        while (!stopping) {
            acceptOne();
        }
        try (serverSocket) {
            serverSocket.setSoTimeout(FINAL_ACCEPT_MS);
            long deadline = System.nanoTime() + MAX_FINAL_ACCEPTS_MS * Clock.MS;
            while (acceptOne() && System.nanoTime() < deadline) {
                // continue with the next client
            }
        } finally {
            closed.countDown();
        }
    }

    /** Accepts one client; false if none connected in time. */
    private boolean acceptOne() {
        try {
            accept(serverSocket.accept());
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            Log.error("a client could not be accepted", e);
            pause(); // when out of file descriptors, the next accept would fail as well
        } catch (RuntimeException | Error e) { // this is the only accepting thread
            context.counters().count(Counter.INTERNAL_ERRORS);
            Log.error("a client could not be accepted because of an internal error", e);
            pause();
        }
        return true;
    }

    private static void pause() {
        try {
            Thread.sleep(STOP_POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(Socket socket) throws IOException {
        ClientSession session;
        try {
            socket.setTcpNoDelay(true);
            session = new ClientSession(socket, context);
        } catch (IOException e) {
            socket.close(); // already disconnected
            return;
        }
        if (!context.clients().admit(session)) {
            reject(socket);
            return;
        }
        context.counters().count(Counter.CLIENTS_ACCEPTED);
        try {
            executor.execute(session);
        } catch (RejectedExecutionException e) {
            // no thread available: only this client is rejected
            context.clients().remove(session);
            reject(socket);
        }
    }

    /** Sends an error and shuts the output down; the connection is closed a little later, when its input has been read. */
    private void reject(Socket socket) {
        context.counters().count(Counter.CLIENTS_TURNED_AWAY);
        try {
            new MessageBuilder(new byte[256]).error(true, SqlState.TOO_MANY_CONNECTIONS, "too many clients", null)
                    .writeTo(socket.getOutputStream());
            socket.shutdownOutput();
        } catch (IOException e) {
            // the client has disconnected
        }
        if (lingeringSockets.incrementAndGet() > MAX_LINGERING) {
            closeLingering(socket);
        } else {
            context.deadlines().after(LINGER_NS, () -> closeLingering(socket));
        }
    }

    /** Discards the input received so far and closes the connection. */
    private void closeLingering(Socket socket) {
        lingeringSockets.decrementAndGet();
        try (socket; InputStream in = socket.getInputStream()) {
            byte[] sink = new byte[1_024];
            for (int remaining = MAX_DISCARDED_BYTES; remaining > 0 && in.available() > 0;) {
                remaining -= Math.max(1, in.read(sink));
            }
        } catch (IOException e) {
            // the client has disconnected
        }
    }

    /** Informs the clients' sessions when the process will shut down. */
    void announceShutdown(long delayNs) {
        context.clients().announceShutdown(delayNs);
    }

    /** Stops accepting; returns when the listener is closed, or after twice the time it may take. */
    void stopAccepting() throws InterruptedException {
        stopping = true;
        closed.await(2 * MAX_FINAL_ACCEPTS_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes each client connection as soon as it is idle. */
    void closeWhenIdle() {
        context.clients().all().forEach(ClientSession::closeWhenIdle);
    }

    /** The number of open client connections. */
    int openClients() {
        return context.clients().size();
    }
}
