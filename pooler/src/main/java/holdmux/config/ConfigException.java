package holdmux.config;

/** The configuration or a server list is invalid; the message is a single line. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** {@code message}: the location of the error and its cause. */
    public ConfigException(String message) {
        super(message);
    }
}
