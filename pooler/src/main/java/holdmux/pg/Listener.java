package holdmux.pg;

import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.statement.SqlState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Accepts clients; at the cap each further one is refused at once. */
final class Listener {
    /** Clients come in bursts after a restart; the kernel holds them until accepted. */
    private static final int BACKLOG = 512;

    /** How often the listener looks whether it is to stop. */
    private static final int LOOK_MS = 20;
    /** Nobody came for so long: the kernel's queue is empty. A crowd that never leaves it so is not waited out. */
    private static final int EMPTY_MS = 1, MOST_EMPTYING_MS = 200;

    private final ServerSocket server = new ServerSocket();
    private final InetSocketAddress address;
    private final ClientSession.Context context;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Executor threads;
    private volatile boolean stopping;

    /** {@code threads} read from clients, one each; kept for the next, since in a crowd most stay a moment only. */
    Listener(InetSocketAddress address, ClientSession.Context context, Executor threads) throws IOException {
        this.threads = threads;
        this.address = address;
        this.context = context;
        server.setReuseAddress(true);
        // a newer process listens beside this one while it takes over
        server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        server.setSoTimeout(LOOK_MS);
    }

    void listen() throws IOException {
        server.bind(address, BACKLOG);
    }

    /** Accepts until it is to stop, and then what had come before: closing would turn that away unheard. */
    void run() throws IOException {
        while (!stopping) {
            acceptOne();
        }
        server.setSoTimeout(EMPTY_MS);
        long by = System.nanoTime() + MOST_EMPTYING_MS * Clock.MS;
        while (acceptOne() && System.nanoTime() < by) {
            // the next one
        }
        server.close();
        closed.countDown();
    }

    /** False if nobody came. */
    private boolean acceptOne() {
        try {
            accept(server.accept());
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            Log.error("a client could not be accepted", e);
        }
        return true;
    }

    private void accept(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        ClientSession session = new ClientSession(socket, context);
        if (!context.clients().admit(session)) {
            turnAway(socket);
            return;
        }
        context.counters().count(Counter.CLIENTS_ACCEPTED);
        try {
            threads.execute(session);
        } catch (RejectedExecutionException e) {
            // no thread to be had: this client is turned away, the others stay
            context.clients().gone(session);
            turnAway(socket);
        }
    }

    private void turnAway(Socket socket) {
        context.counters().count(Counter.CLIENTS_TURNED_AWAY);
        try (socket) {
            new Message(new byte[256]).error(true, SqlState.TOO_MANY_CONNECTIONS, "too many clients", null)
                    .writeTo(socket.getOutputStream());
        } catch (IOException e) {
            // it left by itself
        }
    }

    void endAfter(long afterNs) {
        context.clients().endAfter(afterNs);
    }

    /** Returns once the listener is closed. */
    void stopAccepting() throws InterruptedException {
        stopping = true;
        closed.await(2 * MOST_EMPTYING_MS, TimeUnit.MILLISECONDS);
    }

    void closeWhenIdle() {
        context.clients().all().forEach(ClientSession::closeWhenIdle);
    }

    int open() {
        return context.clients().size();
    }
}
