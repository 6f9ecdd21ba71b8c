package holdmux.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** A connection between two processes of one pooler that carries fixed-size frames. Any thread may send; one thread receives. */
final class Link implements Closeable {
    /** Frame types. The ordinal is sent on the wire. */
    enum Kind {
        /** Session {@code b} of group {@code a} has written at position {@code c}; session 0 stands for the group's floor. */
        PAST_WRITE(false),
        /** Like {@link #PAST_WRITE}, for a write whose client is still waiting for its answer. */
        PENDING_WRITE(true),
        /** One more frame that needs an acknowledgement has been processed. */
        ACK(false),
        /** All writes up to now have been sent. */
        SYNCED(false),
        /** The operators' orders have changed. */
        ORDERS_CHANGED(true),
        /** The sender holds {@code a} client connections and {@code b} server connections. */
        USAGE(false),
        /** The sender serves clients. */
        SERVING(false);

        final boolean needsAck;

        Kind(boolean needsAck) {
            this.needsAck = needsAck;
        }
    }

    /** One message; the meaning of {@code a}, {@code b} and {@code c} depends on the kind. */
    record Frame(Kind kind, long a, long b, long c) {}

    /** Size of an encoded frame: the kind as an int, an unused int, and three longs. */
    static final int FRAME_BYTES = 2 * Integer.BYTES + 3 * Long.BYTES;

    private final SocketChannel channel;
    private final ByteBuffer in = ByteBuffer.allocate(FRAME_BYTES);
    private long sentNeedingAck;

    Link(SocketChannel channel) {
        this.channel = channel;
    }

    /** Sends a frame. Returns how many of the frames sent so far need an acknowledgement, this one included. */
    synchronized long send(Frame frame) throws IOException {
        sentNeedingAck += frame.kind().needsAck ? 1 : 0;
        ByteBuffer out = encode(frame);
        while (out.hasRemaining()) {
            channel.write(out);
        }
        return sentNeedingAck;
    }

    /** Blocks for the next frame; throws an {@link IOException} once the other process has closed the connection. */
    Frame receive() throws IOException {
        in.clear();
        while (in.hasRemaining()) {
            if (channel.read(in) < 0) {
                throw new IOException("the other process closed the connection");
            }
        }
        return decode(in.flip());
    }

    static ByteBuffer encode(Frame frame) {
        return ByteBuffer.allocate(FRAME_BYTES).putInt(frame.kind().ordinal()).putInt(0).putLong(frame.a())
                .putLong(frame.b()).putLong(frame.c()).flip();
    }

    static Frame decode(ByteBuffer bytes) throws IOException {
        int kind = bytes.getInt();
        if (kind < 0 || kind >= Kind.values().length) {
            throw new IOException("unknown frame kind " + kind);
        }
        bytes.getInt();
        return new Frame(Kind.values()[kind], bytes.getLong(), bytes.getLong(), bytes.getLong());
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // nothing left to do
        }
    }
}
