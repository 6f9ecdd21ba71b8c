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

/** One way from one process to another, on loopback, that faults can be put on: what is sent here goes to the target. */
public final class FaultRelay implements AutoCloseable {
    /** What happens to what is under way and to what comes, from the moment it is set. */
    public enum Mode {
        /** All passes. */
        PASS,
        /** Connections stay open and new ones are taken, but nothing passes either way: a machine that is cut off. */
        SILENT,
        /** What the caller sends passes; what the other side says does not: half of a way is lost. */
        HALF_OPEN,
        /** Connections are reset, new ones at once: a process that is not there. */
        RESET,
        /** All passes later. */
        SLOW
    }

    private static final int SLOW_MS = 120, BUFFER = 16_384;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final List<Socket> open = new ArrayList<>();
    private Mode mode = Mode.PASS;
    private int slowMs = SLOW_MS;

    public FaultRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Connections that a silence began on do not outlive it: on a real network too their state is lost by then. */
    public synchronized void set(Mode next) {
        if (mode != next && (next == Mode.RESET || mode == Mode.SILENT || mode == Mode.HALF_OPEN)) {
            List.copyOf(open).forEach(FaultRelay::reset);
            open.clear();
        }
        mode = next;
        notifyAll();
    }

    /** From now on all passes so much later, each way. */
    public synchronized void slow(int delayMs) {
        slowMs = delayMs;
        set(Mode.SLOW);
    }

    private synchronized int slowMs() {
        return slowMs;
    }

    private synchronized Mode mode() {
        return mode;
    }

    private void accept() {
        try {
            while (true) {
                Socket from = listener.accept();
                thread(() -> join(from));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void join(Socket from) {
        if (mode() == Mode.RESET) {
            reset(from);
            return;
        }
        Socket to = new Socket();
        synchronized (this) {
            open.add(from);
            open.add(to);
        }
        try {
            to.connect(target, 1_000);
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            thread(() -> pump(to, from, true));
            pump(from, to, false);
        } catch (IOException e) {
            reset(from);
        } finally {
            synchronized (this) {
                open.remove(from);
                open.remove(to);
            }
        }
    }

    private void pump(Socket from, Socket to, boolean back) {
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int got = in.read(buffer); got >= 0; got = in.read(buffer)) {
                awaitPassing(from, back);
                out.write(buffer, 0, got);
            }
        } catch (IOException | InterruptedException e) {
            // the other end is told below
        }
        reset(from);
        reset(to);
    }

    private void awaitPassing(Socket from, boolean back) throws InterruptedException, IOException {
        if (mode() == Mode.SLOW) {
            Thread.sleep(slowMs());
        }
        synchronized (this) {
            while (mode == Mode.SILENT || mode == Mode.HALF_OPEN && back) {
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
            // closed already
        }
        try {
            socket.close();
        } catch (IOException e) {
            // closing is all that was wanted
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        set(Mode.RESET);
    }
}
