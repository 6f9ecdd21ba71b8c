package holdmux.core;

/** Consulted by an attempt before and while its bytes are written, and notified once they have been. */
@FunctionalInterface
public interface SendGuard {
    /** Whether the bytes may be written now; conditions may have changed since the attempt was started. */
    boolean mayWrite();

    /** Whether the rest of a message whose first bytes have been written may follow now. */
    default boolean mayContinue() {
        return true;
    }

    /** Called when the last byte has been written. */
    default void onWritten() { }
}
