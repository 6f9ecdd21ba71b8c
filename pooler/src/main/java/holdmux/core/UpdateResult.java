package holdmux.core;

/** The result of a write that returns no rows, only the number of rows affected. */
public record UpdateResult(long rows) implements QueryResult {
    @Override
    public void close() {
        // holds no resources
    }
}
