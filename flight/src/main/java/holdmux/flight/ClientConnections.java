package holdmux.flight;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks the open client connections, enforces their limit and can abort a single one. */
final class ClientConnections {
    private final int maxConnections;
    private final AtomicInteger count = new AtomicInteger();
    private final Map<Object, Channel> byAddress = new ConcurrentHashMap<>();

    ClientConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Registers a new connection until it closes; false if the limit is reached. */
    boolean tryAdd(Channel channel) {
        if (count.incrementAndGet() > maxConnections) {
            count.decrementAndGet();
            return false;
        }
        Object address = channel.remoteAddress();
        byAddress.put(address, channel);
        channel.closeFuture().addListener(closed -> {
            byAddress.remove(address, channel);
            count.decrementAndGet();
        });
        return true;
    }

    int count() {
        return count.get();
    }

    /** Resets the connection from this address, discarding any data queued for writing. */
    void abort(Object address) {
        Channel channel = byAddress.get(address);
        if (channel != null) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            // bypasses the pipeline, whose HTTP/2 handler would wait for open streams to end
            channel.eventLoop().execute(() -> channel.unsafe().close(channel.voidPromise()));
        }
    }
}
