package holdmux.pg;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * One connection to a server: blocking, one request at a time. A channel rather than a Socket, because only a
 * channel can be looked into without waiting; there is no selector.
 */
final class ServerConnection implements Closeable {
    final long store;
    final InetSocketAddress address;
    private final SocketChannel channel;

    /** A connection yet to be opened. */
    ServerConnection(long store, InetSocketAddress address) throws IOException {
        this.store = store;
        this.address = address;
        channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    /** Connects and logs in, as any user; the server's greeting is read into the answer. */
    void open(byte[] buffer, Answer greeting) throws IOException, ProtocolException {
        channel.connect(address);
        send(new Message(buffer).beginUntyped().put(Message.PROTOCOL_3).put("user").put("holdmux")
                .put("database").put("crm").put('\0').end());
        receive(buffer, 0, greeting);
    }

    /** Returns once the last byte is written. */
    void send(Message message) throws IOException {
        ByteBuffer bytes = message.bytes();
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Reads until the answer is whole; {@code got} bytes of it are in the buffer already. */
    void receive(byte[] buffer, int got, Answer answer) throws IOException, ProtocolException {
        ByteBuffer in = ByteBuffer.wrap(buffer).position(got);
        while (!answer.parse(in.position())) {
            if (channel.read(in) < 0) {
                throw new EOFException("the server closed the connection");
            }
        }
    }

    /** Waits for the first bytes of an answer, so that no buffer is held meanwhile; how many came. */
    int awaitFirst(byte[] head) throws IOException {
        int got = channel.read(ByteBuffer.wrap(head));
        if (got < 0) {
            throw new EOFException("the server closed the connection");
        }
        return got;
    }

    /** Whether an idle connection still stands with nothing to be read: neither an end nor a late word. */
    boolean clean() {
        try {
            channel.configureBlocking(false);
            int got = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return got == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // closing is all that was wanted
        }
    }
}
