package holdmux.flight;

import holdmux.core.IdleConnections;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/**
 * One connection to a Flight server; one request at a time uses it. Retries, hedging and gRPC's own transparent sending
 * again are off: what may have run is never sent again but by the decision module.
 */
final class FlightConnection implements IdleConnections.Connection {
    private static final long MS = 1_000_000L;

    private final long store;
    private final InetSocketAddress address;
    private final ManagedChannel channel;

    /** {@code mostBytes}: the longest message taken. */
    FlightConnection(long serverId, InetSocketAddress address, EventLoopGroup eventLoops, long connectTimeoutNs, int maxMessageBytes) {
        this.store = serverId;
        this.address = address;
        channel = NettyChannelBuilder.forAddress(address).usePlaintext().disableRetry().directExecutor()
                .eventLoopGroup(eventLoops).channelType(NioSocketChannel.class)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNs / MS))
                .maxInboundMessageSize(maxMessageBytes).maxInboundMetadataSize(FlightLimits.MAX_METADATA_BYTES)
                .flowControlWindow(FlightLimits.FLOW_CONTROL_WINDOW_BYTES).build();
    }

    ManagedChannel channel() {
        return channel;
    }

    @Override
    public long serverId() {
        return store;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public boolean isReusable() {
        return channel.getState(false) == ConnectivityState.READY;
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }
}
