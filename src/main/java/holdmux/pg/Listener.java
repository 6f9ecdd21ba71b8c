package holdmux.pg;

import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.core.Workers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts clients; at the cap each further one is refused at once. */
final class Listener {
    /** Clients come in bursts after a restart; the kernel holds them until accepted. */
    private static final int BACKLOG = 512;

    private final ServerSocket server = new ServerSocket();
    private final ClientSession.Context context;
    private final int most;
    private final Set<ClientSession> sessions = ConcurrentHashMap.newKeySet();

    Listener(InetSocketAddress address, ClientSession.Context context, int most) throws IOException {
        this.context = context;
        this.most = most;
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
        if (sessions.size() >= most) {
            context.counters().count(Counter.CLIENTS_TURNED_AWAY);
            turnAway(socket);
            return;
        }
        context.counters().count(Counter.CLIENTS_ACCEPTED);
        socket.setTcpNoDelay(true);
        ClientSession session = new ClientSession(socket, context);
        sessions.add(session);
        try {
            Workers.thread("client", () -> {
                try {
                    session.run();
                } finally {
                    sessions.remove(session);
                }
            }).start();
        } catch (OutOfMemoryError e) {
            // no thread to be had: this client is turned away, the others stay
            sessions.remove(session);
            context.counters().count(Counter.CLIENTS_TURNED_AWAY);
            turnAway(socket);
        }
    }

    private static void turnAway(Socket socket) throws IOException {
        try (socket) {
            new Message(new byte[256]).error(true, SqlState.TOO_MANY_CONNECTIONS, "too many clients", null)
                    .writeTo(socket.getOutputStream());
        }
    }

    void stopAccepting() throws IOException {
        server.close();
    }

    void closeWhenIdle() {
        sessions.forEach(ClientSession::closeWhenIdle);
    }

    int open() {
        return sessions.size();
    }
}
