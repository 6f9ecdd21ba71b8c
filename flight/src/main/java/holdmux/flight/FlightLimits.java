package holdmux.flight;

import holdmux.config.Config;

/**
 * How much the Flight side takes on at once, from the limits told: open calls, client connections, prepared statements
 * and tickets, and bytes of tables on their way.
 */
record FlightLimits(int maxCalls, int maxConnections, int maxPreparedStatements, int maxTickets, long maxStreamBytes, long maxAllocatorBytes,
        int maxMessageBytes) {
    /** Figures and a few of the client's own headers fit many times over. */
    static final int MAX_METADATA_BYTES = 8 * 1024;
    /** What a peer may send before it is told to go on, of each stream: held beside the budget where nobody asks for it. */
    static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 20;
    /** A statement rides in its ticket; longer values come in over PostgreSQL. */
    static final int MAX_STATEMENT_BYTES = 1 << 20;
    /** Of one connection: tools that browse keep a handful; the rest is for other connections. */
    static final int MAX_PREPARED_PER_CONNECTION = 64, MAX_CALLS_PER_CONNECTION = 256;
    /** A tool plans and fetches at once; a person steps through a debugger in less. */
    static final long TICKET_LIFETIME_NS = 30_000_000_000L;
    /** A reader that takes nothing for so long is cut off, as on the other front; and a server that gives nothing. */
    static final long STALL_TIMEOUT_MS = 5_000;
    /** Parts of the memory told: tables passing through, and Arrow's own memory for what is made and read here. */
    private static final int STREAM_MEMORY_DIVISOR = 8, ALLOCATOR_MEMORY_DIVISOR = 16;
    private static final long MB = 1 << 20;
    /** However little is told, a table with batches of a MiB passes. */
    private static final long MIN_STREAM_BYTES = 8 * MB, MIN_ALLOCATOR_BYTES = 16 * MB;
    /** The longest message: Flight's tools keep batches well below it. */
    private static final long MAX_MESSAGE_BYTES = 64 * MB;
    /** Prepared statements and tickets for each client that may connect. */
    private static final int ENTRIES_PER_CLIENT = 8;

    static FlightLimits of(Config config) {
        int clients = config.caps().clients();
        long streamBytes = Math.max(MIN_STREAM_BYTES, config.memoryMb() * MB / STREAM_MEMORY_DIVISOR);
        return new FlightLimits(clients, clients, clients * ENTRIES_PER_CLIENT, clients * ENTRIES_PER_CLIENT, streamBytes,
                Math.max(MIN_ALLOCATOR_BYTES, config.memoryMb() * MB / ALLOCATOR_MEMORY_DIVISOR),
                (int) Math.min(MAX_MESSAGE_BYTES, streamBytes / 2));
    }
}
