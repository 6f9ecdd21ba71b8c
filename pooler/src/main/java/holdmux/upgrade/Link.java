package holdmux.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** Frames of one size between two processes of one pooler. Any thread may send; one thread receives. */
final class Link implements Closeable {
    /** What a frame says. */
    enum Kind {
        /** Session {@code b} of group {@code a} has written at {@code c}; session 0 stands for the group's floor. */
        PAST_WRITE(false),
        /** The same of a write whose client waits for its answer. */
        PENDING_WRITE(true),
        /** One more frame that asked for a word is taken in. */
        ACK(false),
        /** All writes so far have been told. */
        SYNCED(false),
        /** The operators' orders have changed. */
        ORDERS_CHANGED(true),
        /** The sender holds {@code a} clients and {@code b} connections to servers. */
        USAGE(false),
        /** The sender serves clients. */
        SERVING(false);

        final boolean needsAck;

        Kind(boolean needsAck) {
            this.needsAck = needsAck;
        }
    }

    record Frame(Kind kind, long a, long b, long c) {}

    /** The kind as an int, an int that is spare, and three longs. */
    static final int FRAME_BYTES = 2 * Integer.BYTES + 3 * Long.BYTES;

    private final SocketChannel channel;
    private final ByteBuffer in = ByteBuffer.allocate(FRAME_BYTES);
    private long sentNeedingAck;

    Link(SocketChannel channel) {
        this.channel = channel;
    }

    /** Returns how many frames sent so far ask for a word, this one among them. */
    synchronized long send(Frame frame) throws IOException {
        sentNeedingAck += frame.kind().needsAck ? 1 : 0;
        ByteBuffer out = encode(frame);
        while (out.hasRemaining()) {
            channel.write(out);
        }
        return sentNeedingAck;
    }

    /** The next frame; an {@link IOException} at the end of the other process. */
    Frame receive() throws IOException {
        in.clear();
        while (in.hasRemaining()) {
            if (channel.read(in) < 0) {
                throw new IOException("the other process has ended");
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
            throw new IOException("a frame of kind " + kind);
        }
        bytes.getInt();
        return new Frame(Kind.values()[kind], bytes.getLong(), bytes.getLong(), bytes.getLong());
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
