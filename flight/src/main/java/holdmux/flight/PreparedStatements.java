package holdmux.flight;

import com.google.protobuf.ByteString;
import holdmux.statement.StatementException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The open prepared statements and their bound values. Each belongs to a connection and is closed with it. Does no I/O
 * and reads no clock.
 */
final class PreparedStatements {
    private static final int HANDLE_BYTES = 16;

    /** One prepared statement; bound values apply to all following executions. */
    static final class Entry {
        private final Object connection;
        final SqlTemplate template;
        private List<String> boundLiterals = List.of();

        private Entry(Object connection, SqlTemplate template) {
            this.connection = connection;
            this.template = template;
        }

        synchronized void bind(List<String> literals) {
            boundLiterals = List.copyOf(literals);
        }

        /** The statement with the bound values substituted. */
        synchronized String sql() throws StatementException {
            return template.substitute(boundLiterals);
        }
    }

    private final int maxTotal, maxPerConnection;
    private final SecureRandom random = new SecureRandom();
    private final Map<ByteString, Entry> byHandle = new HashMap<>();
    private final Map<Object, Integer> countByConnection = new HashMap<>();

    /** Limits the statements in total and per connection. */
    PreparedStatements(int maxTotal, int maxPerConnection) {
        this.maxTotal = maxTotal;
        this.maxPerConnection = maxPerConnection;
    }

    /** Opens a statement and returns its handle; null if a limit is reached. */
    synchronized ByteString add(Object connection, SqlTemplate template) {
        int openCount = countByConnection.getOrDefault(connection, 0);
        if (byHandle.size() >= maxTotal || openCount >= maxPerConnection) {
            return null;
        }
        byte[] bytes = new byte[HANDLE_BYTES];
        random.nextBytes(bytes);
        ByteString handle = ByteString.copyFrom(bytes);
        byHandle.put(handle, new Entry(connection, template));
        countByConnection.put(connection, openCount + 1);
        return handle;
    }

    /** Returns a statement; null if it is not open or belongs to another connection. */
    synchronized Entry get(Object connection, ByteString handle) {
        Entry entry = byHandle.get(handle);
        return entry != null && entry.connection.equals(connection) ? entry : null;
    }

    synchronized void close(Object connection, ByteString handle) {
        if (get(connection, handle) != null) {
            byHandle.remove(handle);
            countByConnection.computeIfPresent(connection, (c, count) -> count == 1 ? null : count - 1);
        }
    }

    /** Closes all statements of a connection that has ended. */
    synchronized void removeAll(Object connection) {
        if (countByConnection.remove(connection) != null) {
            byHandle.values().removeIf(entry -> entry.connection.equals(connection));
        }
    }

    synchronized int size() {
        return byHandle.size();
    }
}
