package holdmux.flight;

import com.google.protobuf.ByteString;
import holdmux.statement.StatementException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Prepared statements with what is bound to them, each owned by a connection and gone with it. No I/O and no clock. */
final class Prepared {
    private static final int HANDLE_BYTES = 16;

    /** One prepared statement; what is bound counts for its next runs. */
    static final class Entry {
        private final Object connection;
        final Placeholders text;
        private List<String> bound = List.of();

        private Entry(Object connection, Placeholders text) {
            this.connection = connection;
            this.text = text;
        }

        synchronized void bind(List<String> literals) {
            bound = List.copyOf(literals);
        }

        /** The statement with what is bound. */
        synchronized String sql() throws StatementException {
            return text.with(bound);
        }
    }

    private final int most, mostEach;
    private final SecureRandom random = new SecureRandom();
    private final Map<ByteString, Entry> open = new HashMap<>();
    private final Map<Object, Integer> each = new HashMap<>();

    /** {@code most} in all, {@code mostEach} of one connection. */
    Prepared(int most, int mostEach) {
        this.most = most;
        this.mostEach = mostEach;
    }

    /** The handle of a new one; null at a cap. */
    synchronized ByteString add(Object connection, Placeholders text) {
        int had = each.getOrDefault(connection, 0);
        if (open.size() >= most || had >= mostEach) {
            return null;
        }
        byte[] bytes = new byte[HANDLE_BYTES];
        random.nextBytes(bytes);
        ByteString handle = ByteString.copyFrom(bytes);
        open.put(handle, new Entry(connection, text));
        each.put(connection, had + 1);
        return handle;
    }

    /** Null for one that is not open, or is another connection's. */
    synchronized Entry get(Object connection, ByteString handle) {
        Entry entry = open.get(handle);
        return entry != null && entry.connection.equals(connection) ? entry : null;
    }

    synchronized void close(Object connection, ByteString handle) {
        if (get(connection, handle) != null) {
            open.remove(handle);
            each.computeIfPresent(connection, (c, count) -> count == 1 ? null : count - 1);
        }
    }

    /** A connection has ended: what it prepared goes. */
    synchronized void gone(Object connection) {
        if (each.remove(connection) != null) {
            open.values().removeIf(entry -> entry.connection.equals(connection));
        }
    }

    synchronized int size() {
        return open.size();
    }
}
