package holdmux.core;

/** A write that went through and gives back no row, only how many it touched. */
public record UpdateResult(long rows) implements QueryResult {
    @Override
    public void close() {
        // holds nothing
    }
}
