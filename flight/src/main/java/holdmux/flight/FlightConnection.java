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
    FlightConnection(long store, InetSocketAddress address, EventLoopGroup loops, long connectTimeoutNs, int mostBytes) {
        this.store = store;
        this.address = address;
        channel = NettyChannelBuilder.forAddress(address).usePlaintext().disableRetry().directExecutor()
                .eventLoopGroup(loops).channelType(NioSocketChannel.class)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNs / MS))
                .maxInboundMessageSize(mostBytes).maxInboundMetadataSize(FlightLimits.METADATA_BYTES)
                .flowControlWindow(FlightLimits.WINDOW_BYTES).build();
    }

    ManagedChannel channel() {
        return channel;
    }

    @Override
    public long store() {
        return store;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public boolean clean() {
        return channel.getState(false) == ConnectivityState.READY;
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }
}
