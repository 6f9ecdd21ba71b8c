package holdmux.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A TCP proxy on loopback that injects network faults between its clients and one target address. */
public final class FaultRelay implements AutoCloseable {
    /** How open and new connections are treated from the moment the mode is set. */
    public enum Mode {
        /** Data passes unchanged. */
        PASS,
        /** Connections stay open and new ones are accepted, but no data passes in either direction: an unreachable machine. */
        SILENT,
        /** Data from the client passes, data from the target does not: loss in one direction. */
        HALF_OPEN,
        /** Open connections are reset, new ones right after they are accepted: a process that is not running. */
        RESET,
        /** Data passes after a delay. */
        SLOW
    }

    private static final int DEFAULT_DELAY_MS = 120, BUFFER_BYTES = 16_384;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final List<Socket> sockets = new ArrayList<>();
    private Mode mode = Mode.PASS;
    private int delayMs = DEFAULT_DELAY_MS;

    /** Starts a relay to the target in mode {@link Mode#PASS}. */
    public FaultRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    /** Returns the address that the relay listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /**
     * Changes the mode. Connections that were open during {@link Mode#SILENT} or {@link Mode#HALF_OPEN} are reset when it ends: on a
     * real network their state is lost by then too.
     */
    public synchronized void setMode(Mode newMode) {
        if (mode != newMode && (newMode == Mode.RESET || mode == Mode.SILENT || mode == Mode.HALF_OPEN)) {
            List.copyOf(sockets).forEach(FaultRelay::reset);
            sockets.clear();
        }
        mode = newMode;
        notifyAll();
    }

    /** Sets mode {@link Mode#SLOW} with this delay in each direction. */
    public synchronized void setDelay(int oneWayMs) {
        delayMs = oneWayMs;
        setMode(Mode.SLOW);
    }

    private synchronized int delayMs() {
        return delayMs;
    }

    private synchronized Mode mode() {
        return mode;
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                startThread(() -> relay(client));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void relay(Socket client) {
        if (mode() == Mode.RESET) {
            reset(client);
            return;
        }
        Socket upstream = new Socket();
        synchronized (this) {
            sockets.add(client);
            sockets.add(upstream);
        }
        try {
            upstream.connect(target, 1_000);
            upstream.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            startThread(() -> copy(upstream, client, true));
            copy(client, upstream, false);
        } catch (IOException e) {
            reset(client);
        } finally {
            synchronized (this) {
                sockets.remove(client);
                sockets.remove(upstream);
            }
        }
    }

    private void copy(Socket from, Socket to, boolean fromTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                delayOrBlock(from, fromTarget);
                out.write(buffer, 0, count);
            }
        } catch (IOException | InterruptedException e) {
            // both sockets are reset below
        }
        reset(from);
        reset(to);
    }

    private void delayOrBlock(Socket from, boolean fromTarget) throws InterruptedException, IOException {
        if (mode() == Mode.SLOW) {
            Thread.sleep(delayMs());
        }
        synchronized (this) {
            while (mode == Mode.SILENT || mode == Mode.HALF_OPEN && fromTarget) {
                if (from.isClosed()) {
                    throw new IOException("closed");
                }
                wait();
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // already closed
        }
        try {
            socket.close();
        } catch (IOException e) {
            // closing failed: nothing else to release
        }
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        setMode(Mode.RESET);
    }
}
