package holdmux.config;

/**
 * How much the program takes on at once, from the limits that it was told: client connections, server connections,
 * worker threads, and bytes of buffers on either side, for what clients send and for what servers answer.
 */
public record Caps(int clients, int servers, int workers, int queryBytes, int answerBytes) {
    /** Parts in 100 of the descriptors; the rest is spare for discovery, the log and the virtual machine. */
    private static final int CLIENT_PART = 50, SERVER_PART = 35;
    /** What the virtual machine may take in all by its flags in deploy/balancer.toml: 64 MiB of heap, and some 25 MiB
     * of metaspace, code cache and its own structures as measured. */
    private static final int MACHINE_MB = 89;
    /** Measured for a client with a request under way: two threads' stacks and their sockets. */
    private static final int CLIENT_KB = 128;
    /** Too little memory must not shut out everyone; the machine's heap is seldom full. */
    private static final int LEAST_CLIENTS = 32;
    /** Threads for probes beside the requests: one for each connection to a server that may be open, where memory is left
     * for a thread's stack and its socket, and some in any case. Threads are made by need, so that a small fleet has few. */
    private static final int LEAST_PROBES = 40, PROBE_KB = 64;
    /** Parts of the memory for long messages. Under 144 MB, the least so far with long values, queries have 18 MB, two of
     * the longest and some; answers pass through and have 8 MB. More than that the heap of 64 MB has no room for. */
    private static final int QUERY_PART = 8, ANSWER_PART = 18, MOST_FOR_BUFFERS_MB = 144;
    private static final int MB = 1 << 20;

    static Caps of(int sockets, int memoryMb) {
        int byMemory = Math.max(LEAST_CLIENTS, (memoryMb - MACHINE_MB) * 1_024 / CLIENT_KB);
        int clients = Math.max(1, Math.min(sockets * CLIENT_PART / 100, byMemory));
        int servers = Math.max(1, sockets * SERVER_PART / 100);
        int spareKb = (memoryMb - MACHINE_MB) * 1_024 - clients * CLIENT_KB;
        int probes = Math.max(LEAST_PROBES, Math.min(servers, spareKb / PROBE_KB));
        int forBuffers = Math.min(memoryMb, MOST_FOR_BUFFERS_MB) * MB;
        return new Caps(clients, servers, clients + probes, forBuffers / QUERY_PART, forBuffers / ANSWER_PART);
    }
}
