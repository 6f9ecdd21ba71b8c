package holdmux.app.demo;

/** One connection of the demo's load, over either front. */
public interface QuoteClient extends AutoCloseable {
    /** How a request ended for its client. */
    enum Outcome { SERVED, REFUSED, FAILED }

    /** Asks, and waits for the one final answer. */
    Outcome execute(String sql);
}
