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

/** Counts every incoming call, refuses calls over the limit and attaches a {@link CallContext} to the others. */
final class CallInterceptor implements ServerInterceptor {
    private final int maxCalls;
    private final Counters counters;
    private final ClientConnections connections;
    private final AtomicInteger openCalls = new AtomicInteger();

    CallInterceptor(int maxCalls, Counters counters, ClientConnections connections) {
        this.connections = connections;
        this.maxCalls = maxCalls;
        this.counters = counters;
    }

    /** Number of calls in progress. */
    int openCalls() {
        return openCalls.get();
    }

    @Override
    public <Q, A> ServerCall.Listener<Q> interceptCall(ServerCall<Q, A> call, Metadata headers,
            ServerCallHandler<Q, A> next) {
        if (openCalls.incrementAndGet() > maxCalls) {
            openCalls.decrementAndGet();
            counters.count(Counter.CALLS_TURNED_AWAY);
            StatusRuntimeException refusal = Statuses.refused("too many concurrent calls", 0);
            Metadata trailers = refusal.getTrailers();
            call.close(refusal.getStatus(), trailers == null ? new Metadata() : trailers);
            return new ServerCall.Listener<>() { };
        }
        counters.count(Counter.CALLS);
        AtomicBoolean ended = new AtomicBoolean();
        Runnable endCall = () -> {
            if (ended.compareAndSet(false, true)) {
                openCalls.decrementAndGet();
            }
        };
        try {
            Context context = Context.current();
            Object connection = call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
            Context callContext = context.withValue(CallContext.KEY,
                    new CallContext(connection, headers, context.getDeadline(), connections, call::setOnReadyThreshold));
            return new SimpleForwardingServerCallListener<>(Contexts.interceptCall(callContext, call, headers, next)) {
                @Override
                public void onComplete() {
                    endCall.run();
                    super.onComplete();
                }

                @Override
                public void onCancel() {
                    endCall.run();
                    super.onCancel();
                }
            };
        } catch (RuntimeException e) {
            endCall.run();
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("a Flight call failed here", e);
            call.close(Status.INTERNAL, new Metadata());
            return new ServerCall.Listener<>() { };
        }
    }
}
