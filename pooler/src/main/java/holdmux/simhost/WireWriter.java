package holdmux.simhost;

import holdmux.decision.SplitterApi.Action;
import holdmux.decision.SplitterApi.CloseIdle;
import holdmux.decision.SplitterApi.Decline;
import holdmux.decision.SplitterApi.Inspect;
import holdmux.decision.SplitterApi.ListAll;
import holdmux.decision.SplitterApi.MemoTo;
import holdmux.decision.SplitterApi.Remark;
import holdmux.decision.SplitterApi.RespondError;
import holdmux.decision.SplitterApi.Retract;
import holdmux.decision.SplitterApi.Schedule;
import holdmux.decision.SplitterApi.Subscribe;
import holdmux.decision.SplitterApi.Transmit;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes actions into replies of the simulator's wire protocol. */
final class WireWriter {
    private static final int HEADER_BYTES = 8;
    /** Upper bound on the fixed-size fields of a record. */
    private static final int MAX_FIXED_BYTES = 64;

    private ByteBuffer frame = ByteBuffer.allocate(1 << 14);
    private int records;

    /** Starts a new, empty reply. */
    void beginReply() {
        frame.clear().position(HEADER_BYTES);
        records = 0;
    }

    /** Appends one action of an instance. */
    void write(int instance, Action action) {
        if (action instanceof Transmit a) {
            beginRecord(1000, instance).putLong(a.id());
            store(a.store()).putLong(a.limitNs());
        } else if (action instanceof Schedule a) {
            beginRecord(1040, instance).putLong(a.afterNs()).putInt(a.handle());
        } else if (action instanceof Inspect a) {
            beginRecord(1050, instance);
            store(a.store());
        } else if (action instanceof Retract a) {
            beginRecord(1030, instance).putLong(a.id()).put((byte) a.attempt());
        } else if (action instanceof Decline a) {
            beginRecord(1010, instance).putLong(a.id()).putLong(a.waitNs());
        } else if (action instanceof RespondError a) {
            beginRecord(1020, instance).putLong(a.id());
        } else if (action instanceof CloseIdle a) {
            beginRecord(1060, instance);
            store(a.store());
        } else if (action instanceof MemoTo a) {
            beginRecord(1070, instance).putShort((short) a.peer());
            bytes(a.body());
        } else if (action instanceof Remark a) {
            beginRecord(1080, instance);
            bytes(a.words().getBytes(StandardCharsets.UTF_8));
        } else if (action instanceof Subscribe a) {
            beginRecord(1100, instance).put((byte) (a.enable() ? 1 : 0));
        } else if (action instanceof ListAll) {
            beginRecord(1110, instance);
        }
    }

    /** Appends a report that the decision code of an instance threw an exception. */
    void crash(int instance, String message) {
        beginRecord(1090, instance);
        bytes(message.getBytes(StandardCharsets.UTF_8));
    }

    /** Completes the header and sends the reply. */
    void flushTo(OutputStream out) throws IOException {
        frame.putInt(0, records).putInt(4, frame.position());
        out.write(frame.array(), 0, frame.position());
        out.flush();
    }

    private ByteBuffer beginRecord(int code, int instance) {
        ensureRemaining(MAX_FIXED_BYTES);
        records++;
        return frame.putShort((short) code).putInt(instance);
    }

    private ByteBuffer store(long store) {
        return frame.putInt((int) (store >>> 16)).putShort((short) store);
    }

    private void bytes(byte[] value) {
        ensureRemaining(2 + value.length);
        frame.putShort((short) value.length).put(value);
    }

    private void ensureRemaining(int needed) {
        if (frame.remaining() < needed) {
            int size = Math.max(2 * frame.capacity(), frame.position() + needed);
            frame = ByteBuffer.wrap(Arrays.copyOf(frame.array(), size)).position(frame.position());
        }
    }
}
