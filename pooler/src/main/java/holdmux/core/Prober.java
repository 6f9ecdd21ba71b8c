package holdmux.core;

/** Asks a server for its load report; blocks until that ends. */
public interface Prober {
    Reply probe(Attempt attempt);
}
