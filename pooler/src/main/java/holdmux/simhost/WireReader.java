package holdmux.simhost;

import holdmux.decision.SplitterApi.Answered;
import holdmux.decision.SplitterApi.Arrived;
import holdmux.decision.SplitterApi.Availability;
import holdmux.decision.SplitterApi.Checked;
import holdmux.decision.SplitterApi.ClientLeft;
import holdmux.decision.SplitterApi.Event;
import holdmux.decision.SplitterApi.ListChanged;
import holdmux.decision.SplitterApi.ListMode;
import holdmux.decision.SplitterApi.Listing;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.PeerMessage;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.Started;
import holdmux.decision.SplitterApi.Wakeup;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Decodes batches of the simulator's wire protocol into events. */
final class WireReader {
    /** Receives the records of a batch in their order. */
    interface Sink {
        void spawn(int instance, long seed, String config);

        void killed(int instance);

        void event(int instance, Event event);

        /** The clock time that the positions of this instance are relative to. */
        long zeroNs(int instance);
    }

    private static final int HEADER_BYTES = 16;
    /** Encoded size of one entry of a server list. */
    private static final int LISTING_BYTES = 27;
    private static final float[] NO_REPORT = new float[0];
    private static final long NS_PER_MS = 1_000_000L;
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final InputStream in;
    /** Registered server lists by list number; null where none was registered yet. */
    private final List<List<Listing>> serverLists = new ArrayList<>();
    private ByteBuffer frame = ByteBuffer.allocate(1 << 16);
    private int records;

    WireReader(InputStream in) {
        this.in = in;
        for (int i = 0; i < 16; i++) {
            serverLists.add(null);
        }
    }

    /** Reads the next batch whole. Returns false at the end of input. */
    boolean readBatch() throws IOException {
        frame.clear();
        int bytesRead = in.readNBytes(frame.array(), 0, HEADER_BYTES);
        if (bytesRead == 0) {
            return false;
        }
        if (bytesRead < HEADER_BYTES) {
            throw new EOFException("the input ends inside a batch header");
        }
        int length = frame.getInt(8);
        records = frame.getInt(12);
        if (length < HEADER_BYTES || records < 0) {
            throw new WireException("a batch header states length " + length + " and " + records + " records");
        }
        if (length > frame.capacity()) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(length, 2 * frame.capacity()));
            System.arraycopy(frame.array(), 0, larger.array(), 0, HEADER_BYTES);
            frame = larger;
        }
        if (in.readNBytes(frame.array(), HEADER_BYTES, length - HEADER_BYTES) < length - HEADER_BYTES) {
            throw new EOFException("the input ends inside a batch");
        }
        frame.position(HEADER_BYTES).limit(length);
        return true;
    }

    /** The simulated time of the current batch. */
    long batchTimeNs() {
        return frame.getLong(0);
    }

    /** Passes all records of the current batch to the sink. */
    void decode(Sink sink) {
        try {
            for (int i = 0; i < records; i++) {
                decodeRecord(sink);
            }
        } catch (BufferUnderflowException e) {
            throw new WireException("a record runs past the end of its batch");
        }
        if (frame.hasRemaining()) {
            throw new WireException(frame.remaining() + " bytes are left after the last record of a batch");
        }
    }

    private void decodeRecord(Sink sink) {
        int code = frame.getShort() & 0xffff;
        if (code == 1050) {
            register();
            return;
        }
        int instance = frame.getInt();
        switch (code) {
            case 1000 -> sink.event(instance, new PeerMessage(frame.getInt(), bytes(u16())));
            case 1010 -> sink.event(instance, arrived());
            case 1020 -> sink.event(instance, new Wakeup(frame.getInt()));
            case 1030 -> sink.event(instance, answered(sink.zeroNs(instance)));
            case 1040 -> sink.spawn(instance, frame.getLong(), text(frame.getInt()));
            case 1060 -> sink.event(instance, new ClientLeft(frame.getLong()));
            case 1070 -> sink.killed(instance);
            case 1080 -> sink.event(instance, checked());
            case 1090 -> sink.event(instance, started());
            case 1100 -> sink.event(instance, targets());
            default -> throw new WireException("unknown event code " + code);
        }
    }

    private Arrived arrived() {
        long id = frame.getLong();
        int classIndex = u8();
        int options = u8();
        long remaining = frame.getLong();
        float tokenMs = frame.getFloat();
        // the age is rounded down by one ulp, so that the required position is never understated
        long age = tokenMs > 0 ? Math.max(1, (long) (Math.nextDown(tokenMs) * (double) NS_PER_MS)) : 0;
        long effort = frame.getLong();
        long session = frame.getLong();
        int tenant = u16();
        return new Arrived(id, classIndex, (options & 2) != 0, remaining, age, (options & 1) != 0 ? effort : 0,
                session, tenant, (int) frame.getFloat());
    }

    private Answered answered(long zeroNs) {
        long id = frame.getLong();
        long store = store();
        boolean isFinal = u8() != 0;
        Outcome outcome = outcome();
        long latency = frame.getLong();
        long stamp = frame.getInt() & 0xffffffffL;
        int attempt = u8();
        Role role = switch ((int) (stamp & 3)) {
            case 1 -> Role.PRIMARY;
            case 2 -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
        long position = stamp >>> 2 == 0 ? 0 : zeroNs + (stamp >>> 2) * NS_PER_MS;
        return new Answered(id, store, attempt, isFinal, outcome, latency, role, position, report());
    }

    private Checked checked() {
        return new Checked(store(), outcome(), frame.getLong(), report());
    }

    private Started started() {
        long id = frame.getLong();
        int attempt = u8();
        Started event = new Started(id, store(), attempt);
        frame.getLong();
        return event;
    }

    private ListChanged targets() {
        long generation = frame.getInt() & 0xffffffffL;
        int listNumber = u8();
        int modeCode = u8();
        if (modeCode > 3) {
            throw new WireException("a targets event has the unknown mode " + modeCode);
        }
        ListMode mode = ListMode.values()[modeCode];
        if (mode == ListMode.FAILED) {
            return new ListChanged(mode, generation, List.of());
        }
        if (listNumber >= serverLists.size() || serverLists.get(listNumber) == null) {
            throw new WireException("a targets event names list " + listNumber + ", which was not registered");
        }
        return new ListChanged(mode, generation, serverLists.get(listNumber));
    }

    private void register() {
        int listNumber = u8();
        int count = frame.getInt();
        if (listNumber >= serverLists.size()) {
            throw new WireException("a register event has the invalid list number " + listNumber);
        }
        if (count < 0 || (long) count * LISTING_BYTES > frame.remaining()) {
            throw new WireException("a register event states " + count + " entries, more than its batch holds");
        }
        List<Listing> listings = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            listings.add(listing());
        }
        serverLists.set(listNumber, List.copyOf(listings));
    }

    private Listing listing() {
        boolean writer = frame.getFloat() == 1f;
        int zone = u8();
        int availability = u8();
        if (availability > 2) {
            throw new WireException("a server list entry has the unknown availability " + availability);
        }
        int group = u16();
        long store = store();
        int kind = u8();
        long startedAt = frame.getLong();
        return new Listing(store, group, zone, kind, Availability.values()[availability], writer, startedAt,
                frame.getFloat());
    }

    private float[] report() {
        int count = u8();
        if (count == 0) {
            return NO_REPORT;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = frame.getFloat();
        }
        return values;
    }

    private Outcome outcome() {
        int code = u8();
        if (code < 1 || code > OUTCOMES.length) {
            throw new WireException("unknown outcome " + code);
        }
        return OUTCOMES[code - 1];
    }

    private long store() {
        return (frame.getInt() & 0xffffffffL) << 16 | u16();
    }

    private String text(int length) {
        return new String(bytes(length), StandardCharsets.UTF_8);
    }

    private byte[] bytes(int length) {
        if (length < 0 || length > frame.remaining()) {
            throw new WireException("a field of " + length + " bytes runs past the end of its batch");
        }
        byte[] value = new byte[length];
        frame.get(value);
        return value;
    }

    private int u8() {
        return frame.get() & 0xff;
    }

    private int u16() {
        return frame.getShort() & 0xffff;
    }
}
