package holdmux.config;

/**
 * Caps on what the process handles at the same time, derived from its limits on sockets and memory.
 *
 * @param clients client connections
 * @param servers server connections
 * @param workers worker threads
 * @param queryBytes bytes of buffers for messages from clients
 * @param answerBytes bytes of buffers for answers from servers
 */
public record Caps(int clients, int servers, int workers, int queryBytes, int answerBytes) {
    /** Shares of the file descriptors; the rest is left to discovery, the log and the JVM. */
    private static final int CLIENT_PERCENT = 50, SERVER_PERCENT = 35;
    /** Threads of a client with a request in progress: one reads, one answers. */
    private static final int THREADS_PER_CLIENT = 2;
    /** Accepted even if memory is short, since the heap is seldom full. */
    private static final int MIN_CLIENTS = 32;
    /**
     * Threads for probes, in addition to those for requests: one for each server connection, as far as memory is left for a
     * thread's stack and its socket, and a minimum in any case. Threads are created on demand, so that a small fleet has few.
     */
    private static final int MIN_PROBE_THREADS = 40;
    /**
     * Shares of the memory limit for long messages. At 144 MB, the smallest limit of a deployment with long values, queries
     * have 18 MB, enough for two of the longest and some shorter ones, and answers, which are streamed, have 8 MB. Larger limits
     * add nothing, since the heap of 64 MB has no room for more.
     */
    private static final int QUERY_BUFFER_DIVISOR = 8, ANSWER_BUFFER_DIVISOR = 18, MAX_BUFFER_BASE_MB = 144;
    private static final int MB = 1 << 20;

    /** The caps for a limit on sockets and a memory limit in megabytes. */
    static Caps of(int sockets, int memoryMb, Footprint footprint) {
        int memoryKb = (memoryMb - footprint.jvmMb()) * 1_024;
        int clientsByMemory = Math.max(MIN_CLIENTS, memoryKb / (THREADS_PER_CLIENT * footprint.kbPerThread()));
        int clients = Math.max(1, Math.min(sockets * CLIENT_PERCENT / 100, clientsByMemory));
        int servers = Math.max(1, sockets * SERVER_PERCENT / 100);
        int spareKb = memoryKb - clients * THREADS_PER_CLIENT * footprint.kbPerThread();
        int probeThreads = Math.max(MIN_PROBE_THREADS, Math.min(servers, spareKb / footprint.kbPerThread()));
        int bufferBase = Math.min(memoryMb, MAX_BUFFER_BASE_MB) * MB;
        return new Caps(clients, servers, clients + probeThreads, bufferBase / QUERY_BUFFER_DIVISOR, bufferBase / ANSWER_BUFFER_DIVISOR);
    }
}
