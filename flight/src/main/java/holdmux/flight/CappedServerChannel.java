package holdmux.flight;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;

/** Accepts no more connections than a cap; one more is closed at once, before it costs a handshake. */
final class CappedServerChannel extends NioServerSocketChannel {
    private final Connections connections;
    private final Runnable turnedAway;

    CappedServerChannel(Connections connections, Runnable turnedAway) {
        this.connections = connections;
        this.turnedAway = turnedAway;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int had = accepted.size();
        int got = super.doReadMessages(accepted);
        if (got > 0) {
            Channel channel = (Channel) accepted.get(had);
            if (!connections.admit(channel)) {
                accepted.remove(had);
                channel.unsafe().closeForcibly();
                turnedAway.run();
                return 0;
            }
        }
        return got;
    }
}
