package holdmux.flight;

import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.ForwardingServerCallListener.SimpleForwardingServerCallListener;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Where each call comes in: counted, refused at once at the cap, and given its {@link Caller}. */
final class CallGate implements ServerInterceptor {
    private final int most;
    private final Counters counters;
    private final Connections connections;
    private final AtomicInteger open = new AtomicInteger();

    CallGate(int most, Counters counters, Connections connections) {
        this.connections = connections;
        this.most = most;
        this.counters = counters;
    }

    /** Calls that are not over. */
    int open() {
        return open.get();
    }

    @Override
    public <Q, A> ServerCall.Listener<Q> interceptCall(ServerCall<Q, A> call, Metadata headers,
            ServerCallHandler<Q, A> next) {
        if (open.incrementAndGet() > most) {
            open.decrementAndGet();
            counters.count(Counter.CALLS_TURNED_AWAY);
            StatusRuntimeException refusal = Statuses.refused("too many calls at once", 0);
            Metadata trailers = refusal.getTrailers();
            call.close(refusal.getStatus(), trailers == null ? new Metadata() : trailers);
            return new ServerCall.Listener<>() { };
        }
        counters.count(Counter.CALLS);
        AtomicBoolean over = new AtomicBoolean();
        Runnable end = () -> {
            if (over.compareAndSet(false, true)) {
                open.decrementAndGet();
            }
        };
        try {
            Context context = Context.current();
            Object connection = call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
            Context with = context.withValue(Caller.KEY,
                    new Caller(connection, headers, context.getDeadline(), connections, call::setOnReadyThreshold));
            return new SimpleForwardingServerCallListener<>(Contexts.interceptCall(with, call, headers, next)) {
                @Override
                public void onComplete() {
                    end.run();
                    super.onComplete();
                }

                @Override
                public void onCancel() {
                    end.run();
                    super.onCancel();
                }
            };
        } catch (RuntimeException e) {
            end.run();
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("a Flight call failed here", e);
            call.close(Status.INTERNAL, new Metadata());
            return new ServerCall.Listener<>() { };
        }
    }
}
