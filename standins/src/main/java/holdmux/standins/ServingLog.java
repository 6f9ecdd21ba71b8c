package holdmux.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the servers of a group served and what they stated of themselves, on every exchange: the evidence by which reads of old
 * data are judged. Times are those of {@link System#nanoTime}.
 */
public final class ServingLog {
    /**
     * A read that ran.
     *
     * @param connection number of the connection that it came on
     * @param dataAgeNs how far the server's data were behind when the request's last byte arrived; 0 on the primary
     */
    public record ServedRead(String server, String id, long connection, long atNs, long dataAgeNs) {}

    /**
     * A role that a server stated; it counts from when it was written, whether or not it arrives.
     *
     * @param id the request that it was stated to; empty for a probe, a greeting and the like
     */
    public record RoleStatement(String server, String id, long connection, long atNs, boolean primary) {}

    /** A server became the primary. */
    public record Promotion(String server, long atNs) {}

    private final AtomicLong lastConnection = new AtomicLong();
    private final List<ServedRead> reads = new ArrayList<>();
    private final List<RoleStatement> statements = new ArrayList<>();
    private final List<Promotion> promotions = new ArrayList<>();

    /** Returns the number of a new connection. */
    long newConnection() {
        return lastConnection.incrementAndGet();
    }

    /** Adds a read that ran. */
    public synchronized void add(ServedRead read) {
        reads.add(read);
    }

    /** Adds a statement, right before it is written. */
    public synchronized void add(RoleStatement statement) {
        statements.add(statement);
    }

    /** Adds a promotion. */
    public synchronized void add(Promotion promotion) {
        promotions.add(promotion);
    }

    /** Returns all promotions, in order. */
    public synchronized List<Promotion> promotions() {
        return List.copyOf(promotions);
    }

    /** Returns all reads that ran, in order. */
    public synchronized List<ServedRead> reads() {
        return List.copyOf(reads);
    }

    /** Returns all statements of roles, in order. */
    public synchronized List<RoleStatement> statements() {
        return List.copyOf(statements);
    }
}
