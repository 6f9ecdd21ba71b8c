package holdmux.config;

/**
 * How much the program takes on at once, from the limits that it was told: client connections, server connections,
 * worker threads, and bytes of buffers on either side, for what clients send and for what servers answer.
 */
public record Caps(int clients, int servers, int workers, int queryBytes, int answerBytes) {
    /** Parts in 100 of the descriptors; the rest is spare for discovery, the log and the virtual machine. */
    private static final int CLIENT_PERCENT = 50, SERVER_PERCENT = 35;
    /** What the virtual machine may take in all by its flags in deploy/balancer.toml: 64 MiB of heap, and some 25 MiB
     * of metaspace, code cache and its own structures as measured. */
    private static final int JVM_MB = 89;
    /** Measured for a client with a request under way: two threads' stacks and their sockets. */
    private static final int KB_PER_CLIENT = 128;
    /** Too little memory must not shut out everyone; the machine's heap is seldom full. */
    private static final int MIN_CLIENTS = 32;
    /** Threads for probes beside the requests: one for each connection to a server that may be open, where memory is left
     * for a thread's stack and its socket, and some in any case. Threads are made by need, so that a small fleet has few. */
    private static final int MIN_PROBE_THREADS = 40, KB_PER_PROBE_THREAD = 64;
    /** Parts of the memory for long messages. Under 144 MB, the least so far with long values, queries have 18 MB, two of
     * the longest and some; answers pass through and have 8 MB. More than that the heap of 64 MB has no room for. */
    private static final int QUERY_BUFFER_DIVISOR = 8, ANSWER_BUFFER_DIVISOR = 18, MAX_BUFFER_BASE_MB = 144;
    private static final int MB = 1 << 20;

    static Caps of(int sockets, int memoryMb) {
        int clientsByMemory = Math.max(MIN_CLIENTS, (memoryMb - JVM_MB) * 1_024 / KB_PER_CLIENT);
        int clients = Math.max(1, Math.min(sockets * CLIENT_PERCENT / 100, clientsByMemory));
        int servers = Math.max(1, sockets * SERVER_PERCENT / 100);
        int spareKb = (memoryMb - JVM_MB) * 1_024 - clients * KB_PER_CLIENT;
        int probeThreads = Math.max(MIN_PROBE_THREADS, Math.min(servers, spareKb / KB_PER_PROBE_THREAD));
        int bufferBase = Math.min(memoryMb, MAX_BUFFER_BASE_MB) * MB;
        return new Caps(clients, servers, clients + probeThreads, bufferBase / QUERY_BUFFER_DIVISOR, bufferBase / ANSWER_BUFFER_DIVISOR);
    }
}
