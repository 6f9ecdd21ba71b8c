package holdmux.flight;

import holdmux.core.QueryResult;
import holdmux.core.Reply;
import io.grpc.Status;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;

/** A table as FlightData messages: those already received, and the call that delivers the rest (null if all were received). */
final class TableResult implements QueryResult {
    /** Called when the table is closed; gives the server's connection back. */
    interface CloseListener {
        /** {@code complete} is true if the whole answer was received. */
        void onClose(boolean complete);
    }

    private final Deque<byte[]> received;
    private final UpstreamCall<?, byte[]> call;
    private final Supplier<Reply> status;
    private final CloseListener closeListener;
    /** The last two messages returned; both may still be queued for writing. */
    private byte[] last, previous;
    private boolean complete;

    /** A completely received table that holds no memory reservation. */
    TableResult(List<byte[]> messages) {
        this(messages, null, () -> null, w -> { });
    }

    /** Returns a completely received table whose messages hold memory until it is closed. */
    static TableResult received(List<byte[]> messages, CloseListener closeListener) {
        return new TableResult(messages, null, () -> null, closeListener);
    }

    /**
     * Creates a table that is received as it is relayed.
     *
     * @param received messages of the call that have been read but not relayed yet
     * @param status tells what the server has stated of itself so far, in the call's headers or trailers
     */
    TableResult(List<byte[]> received, UpstreamCall<?, byte[]> call, Supplier<Reply> status, CloseListener closeListener) {
        this.received = new ArrayDeque<>(received);
        this.call = call;
        this.status = status;
        this.closeListener = closeListener;
    }

    /** The messages of a completely received table. */
    List<byte[]> messages() {
        if (call != null) {
            throw new IllegalStateException("the table has not been received completely");
        }
        return List.copyOf(received);
    }

    /**
     * Returns the next message; all but the last of those returned before must have been written by now.
     *
     * @return null at the end of a complete table
     * @throws IOException if the server ended the stream early
     */
    byte[] next() throws IOException {
        releaseMessage(previous);
        previous = last;
        last = received.poll();
        try {
            if (last == null && call != null) {
                last = call.next(FlightLimits.STALL_TIMEOUT_MS);
                ArrowIpc.validate(last);
            }
            complete |= last == null;
            return last;
        } catch (UpstreamCall.EndedException e) {
            if (e.fromServer && e.status.getCode() == Status.Code.OK) {
                complete = true;
                return null;
            }
            throw new IOException("the server ended the table early: " + e.getMessage(), e);
        } catch (UpstreamCall.BudgetExceededException e) {
            throw new IOException("memory budget exceeded while reading the table", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    @Override
    public boolean isStatusPending() {
        return call != null;
    }

    @Override
    public Reply statusBehind() {
        return complete ? status.get() : null;
    }

    private void releaseMessage(byte[] message) {
        if (message != null && call != null) {
            call.release(message);
        }
    }

    @Override
    public void close() {
        releaseMessage(previous);
        releaseMessage(last);
        if (call != null) {
            received.forEach(call::release);
            received.clear();
            if (!complete) {
                call.close();
            }
        }
        closeListener.onClose(complete);
    }
}
