package holdmux.flight;

import holdmux.core.IdleConnections;
import holdmux.core.IdleConnections.Readiness;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/**
 * A connection to a Flight server, used by one request at a time. gRPC's retries, hedging and transparent retries are
 * disabled: only the decision module may send a request again that may already have run.
 */
final class FlightConnection implements IdleConnections.Connection {
    private static final long MS = 1_000_000L;

    private final long serverId;
    private final InetSocketAddress address;
    private final ManagedChannel channel;

    /** {@code maxMessageBytes} limits the size of a received message. */
    FlightConnection(long serverId, InetSocketAddress address, EventLoopGroup eventLoops, long connectTimeoutNs, int maxMessageBytes) {
        this.serverId = serverId;
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
        return serverId;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public Readiness readiness() {
        return channel.getState(false) == ConnectivityState.READY ? Readiness.READY : Readiness.BROKEN;
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }
}
