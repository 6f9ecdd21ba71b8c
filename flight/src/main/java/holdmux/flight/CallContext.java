package holdmux.flight;

import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Metadata;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** A call's connection, headers, deadline (null for none) and the means to abort its connection. */
record CallContext(Object connection, Metadata headers, Deadline deadline, ClientConnections connections, IntConsumer onReadyThreshold) {
    static final Context.Key<CallContext> KEY = Context.key("caller");

    static CallContext current() {
        return KEY.get();
    }

    /** Returns a header's value, or null. */
    String header(String name) {
        return headers.get(Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER));
    }

    /** Time left until the caller's gRPC deadline; {@code Long.MAX_VALUE} without one. */
    long remainingNs() {
        return deadline == null ? Long.MAX_VALUE : deadline.timeRemaining(TimeUnit.NANOSECONDS);
    }

    /** Sets how many bytes may be queued for writing before the call stops being ready for more. */
    void setOnReadyThreshold(int bytes) {
        onReadyThreshold.accept(bytes);
    }

    /** Closes the connection immediately; a status would be queued behind the data that the client does not read. */
    void abortConnection() {
        connections.abort(connection);
    }
}
