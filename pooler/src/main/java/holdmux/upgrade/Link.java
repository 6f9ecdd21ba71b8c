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
        SERVING(false),
        /** The newer process asks the older one for the request id with the hash {@code a}, {@code b}; see {@link IdSharing}. */
        CLAIM_ID(false),
        /** The answer to {@link #CLAIM_ID}: the ordinal of the {@link holdmux.core.RequestIds.Verdict} in {@code c}. */
        ID_VERDICT(false),
        /** A request of the older process uses this id. */
        ID_USED(false),
        /** The request with this id certainly never ran. */
        ID_RELEASED(false),
        /** The server {@code a} has the role with the ordinal {@code b}, as known at the time {@code c}; see {@link RoleSharing}. */
        ROLE(false);

        final boolean needsAck;

        Kind(boolean needsAck) {
            this.needsAck = needsAck;
        }
    }

    /** One message; the meaning of {@code a}, {@code b} and {@code c} depends on the kind. */
    record Frame(Kind kind, long a, long b, long c) {}

    /** Size of an encoded frame: the kind and the sender's version as ints, and three longs. */
    static final int FRAME_BYTES = 2 * Integer.BYTES + 3 * Long.BYTES;
    /** The version of this program's frames; older programs send 0 and close the link on a kind that they do not know. */
    private static final int VERSION = 2;
    /** The first version that knows the frames about request ids. */
    private static final int FIRST_VERSION_WITH_IDS = 1;
    /** The first version that knows the frames about servers' roles. */
    private static final int FIRST_VERSION_WITH_ROLES = 2;

    private final SocketChannel channel;
    private final ByteBuffer in = ByteBuffer.allocate(FRAME_BYTES);
    private long sentNeedingAck;
    /** The other process's version as far as it is known. */
    private volatile int peerVersion;

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
        in.flip();
        peerVersion = in.getInt(Integer.BYTES);
        return decode(in);
    }

    /** Whether the other process has shown that it knows the frames about request ids. */
    boolean peerSharesIds() {
        return peerVersion >= FIRST_VERSION_WITH_IDS;
    }

    /** Whether the other process has shown that it knows the frames about servers' roles. */
    boolean peerSharesRoles() {
        return peerVersion >= FIRST_VERSION_WITH_ROLES;
    }

    static ByteBuffer encode(Frame frame) {
        return ByteBuffer.allocate(FRAME_BYTES).putInt(frame.kind().ordinal()).putInt(VERSION).putLong(frame.a())
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
