package holdmux.flight;

import holdmux.core.QueryResult;
import io.grpc.Status;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A table as Flight's messages: those that have come, and the call that gives the rest; null where all have come. */
final class TableResult implements QueryResult {
    /** Ends the use of the server's connection; true if all of the answer came. */
    interface CloseListener {
        void onClose(boolean complete);
    }

    private final Deque<byte[]> received;
    private final UpstreamCall<?, byte[]> call;
    private final CloseListener closeListener;
    /** The message passed on last and the one before: both may still wait to be written. */
    private byte[] last, previous;
    private boolean complete;

    /** A table of which all has come; nothing is held for it. */
    TableResult(List<byte[]> messages) {
        this(messages, null, w -> { });
    }

    /** {@code come} are messages of the call that its reader has not passed on yet. */
    TableResult(List<byte[]> received, UpstreamCall<?, byte[]> call, CloseListener closeListener) {
        this.received = new ArrayDeque<>(received);
        this.call = call;
        this.closeListener = closeListener;
    }

    /** The messages of a table that has come whole. */
    List<byte[]> messages() {
        if (call != null) {
            throw new IllegalStateException("a table that is still on its way");
        }
        return List.copyOf(received);
    }

    /**
     * The next message; of those before it all but the last have been written by now.
     *
     * @return null at the end of the whole table
     * @throws IOException if the server cut it off
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
            throw new IOException("the server cut the table off: " + e.getMessage(), e);
        } catch (UpstreamCall.BudgetExceededException e) {
            throw new IOException("no room for more of the table", e);
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
