package holdmux.app.demo;

/** One client connection of the demo's load, over either front. */
public interface QuoteClient extends AutoCloseable {
    /** The outcome of a request as its client sees it. */
    enum Outcome { SERVED, REFUSED, FAILED }

    /** Sends a request and waits for its final answer. */
    Outcome execute(String sql);
}
