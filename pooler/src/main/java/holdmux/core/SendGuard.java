package holdmux.core;

/** Consulted by an attempt right before its bytes are written, and notified once they have been. */
@FunctionalInterface
public interface SendGuard {
    /** Whether the bytes may be written now; conditions may have changed since the attempt was started. */
    boolean mayWrite();

    /** Called when the last byte has been written. */
    default void onWritten() { }
}
