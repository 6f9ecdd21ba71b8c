package holdmux.flight;

import holdmux.core.Balancer;
import holdmux.core.Cell;
import holdmux.core.Client;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Updated;
import holdmux.core.Value;
import io.grpc.stub.ServerCallStreamObserver;
import java.io.IOException;
import java.util.List;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * The client's side of one request that is fetched (DoGet): one status, behind the table where there is one. The table
 * goes on message by message, the next one only once the client's connection takes more.
 */
final class FlightReply implements Client {
    private static final long MS = 1_000_000L;
    /** gRPC's own bound: small messages gather up to this. */
    private static final int LEAST_WAITING = 32 * 1024;

    private final ServerCallStreamObserver<byte[]> out;
    private final Caller caller;
    private final Counters counters;
    private final Ipc ipc;
    private final java.util.function.Consumer<Schema> served;
    private final Presence presence;

    /** {@code served} hears how a table looks that is passed on. */
    FlightReply(ServerCallStreamObserver<byte[]> out, Caller caller, Balancer balancer, Counters counters, Ipc ipc,
            java.util.function.Consumer<Schema> served) {
        this.out = out;
        this.caller = caller;
        presence = new Presence(balancer);
        this.counters = counters;
        this.ipc = ipc;
        this.served = served;
        out.setOnCancelHandler(this::leave);
        out.setOnReadyHandler(this::wake);
    }

    Presence presence() {
        return presence;
    }

    private void leave() {
        presence.leave();
        wake();
    }

    private synchronized void wake() {
        notifyAll();
    }

    @Override
    public Value.Form form() {
        return Value.Form.TABLE;
    }

    @Override
    public void serve(Value value) throws IOException {
        try {
            if (value instanceof Table table) {
                relay(table);
            } else if (value instanceof Cell cell) {
                List<byte[]> frames = ipc.table(cell);
                served.accept(Ipc.schema(frames.get(0)));
                for (byte[] frame : frames) {
                    send(frame);
                }
            } else if (value instanceof Updated) {
                send(Ipc.frame(new Schema(List.of()))); // it gave no rows, and so no columns
            }
        } catch (IOException e) {
            out.onError(Statuses.failed("the table was cut off")); // never as a short table
            throw e;
        }
        out.onCompleted();
    }

    private void relay(Table table) throws IOException {
        boolean first = true;
        for (byte[] frame = table.next(); frame != null; frame = table.next()) {
            if (first) {
                served.accept(Ipc.schema(frame));
                first = false;
            }
            send(frame);
        }
    }

    /** Returns once all before this message has gone on its way, so that one more may wait behind it, not two. */
    private void send(byte[] frame) throws IOException {
        caller.readyBelow(Math.max(LEAST_WAITING, frame.length));
        out.onNext(frame);
        awaitReady();
    }

    private synchronized void awaitReady() throws IOException {
        long by = System.nanoTime() + FlightLimits.STALL_MS * MS;
        try {
            for (long wait = FlightLimits.STALL_MS; !out.isReady(); wait = (by - System.nanoTime()) / MS) {
                if (presence.isGone()) {
                    throw new IOException("the client has gone away");
                }
                if (wait <= 0) {
                    counters.count(Counter.READERS_CUT);
                    caller.cutOff();
                    throw new IOException("the client takes nothing");
                }
                wait(wait);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    @Override
    public void refuse(long waitNs) {
        out.onError(Statuses.refused("no server can take this in time", waitNs));
    }

    @Override
    public void fail() {
        out.onError(Statuses.failed("no answer came in time; the request may have run"));
    }
}
