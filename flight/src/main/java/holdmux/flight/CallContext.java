package holdmux.flight;

import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Metadata;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** Who made a call: its connection, its headers, how long it waits (null for ever), and the means to cut it off. */
record CallContext(Object connection, Metadata headers, Deadline deadline, ClientConnections connections, IntConsumer onReadyThreshold) {
    static final Context.Key<CallContext> KEY = Context.key("caller");

    static CallContext current() {
        return KEY.get();
    }

    /** A header's value; null for none. */
    String header(String name) {
        return headers.get(Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER));
    }

    /** How long the caller's gRPC deadline leaves. */
    long remainingNs() {
        return deadline == null ? Long.MAX_VALUE : deadline.timeRemaining(TimeUnit.NANOSECONDS);
    }

    /** From now on the call takes more while no more than this many bytes wait to be written on it. */
    void setOnReadyThreshold(int bytes) {
        onReadyThreshold.accept(bytes);
    }

    /** Ends the connection at once: a status would queue up behind what its client does not take. */
    void abortConnection() {
        connections.abort(connection);
    }
}
