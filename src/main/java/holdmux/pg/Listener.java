package holdmux.pg;

import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.core.Workers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts clients; at the cap each further one is refused at once. */
final class Listener {
    /** Clients come in bursts after a restart; the kernel holds them until accepted. */
    private static final int BACKLOG = 512;

    private final ServerSocket server = new ServerSocket();
    private final ClientSession.Context context;

    Listener(InetSocketAddress address, ClientSession.Context context) throws IOException {
        this.context = context;
        server.setReuseAddress(true);
        server.bind(address, BACKLOG);
    }

    /** Accepts until the listener is closed. */
    void run() {
        while (!server.isClosed()) {
            try {
                accept(server.accept());
            } catch (IOException e) {
                if (!server.isClosed()) {
                    Log.error("a client could not be accepted", e);
                }
            }
        }
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
            Workers.thread("client", session).start();
        } catch (OutOfMemoryError e) {
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

    void stopAccepting() throws IOException {
        server.close();
    }

    void closeWhenIdle() {
        context.clients().all().forEach(ClientSession::closeWhenIdle);
    }

    int open() {
        return context.clients().size();
    }
}
