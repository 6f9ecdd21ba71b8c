package holdmux.core;

/** What an attempt asks right before its bytes go out, and tells once they have. */
@FunctionalInterface
public interface SendGuard {
    /** Whether the bytes may go out now; what was decided when the attempt began may no longer hold. */
    boolean mayWrite();

    /** The last byte has been written. */
    default void onWritten() { }
}
