package holdmux.flight;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The client connections there are, never more than a cap, and the means to cut one off. */
final class Connections {
    private final int most;
    private final AtomicInteger count = new AtomicInteger();
    private final Map<Object, Channel> byClient = new ConcurrentHashMap<>();

    Connections(int most) {
        this.most = most;
    }

    /** Takes in one more; false at the cap. */
    boolean admit(Channel channel) {
        if (count.incrementAndGet() > most) {
            count.decrementAndGet();
            return false;
        }
        Object client = channel.remoteAddress();
        byClient.put(client, channel);
        channel.closeFuture().addListener(closed -> {
            byClient.remove(client, channel);
            count.decrementAndGet();
        });
        return true;
    }

    int count() {
        return count.get();
    }

    /** Ends a client's connection at once, whatever waits to be written on it. */
    void cutOff(Object client) {
        Channel channel = byClient.get(client);
        if (channel != null) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            // past the pipeline, whose HTTP/2 would wait for open streams to end
            channel.eventLoop().execute(() -> channel.unsafe().close(channel.voidPromise()));
        }
    }
}
