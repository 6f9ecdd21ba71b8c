package holdmux.flight;

import holdmux.core.Counters.Counter;
import holdmux.core.Front;
import holdmux.core.Log;
import holdmux.core.Services;
import holdmux.core.Workers;
import io.grpc.Attributes;
import io.grpc.Grpc;
import io.grpc.Server;
import io.grpc.ServerTransportFilter;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;

/** The Arrow Flight SQL front: its listener, its calls and its end. */
final class FlightFront implements Front {
    private static final int KEY_BYTES = 32, BACKLOG = 512;
    /** A connection without a call is closed after this: tools keep theirs for a work session at most. */
    private static final long IDLE_MINUTES = 30;
    /** Clients may ask this often whether we are there; more is taken for a fault of theirs. */
    private static final long KEEP_ALIVE_S = 10;

    private final InetSocketAddress address;
    private final Services services;
    private final FlightLimits limits;
    private final FlightService service;
    private final Prepared prepared;
    private final CallGate gate;
    private final EventLoopGroup loops;
    private final Connections connections;
    private volatile long endsAt = Long.MAX_VALUE;
    /** Null while nobody is taken in. */
    private volatile Server server;
    private boolean away, stopped;

    FlightFront(InetSocketAddress address, Services services, FlightLimits limits, Ipc ipc, Catalog catalog,
            EventLoopGroup loops) {
        this.address = address;
        this.services = services;
        this.limits = limits;
        this.loops = loops;
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        prepared = new Prepared(limits.prepared(), FlightLimits.PREPARED_A_CONNECTION);
        connections = new Connections(limits.connections());
        gate = new CallGate(limits.calls(), services.counters(), connections);
        service = new FlightService(services, new Tickets(key, limits.tickets(), FlightLimits.TICKET_LIFE_NS), prepared,
                catalog, ipc, new Workers(limits.calls()), () -> endsAt - services.clock().now());
    }

    private Server build() {
        return NettyServerBuilder.forAddress(address)
                .channelFactory(() -> new CappedServerChannel(connections,
                        () -> services.counters().count(Counter.CLIENTS_TURNED_AWAY)))
                .bossEventLoopGroup(loops).workerEventLoopGroup(loops).directExecutor()
                // a newer process listens beside this one while it takes over
                .withOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .withOption(ChannelOption.SO_BACKLOG, BACKLOG)
                .maxInboundMessageSize(2 * FlightLimits.STATEMENT_BYTES)
                .maxInboundMetadataSize(FlightLimits.METADATA_BYTES)
                .maxConcurrentCallsPerConnection(FlightLimits.CALLS_A_CONNECTION)
                .maxConnectionIdle(IDLE_MINUTES, TimeUnit.MINUTES)
                .permitKeepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS).permitKeepAliveWithoutCalls(true)
                .addTransportFilter(new ServerTransportFilter() {
                    @Override
                    public void transportTerminated(Attributes transport) {
                        Object connection = transport == null ? null
                                : transport.get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
                        if (connection != null) {
                            prepared.gone(connection);
                        }
                    }
                })
                .intercept(gate).addService(service.bind()).build();
    }

    @Override
    public synchronized void listen() throws IOException {
        if (!stopped && !away && server == null) {
            server = build().start();
            Log.info("Flight SQL at " + address);
        }
    }

    @Override
    public boolean isServing() {
        return server != null;
    }

    /** GOAWAY to all: calls that run end as they would, and nobody new is taken in until the order is taken back. */
    @Override
    public synchronized void sendAway(boolean yes) {
        if (yes == away) {
            return;
        }
        away = yes;
        if (yes) {
            shutDown();
        } else {
            try {
                listen();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private synchronized void shutDown() {
        if (server != null) {
            server.shutdown();
            server = null;
        }
    }

    @Override
    public void endAfter(long afterNs) {
        endsAt = services.clock().now() + afterNs;
    }

    @Override
    public void handOver() {
        shutDown();
    }

    @Override
    public synchronized void stopAccepting() {
        stopped = true;
        shutDown();
    }

    /** GOAWAY has told the clients already, and each connection ends with its last call. */
    @Override
    public void closeWhenIdle() {
        shutDown();
    }

    @Override
    public int openClients() {
        return connections.count();
    }
}
