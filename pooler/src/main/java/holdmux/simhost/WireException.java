package holdmux.simhost;

/** Input that is not what the wire promises; the message is one plain line. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
