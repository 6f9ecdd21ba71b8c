package holdmux.core;

/** A write that went through and gives back no row, only how many it touched. */
public record Updated(long rows) implements Value {
    @Override
    public void close() {
        // holds nothing
    }
}
