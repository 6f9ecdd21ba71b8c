package holdmux.flight;

import holdmux.core.QueryResult;
import io.grpc.Status;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A table as FlightData messages: those already received, and the call that delivers the rest (null if all were received). */
final class TableResult implements QueryResult {
    /** Called when the table is closed; gives the server's connection back. */
    interface CloseListener {
        /** {@code complete} is true if the whole answer was received. */
        void onClose(boolean complete);
    }

    private final Deque<byte[]> received;
    private final UpstreamCall<?, byte[]> call;
    private final CloseListener closeListener;
    /** The last two messages returned; both may still be queued for writing. */
    private byte[] last, previous;
    private boolean complete;

    /** A completely received table that holds no memory reservation. */
    TableResult(List<byte[]> messages) {
        this(messages, null, w -> { });
    }

    /** {@code received} are messages of the call that have been read but not relayed yet. */
    TableResult(List<byte[]> received, UpstreamCall<?, byte[]> call, CloseListener closeListener) {
        this.received = new ArrayDeque<>(received);
        this.call = call;
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
