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

/** The Arrow Flight SQL front: listens, serves calls and shuts down gracefully. */
final class FlightFront implements Front {
    private static final int TICKET_KEY_BYTES = 32, LISTEN_BACKLOG = 512;
    /** Connections without a call are closed after this time; tools keep a connection for a work session at most. */
    private static final long MAX_IDLE_MINUTES = 30;
    /** The shortest interval of keep-alive pings allowed; gRPC closes the connection of a client that pings more often. */
    private static final long MIN_KEEP_ALIVE_S = 10;

    private final InetSocketAddress address;
    private final Services services;
    private final FlightLimits limits;
    private final FlightService service;
    private final PreparedStatements preparedStatements;
    private final CallInterceptor callInterceptor;
    private final EventLoopGroup eventLoops;
    private final ClientConnections connections;
    private volatile long endsAtNs = Long.MAX_VALUE;
    /** Null while no connections are accepted. */
    private volatile Server server;
    private boolean evacuating, stopped;

    FlightFront(InetSocketAddress address, Services services, FlightLimits limits, ArrowIpc ipc, Catalog catalog,
            EventLoopGroup eventLoops) {
        this.address = address;
        this.services = services;
        this.limits = limits;
        this.eventLoops = eventLoops;
        byte[] ticketKey = new byte[TICKET_KEY_BYTES];
        new SecureRandom().nextBytes(ticketKey);
        preparedStatements = new PreparedStatements(limits.maxPreparedStatements(), FlightLimits.MAX_PREPARED_PER_CONNECTION);
        connections = new ClientConnections(limits.maxConnections());
        callInterceptor = new CallInterceptor(limits.maxCalls(), services.counters(), connections);
        service = new FlightService(services, new Tickets(ticketKey, limits.maxTickets(), FlightLimits.TICKET_LIFETIME_NS),
                preparedStatements, catalog, ipc, new Workers(limits.maxCalls()), () -> endsAtNs - services.clock().now());
    }

    private Server buildServer() {
        return NettyServerBuilder.forAddress(address)
                .channelFactory(() -> new CappedServerChannel(connections,
                        () -> services.counters().count(Counter.CLIENTS_TURNED_AWAY)))
                .bossEventLoopGroup(eventLoops).workerEventLoopGroup(eventLoops).directExecutor()
                // during an upgrade the new process listens on the same port before this one stops
                .withOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .withOption(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .maxInboundMessageSize(2 * FlightLimits.MAX_STATEMENT_BYTES)
                .maxInboundMetadataSize(FlightLimits.MAX_METADATA_BYTES)
                .maxConcurrentCallsPerConnection(FlightLimits.MAX_CALLS_PER_CONNECTION)
                .maxConnectionIdle(MAX_IDLE_MINUTES, TimeUnit.MINUTES)
                .permitKeepAliveTime(MIN_KEEP_ALIVE_S, TimeUnit.SECONDS).permitKeepAliveWithoutCalls(true)
                .addTransportFilter(new ServerTransportFilter() {
                    @Override
                    public void transportTerminated(Attributes transport) {
                        Object connection = transport == null ? null
                                : transport.get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
                        if (connection != null) {
                            preparedStatements.removeAll(connection);
                        }
                    }
                })
                .intercept(callInterceptor).addService(service.serviceDefinition()).build();
    }

    @Override
    public synchronized void listen() throws IOException {
        if (!stopped && !evacuating && server == null) {
            server = buildServer().start();
            Log.info("Flight SQL at " + address);
        }
    }

    @Override
    public boolean isServing() {
        return server != null;
    }

    /** Sends GOAWAY to all clients: running calls complete, and no connections are accepted until this is revoked. */
    @Override
    public synchronized void setEvacuating(boolean enabled) {
        if (enabled == evacuating) {
            return;
        }
        evacuating = enabled;
        if (enabled) {
            shutDownServer();
        } else {
            try {
                listen();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private synchronized void shutDownServer() {
        if (server != null) {
            server.shutdown();
            server = null;
        }
    }

    @Override
    public void announceShutdown(long delayNs) {
        endsAtNs = services.clock().now() + delayNs;
    }

    @Override
    public void handOver() {
        shutDownServer();
    }

    @Override
    public synchronized void stopAccepting() {
        stopped = true;
        shutDownServer();
    }

    /** Clients were already sent GOAWAY, so each connection closes after its last call. */
    @Override
    public void closeWhenIdle() {
        shutDownServer();
    }

    @Override
    public int openClients() {
        return connections.count();
    }
}
