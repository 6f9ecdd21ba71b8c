package holdmux.flight;

import holdmux.core.Front;
import holdmux.core.Part;
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

/** Arrow Flight SQL beside PostgreSQL: a front where an address is given, an upstream for the kinds that speak it. */
public final class FlightPart implements Part, AutoCloseable {
    /** On each side: loops only move bytes, lives have workers. */
    private static final int LOOPS = 2;

    private final InetSocketAddress listen;
    private final Set<String> kinds;
    private FlightLimits limits;
    private BufferAllocator allocator;
    /** The clients' side and the servers', apart, so that a table does not come and go on one thread. */
    private EventLoopGroup clientLoops, serverLoops;
    private Budget budget;

    /** {@code listen}: null for no front; {@code kinds}: the servers' kinds that speak Flight SQL, as discovery names them. */
    public FlightPart(InetSocketAddress listen, Set<String> kinds) {
        this.listen = listen;
        this.kinds = Set.copyOf(kinds);
    }

    private synchronized void begin(Services services) {
        if (limits == null) {
            limits = FlightLimits.of(services.config());
            allocator = new RootAllocator(limits.allocatorBytes());
            clientLoops = new NioEventLoopGroup(LOOPS, new DefaultThreadFactory("flight-clients", true));
            serverLoops = new NioEventLoopGroup(LOOPS, new DefaultThreadFactory("flight-servers", true));
            budget = new Budget(limits.streamBytes());
        }
    }

    @Override
    public Set<String> kinds() {
        return kinds;
    }

    @Override
    public Upstream upstream(Services services) {
        begin(services);
        return new FlightUpstream(services, limits, budget, new Ipc(allocator), serverLoops);
    }

    @Override
    public Front front(Services services) {
        if (listen == null) {
            return null;
        }
        begin(services);
        String version = FlightPart.class.getPackage().getImplementationVersion();
        return new FlightFront(listen, services, limits, new Ipc(allocator),
                new Catalog(allocator, version == null ? "work tree" : version), clientLoops);
    }

    /** Bytes of tables on their way now. */
    public long streamBytes() {
        return budget == null ? 0 : budget.held();
    }

    /** Ends its threads and gives back Arrow's memory; complains if some of that is still in use. */
    @Override
    public synchronized void close() {
        if (limits != null) {
            clientLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            serverLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            allocator.close();
        }
    }
}
