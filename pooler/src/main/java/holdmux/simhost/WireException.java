package holdmux.simhost;

/** Thrown for input that violates the wire protocol. The message is a single line. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
