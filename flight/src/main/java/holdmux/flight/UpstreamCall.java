package holdmux.flight;

import holdmux.core.ServerStatus;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * One call to a server, read by a thread that blocks: a message or two come ahead of the one that is passed
 * on, never more. Notes what the server tells of itself and what proves whether it took the request up.
 */
final class UpstreamCall<Q, A> extends ClientCall.Listener<A> {
    /** The first message is a schema or a small table; later ones are guessed by the one before. */
    private static final long INITIAL_EXPECTED_BYTES = 64 * 1024;
    /** Waiting longer for room helps no answer, as with the other protocol's buffers. */
    private static final long MEMORY_WAIT_MS = 100;
    /** Messages that may wait here for their reader: one comes in while one goes out. */
    private static final int MAX_RECEIVED = 2;
    private static final List<Metadata.Key<String>> STATUS_KEYS = List.of(ServerStatus.ROLE, ServerStatus.POSITION,
            ServerStatus.REPORT).stream().map(n -> Metadata.Key.of(n, Metadata.ASCII_STRING_MARSHALLER)).toList();

    /** The call is over; with status OK where all of it came. */
    static final class EndedException extends Exception {
        private static final long serialVersionUID = 1L;
        final transient Status status;
        /** Whether the server itself sent the status. */
        final boolean fromServer;

        EndedException(Status status, boolean fromServer) {
            super(status.toString(), null, false, false);
            this.status = status;
            this.fromServer = fromServer;
        }
    }

    /** There is no room in this process for what would come; says nothing of the server. */
    static final class BudgetExceededException extends Exception {
        private static final long serialVersionUID = 1L;

        BudgetExceededException() {
            super("no room", null, false, false);
        }
    }

    private final ClientCall<Q, A> call;
    private final ServerStatus serverStatus;
    private final MemoryBudget budget;
    private final ToLongFunction<A> sizeOf;
    private final ArrayDeque<A> received = new ArrayDeque<>(2);
    private long expectedBytes = INITIAL_EXPECTED_BYTES;
    /** Reserved for the message that is asked for and has not come; 0 for none. */
    private long reservedBytes;
    private Status status;
    private boolean closed;
    private volatile boolean streamCreated, fromServer;

    /**
     * Starts a call of one request.
     *
     * @param sending runs right before the request's bytes go out: from then on it may run
     */
    UpstreamCall(Channel channel, MethodDescriptor<Q, A> method, Q request, ServerStatus serverStatus, MemoryBudget budget,
            ToLongFunction<A> sizeOf, Runnable beforeSend) {
        this.serverStatus = serverStatus;
        this.budget = budget;
        this.sizeOf = sizeOf;
        ClientStreamTracer tracer = new ClientStreamTracer() {
            @Override
            public void streamCreated(io.grpc.Attributes transport, Metadata headers) {
                streamCreated = true;
            }

            @Override
            public void outboundMessage(int number) {
                beforeSend.run();
            }

            @Override
            public void inboundTrailers(Metadata trailers) {
                fromServer = true;
            }
        };
        call = channel.newCall(method, CallOptions.DEFAULT.withStreamTracerFactory(new ClientStreamTracer.Factory() {
            @Override
            public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
                return tracer;
            }
        }));
        call.start(this, new Metadata());
        call.sendMessage(request);
        call.halfClose();
    }

    @Override
    public void onHeaders(Metadata headers) {
        recordStatus(headers);
    }

    private synchronized void recordStatus(Metadata metadata) {
        for (Metadata.Key<String> name : STATUS_KEYS) {
            String value = metadata.get(name);
            if (value != null) {
                serverStatus.put(name.originalName(), value);
            }
        }
    }

    @Override
    public void onMessage(A message) {
        synchronized (this) {
            if (closed) {
                return; // what was asked for is given back at the end
            }
            long length = sizeOf.applyAsLong(message);
            budget.adjust(length - reservedBytes);
            reservedBytes = 0;
            expectedBytes = length;
            received.add(message);
            notifyAll();
        }
        requestAhead();
    }

    @Override
    public void onClose(Status closeStatus, Metadata trailers) {
        recordStatus(trailers);
        synchronized (this) {
            status = closeStatus;
            budget.release(reservedBytes);
            reservedBytes = 0;
            notifyAll();
        }
    }

    /** Whether the call found a connection that stands. */
    boolean streamCreated() {
        return streamCreated;
    }

    /** Whether it is over and all that came has been read. */
    synchronized boolean ended() {
        return status != null && received.isEmpty();
    }

    /** The status of a call that has {@link #ended}. */
    synchronized EndedException endException() {
        return new EndedException(status, fromServer);
    }

    /**
     * The next message; what was read before it must be passed on by now. Its reader owes {@link #passed} once it has no
     * more use for it.
     *
     * @param silentMs the server may give nothing for so long, 0 for ever
     */
    A next(long timeoutMs) throws EndedException, BudgetExceededException, InterruptedException {
        requestNext(timeoutMs == 0 ? MEMORY_WAIT_MS : timeoutMs);
        long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        A message;
        synchronized (this) {
            while (received.isEmpty() && status == null) {
                long remainingMs = timeoutMs == 0 ? 0 : (deadline - System.nanoTime()) / 1_000_000L;
                if (timeoutMs > 0 && remainingMs <= 0) {
                    throw new EndedException(Status.DEADLINE_EXCEEDED.withDescription("the server fell silent"), false);
                }
                wait(remainingMs);
            }
            if (received.isEmpty()) {
                throw endException();
            }
            message = received.poll();
        }
        requestAhead();
        return message;
    }

    /** A message that {@link #next} gave is no longer held here. */
    void release(A message) {
        budget.release(sizeOf.applyAsLong(message));
    }

    /** Asks for one more message where there is room now, so that the server need not wait for the client. */
    private void requestAhead() {
        synchronized (this) {
            if (reservedBytes > 0 || status != null || closed || received.size() >= MAX_RECEIVED || !budget.tryReserve(expectedBytes)) {
                return;
            }
            reservedBytes = expectedBytes;
        }
        call.request(1);
    }

    /** Asks for the message that is needed now, where none is on its way; waits so long for room. */
    private void requestNext(long waitMs) throws BudgetExceededException, InterruptedException {
        long bytes;
        synchronized (this) {
            if (reservedBytes > 0 || status != null || !received.isEmpty()) {
                return;
            }
            bytes = expectedBytes;
        }
        if (!budget.reserve(bytes, waitMs)) {
            throw new BudgetExceededException();
        }
        synchronized (this) {
            if (reservedBytes > 0 || status != null || closed) {
                budget.release(bytes);
                return;
            }
            reservedBytes = bytes;
        }
        call.request(1);
    }

    /** Ends the call, if it is not over, and gives back what it holds. */
    void close() {
        call.cancel("given up", null);
        synchronized (this) {
            closed = true;
            received.forEach(this::release);
            received.clear();
            budget.release(reservedBytes);
            reservedBytes = 0;
        }
    }
}
