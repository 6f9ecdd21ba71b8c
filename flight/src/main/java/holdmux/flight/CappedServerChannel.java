package holdmux.flight;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;

/** Closes accepted connections over the limit immediately, before they cost an HTTP/2 handshake. */
final class CappedServerChannel extends NioServerSocketChannel {
    private final ClientConnections connections;
    private final Runnable onRejected;

    CappedServerChannel(ClientConnections connections, Runnable onRejected) {
        this.connections = connections;
        this.onRejected = onRejected;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int sizeBefore = accepted.size();
        int acceptedCount = super.doReadMessages(accepted);
        if (acceptedCount > 0) {
            Channel channel = (Channel) accepted.get(sizeBefore);
            if (!connections.tryAdd(channel)) {
                accepted.remove(sizeBefore);
                channel.unsafe().closeForcibly();
                onRejected.run();
                return 0;
            }
        }
        return acceptedCount;
    }
}
