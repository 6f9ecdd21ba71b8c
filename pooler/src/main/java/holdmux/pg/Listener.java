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

/** Accepts clients; at the cap each further one is refused at once. */
final class Listener {
    /** Clients come in bursts after a restart; the kernel holds them until accepted. */
    private static final int BACKLOG = 512;

    /** How often the listener looks whether it is to stop. */
    private static final int STOP_POLL_MS = 20;
    /** Nobody came for so long: the kernel's queue is empty. A crowd that never leaves it so is not waited out. */
    private static final int FINAL_ACCEPT_MS = 1, MAX_FINAL_ACCEPTS_MS = 200;
    /** Who is turned away has sent its startup by then, or what it sent takes our word with it; so many at most. */
    private static final long LINGER_NS = 100 * Clock.MS;
    private static final int MAX_LINGERING = 16, MAX_DISCARDED_BYTES = 64 * 1024;

    private final ServerSocket serverSocket = new ServerSocket();
    private final InetSocketAddress address;
    private final ClientSession.Context context;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Executor executor;
    private final AtomicInteger lingeringSockets = new AtomicInteger();
    private volatile boolean stopping;

    /** {@code threads} read from clients, one each; kept for the next, since in a crowd most stay a moment only. */
    Listener(InetSocketAddress address, ClientSession.Context context, Executor executor) throws IOException {
        this.executor = executor;
        this.address = address;
        this.context = context;
        StartupRetry.run("a listening socket cannot be made", () -> serverSocket.setReuseAddress(true));
        StartupRetry.run("a listening socket cannot be set up", () -> serverSocket.setSoTimeout(STOP_POLL_MS));
        enableReusePort();
    }

    /** A newer process listens beside this one while it takes over; where that cannot be had, the rest works all the same. */
    private void enableReusePort() {
        try {
            serverSocket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } catch (IOException | UnsupportedOperationException e) {
            // the virtual machine tries it once, at its start: one failed system call there denies it for good
            Log.warn("no other process can listen beside this one, so that it cannot be upgraded in place: " + e.getMessage());
        }
    }

    void listen() throws IOException {
        StartupRetry.run("cannot listen at " + address, () -> serverSocket.bind(address, BACKLOG));
    }

    /** Accepts until it is to stop, and then what had come before: closing would turn that away unheard. */
    void run() throws IOException {
        while (!stopping) {
            acceptOne();
        }
        try (serverSocket) {
            serverSocket.setSoTimeout(FINAL_ACCEPT_MS);
            long deadline = System.nanoTime() + MAX_FINAL_ACCEPTS_MS * Clock.MS;
            while (acceptOne() && System.nanoTime() < deadline) {
                // the next one
            }
        } finally {
            closed.countDown();
        }
    }

    /** False if nobody came. */
    private boolean acceptOne() {
        try {
            accept(serverSocket.accept());
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            Log.error("a client could not be accepted", e);
            pause(); // where no descriptor is left the next one fails as well
        } catch (RuntimeException | Error e) { // nobody else would accept the next client
            context.counters().count(Counter.INTERNAL_ERRORS);
            Log.error("a client could not be accepted, by a fault here", e);
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
            socket.close(); // it has left already
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
            // no thread to be had: this client is turned away, the others stay
            context.clients().remove(session);
            reject(socket);
        }
    }

    /** A word and the end of the output; the connection is closed a little later, with nothing of it unread. */
    private void reject(Socket socket) {
        context.counters().count(Counter.CLIENTS_TURNED_AWAY);
        try {
            new MessageBuilder(new byte[256]).error(true, SqlState.TOO_MANY_CONNECTIONS, "too many clients", null)
                    .writeTo(socket.getOutputStream());
            socket.shutdownOutput();
        } catch (IOException e) {
            // it left by itself
        }
        if (lingeringSockets.incrementAndGet() > MAX_LINGERING) {
            closeLingering(socket);
        } else {
            context.deadlines().after(LINGER_NS, () -> closeLingering(socket));
        }
    }

    private void closeLingering(Socket socket) {
        lingeringSockets.decrementAndGet();
        try (socket; InputStream in = socket.getInputStream()) {
            byte[] sink = new byte[1_024];
            for (int remaining = MAX_DISCARDED_BYTES; remaining > 0 && in.available() > 0;) {
                remaining -= Math.max(1, in.read(sink));
            }
        } catch (IOException e) {
            // it left by itself
        }
    }

    void announceShutdown(long delayNs) {
        context.clients().announceShutdown(delayNs);
    }

    /** Returns once the listener is closed. */
    void stopAccepting() throws InterruptedException {
        stopping = true;
        closed.await(2 * MAX_FINAL_ACCEPTS_MS, TimeUnit.MILLISECONDS);
    }

    void closeWhenIdle() {
        context.clients().all().forEach(ClientSession::closeWhenIdle);
    }

    int openClients() {
        return context.clients().size();
    }
}
