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
    private final Buffers buffers;

    /** A connection yet to be opened. */
    ServerConnection(long store, InetSocketAddress address, Buffers buffers) throws IOException {
        this.store = store;
        this.address = address;
        this.buffers = buffers;
        channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    void connect() throws IOException {
        channel.connect(address);
    }

    /** Writes what is composed; returns once the last byte is written. */
    void send(java.util.function.Consumer<Message> composer) throws IOException {
        byte[] buffer = buffers.take();
        try {
            Message message = new Message(buffer);
            composer.accept(message);
            ByteBuffer bytes = message.bytes();
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } finally {
            buffers.give(buffer);
        }
    }

    /**
     * Reads a whole answer; no buffer is held before its first bytes come. The answer keeps its buffer, which the
     * caller gives back. If the connection breaks behind a served row or an error, that stands all the same.
     */
    Answer receive(Answer.Form form) throws IOException, ProtocolException {
        byte[] head = new byte[Message.HEAD];
        int got = channel.read(ByteBuffer.wrap(head));
        Answer answer = new Answer(buffers.take(), form);
        boolean kept = false;
        try {
            ByteBuffer in = ByteBuffer.wrap(answer.buffer).put(head, 0, Math.max(0, got));
            while (got >= 0 && !answer.parse(in.position())) {
                got = channel.read(in);
            }
            if (got < 0) {
                throw new EOFException("the server closed the connection");
            }
            kept = true;
        } catch (IOException e) {
            kept = answer.served() || answer.sqlState() != null;
            if (!kept) {
                throw e;
            }
        } finally {
            if (!kept) {
                buffers.give(answer.buffer);
            }
        }
        return answer;
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
