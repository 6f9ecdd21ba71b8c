package holdmux.config;

/**
 * Memory that the virtual machine uses under the flags in deploy/balancer.toml, apart from what is cached from files.
 *
 * @param jvmMb megabytes of heap, metaspace, code cache and internal structures
 * @param kbPerThread kilobytes of the stack of a thread that serves a connection, and of its socket. Much of it is the zone
 *     behind the stack that the virtual machine touches ahead of use.
 */
record Footprint(int jvmMb, int kbPerThread) {
    static final Footprint X86_64 = new Footprint(89, 64);
    static final Footprint ARM64 = new Footprint(93, 118);

    /** Returns the footprint on the architecture that the system property {@code os.arch} names. */
    static Footprint of(String architecture) {
        return architecture.equals("aarch64") ? ARM64 : X86_64;
    }
}
