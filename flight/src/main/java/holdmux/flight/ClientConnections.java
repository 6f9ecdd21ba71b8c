package holdmux.flight;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The client connections there are, never more than a cap, and the means to cut one off. */
final class ClientConnections {
    private final int maxConnections;
    private final AtomicInteger count = new AtomicInteger();
    private final Map<Object, Channel> byAddress = new ConcurrentHashMap<>();

    ClientConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Takes in one more; false at the cap. */
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

    /** Ends a client's connection at once, whatever waits to be written on it. */
    void abort(Object address) {
        Channel channel = byAddress.get(address);
        if (channel != null) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            // past the pipeline, whose HTTP/2 would wait for open streams to end
            channel.eventLoop().execute(() -> channel.unsafe().close(channel.voidPromise()));
        }
    }
}
