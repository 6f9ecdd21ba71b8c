package holdmux.flight;

import holdmux.config.Config;

/**
 * How much the Flight side takes on at once, from the limits told: open calls, client connections, prepared statements
 * and tickets, and bytes of tables on their way.
 */
record FlightLimits(int calls, int connections, int prepared, int tickets, long streamBytes, long allocatorBytes,
        int messageBytes) {
    /** Figures and a few of the client's own headers fit many times over. */
    static final int METADATA_BYTES = 8 * 1024;
    /** What a peer may send before it is told to go on, of each stream: held beside the budget where nobody asks for it. */
    static final int WINDOW_BYTES = 1 << 20;
    /** A statement rides in its ticket; longer values come in over PostgreSQL. */
    static final int STATEMENT_BYTES = 1 << 20;
    /** Of one connection: tools that browse keep a handful; the rest is for other connections. */
    static final int PREPARED_A_CONNECTION = 64, CALLS_A_CONNECTION = 256;
    /** A tool plans and fetches at once; a person steps through a debugger in less. */
    static final long TICKET_LIFE_NS = 30_000_000_000L;
    /** A reader that takes nothing for so long is cut off, as on the other front; and a server that gives nothing. */
    static final long STALL_MS = 5_000;
    /** Parts of the memory told: tables passing through, and Arrow's own memory for what is made and read here. */
    private static final int STREAM_PART = 8, ALLOCATOR_PART = 16;
    private static final long MB = 1 << 20;
    /** However little is told, a table with batches of a MiB passes. */
    private static final long LEAST_STREAM_BYTES = 8 * MB, LEAST_ALLOCATOR_BYTES = 16 * MB;
    /** The longest message: Flight's tools keep batches well below it. */
    private static final long MOST_MESSAGE_BYTES = 64 * MB;
    /** Prepared statements and tickets for each client that may connect. */
    private static final int EACH = 8;

    static FlightLimits of(Config config) {
        int clients = config.caps().clients();
        long streams = Math.max(LEAST_STREAM_BYTES, config.memoryMb() * MB / STREAM_PART);
        return new FlightLimits(clients, clients, clients * EACH, clients * EACH, streams,
                Math.max(LEAST_ALLOCATOR_BYTES, config.memoryMb() * MB / ALLOCATOR_PART),
                (int) Math.min(MOST_MESSAGE_BYTES, streams / 2));
    }
}
