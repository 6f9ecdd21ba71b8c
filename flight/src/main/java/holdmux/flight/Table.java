package holdmux.flight;

import holdmux.core.Value;
import io.grpc.Status;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A table as Flight's messages: those that have come, and the call that gives the rest; null where all have come. */
final class Table implements Value {
    /** Ends the use of the server's connection; true if all of the answer came. */
    interface Release {
        void release(boolean whole);
    }

    private final Deque<byte[]> come;
    private final ServerCall<?, byte[]> rest;
    private final Release release;
    /** The message passed on last and the one before: both may still wait to be written. */
    private byte[] last, before;
    private boolean whole;

    /** A table of which all has come; nothing is held for it. */
    Table(List<byte[]> frames) {
        this(frames, null, w -> { });
    }

    /** {@code come} are messages of the call that its reader has not passed on yet. */
    Table(List<byte[]> come, ServerCall<?, byte[]> rest, Release release) {
        this.come = new ArrayDeque<>(come);
        this.rest = rest;
        this.release = release;
    }

    /** The messages of a table that has come whole. */
    List<byte[]> frames() {
        if (rest != null) {
            throw new IllegalStateException("a table that is still on its way");
        }
        return List.copyOf(come);
    }

    /**
     * The next message; of those before it all but the last have been written by now.
     *
     * @return null at the end of the whole table
     * @throws IOException if the server cut it off
     */
    byte[] next() throws IOException {
        passedOn(before);
        before = last;
        last = come.poll();
        try {
            if (last == null && rest != null) {
                last = rest.next(FlightLimits.STALL_MS);
                Ipc.check(last);
            }
            whole |= last == null;
            return last;
        } catch (ServerCall.EndedException e) {
            if (e.fromServer && e.status.getCode() == Status.Code.OK) {
                whole = true;
                return null;
            }
            throw new IOException("the server cut the table off: " + e.getMessage(), e);
        } catch (ServerCall.NoRoomException e) {
            throw new IOException("no room for more of the table", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void passedOn(byte[] frame) {
        if (frame != null && rest != null) {
            rest.passed(frame);
        }
    }

    @Override
    public void close() {
        passedOn(before);
        passedOn(last);
        if (rest != null) {
            come.forEach(rest::passed);
            come.clear();
            if (!whole) {
                rest.close();
            }
        }
        release.release(whole);
    }
}
