package holdmux.flight;

import holdmux.config.Config;

/**
 * Resource limits of the Flight SQL protocol, derived from the configuration: open calls, client connections, prepared
 * statements, tickets and the memory for results in transit.
 */
record FlightLimits(int maxCalls, int maxConnections, int maxPreparedStatements, int maxTickets, long maxStreamBytes,
        long maxAllocatorBytes, int maxMessageBytes) {
    /** Headers of a call; the request attributes and a few headers of the client itself need a fraction of this. */
    static final int MAX_METADATA_BYTES = 8 * 1024;
    /** HTTP/2 flow-control window of a stream. Data received ahead of a request for it is not counted in the memory budget. */
    static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 20;
    /** Statements are carried in their tickets, so they are kept short; longer values can be written over PostgreSQL. */
    static final int MAX_STATEMENT_BYTES = 1 << 20;
    /** Limits per connection, so that one connection cannot use up the total; interactive tools need only a few of either. */
    static final int MAX_PREPARED_PER_CONNECTION = 64, MAX_CALLS_PER_CONNECTION = 256;
    /** Tools fetch right after planning; the lifetime also allows for stepping through a debugger. */
    static final long TICKET_LIFETIME_NS = 30_000_000_000L;
    /** A client that reads nothing for this long is disconnected, as on the PostgreSQL front; a silent server fails the stream. */
    static final long STALL_TIMEOUT_MS = 5_000;
    /** Shares of the configured memory: results in transit, and Arrow's allocator for results built or decoded here. */
    private static final int STREAM_MEMORY_DIVISOR = 8, ALLOCATOR_MEMORY_DIVISOR = 16;
    private static final long MB = 1 << 20;
    /** Lower bounds that let a table with batches of 1 MiB pass, however little memory is configured. */
    private static final long MIN_STREAM_BYTES = 8 * MB, MIN_ALLOCATOR_BYTES = 16 * MB;
    /** The largest message accepted from a server; Flight tools keep their batches well below it. */
    private static final long MAX_MESSAGE_BYTES = 64 * MB;
    /** Prepared statements and tickets allowed per configured client connection. */
    private static final int ENTRIES_PER_CLIENT = 8;

    static FlightLimits of(Config config) {
        int clients = config.caps().clients();
        long streamBytes = Math.max(MIN_STREAM_BYTES, config.memoryMb() * MB / STREAM_MEMORY_DIVISOR);
        return new FlightLimits(clients, clients, clients * ENTRIES_PER_CLIENT, clients * ENTRIES_PER_CLIENT, streamBytes,
                Math.max(MIN_ALLOCATOR_BYTES, config.memoryMb() * MB / ALLOCATOR_MEMORY_DIVISOR),
                (int) Math.min(MAX_MESSAGE_BYTES, streamBytes / 2));
    }
}
