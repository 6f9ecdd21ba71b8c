package holdmux.flight;

import holdmux.core.Extension;
import holdmux.core.Front;
import holdmux.core.Services;
import holdmux.core.Upstream;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;

/** Adds Arrow Flight SQL next to PostgreSQL: a front if an address is configured, and an upstream for Flight servers. */
public final class FlightExtension implements Extension, AutoCloseable {
    /** Threads per side. Few are needed: event loops only move bytes, and requests run on worker threads. */
    private static final int EVENT_LOOP_THREADS = 2;

    private final InetSocketAddress listenAddress;
    private final Set<String> kinds;
    private FlightLimits limits;
    private BufferAllocator allocator;
    /** Separate groups for clients and servers, so that a table is not received and sent on the same thread. */
    private EventLoopGroup clientEventLoops, serverEventLoops;
    private MemoryBudget budget;

    /**
     * Creates the extension.
     *
     * @param listenAddress null for no front
     * @param kinds the server kinds that speak Flight SQL, as named by discovery
     */
    public FlightExtension(InetSocketAddress listenAddress, Set<String> kinds) {
        this.listenAddress = listenAddress;
        this.kinds = Set.copyOf(kinds);
    }

    private synchronized void initialize(Services services) {
        if (limits == null) {
            limits = FlightLimits.of(services.config());
            allocator = new RootAllocator(limits.maxAllocatorBytes());
            clientEventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("flight-clients", true));
            serverEventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("flight-servers", true));
            budget = new MemoryBudget(limits.maxStreamBytes());
        }
    }

    @Override
    public Set<String> kinds() {
        return kinds;
    }

    @Override
    public Upstream upstream(Services services) {
        initialize(services);
        return new FlightUpstream(services, limits, budget, new ArrowIpc(allocator), serverEventLoops);
    }

    @Override
    public Front front(Services services) {
        if (listenAddress == null) {
            return null;
        }
        initialize(services);
        String version = FlightExtension.class.getPackage().getImplementationVersion();
        return new FlightFront(listenAddress, services, limits, new ArrowIpc(allocator),
                new Catalog(allocator, version == null ? "work tree" : version), clientEventLoops);
    }

    /** Bytes currently reserved for results in transit. */
    public long streamBytes() {
        return budget == null ? 0 : budget.reservedBytes();
    }

    /** Stops the event loops and closes Arrow's allocator, which throws if any of its memory is still in use. */
    @Override
    public synchronized void close() {
        if (limits != null) {
            clientEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            serverEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            allocator.close();
        }
    }
}
