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
 * A call to a server, read by a blocking thread. At most two messages are received ahead of the one being relayed. Records
 * the status that the server reports in headers and trailers, and what proves whether it processed the request.
 */
final class UpstreamCall<Q, A> extends ClientCall.Listener<A> {
    /** Memory reserved for the first message, a schema or a small table; for later ones the size of the previous is assumed. */
    private static final long INITIAL_EXPECTED_BYTES = 64 * 1024;
    /** How long to wait for memory; waiting longer would not save the request, as with the PostgreSQL buffers. */
    private static final long MEMORY_WAIT_MS = 100;
    /** Messages buffered for the reader: one is received while another is sent. */
    private static final int MAX_RECEIVED = 2;
    private static final List<Metadata.Key<String>> STATUS_KEYS = List.of(ServerStatus.ROLE, ServerStatus.POSITION,
            ServerStatus.REPORT).stream().map(n -> Metadata.Key.of(n, Metadata.ASCII_STRING_MARSHALLER)).toList();

    /** The call has ended; with status OK if the answer is complete. */
    static final class EndedException extends Exception {
        private static final long serialVersionUID = 1L;
        final transient Status status;
        /** Whether the status was sent by the server, not generated locally. */
        final boolean fromServer;

        EndedException(Status status, boolean fromServer) {
            super(status.toString(), null, false, false);
            this.status = status;
            this.fromServer = fromServer;
        }
    }

    /** The memory budget has no room for the next message; says nothing about the server. */
    static final class BudgetExceededException extends Exception {
        private static final long serialVersionUID = 1L;

        BudgetExceededException() {
            super("memory budget exceeded", null, false, false);
        }
    }

    private final ClientCall<Q, A> call;
    private final ServerStatus serverStatus;
    private final MemoryBudget budget;
    private final ToLongFunction<A> sizeOf;
    private final ArrayDeque<A> received = new ArrayDeque<>(2);
    private long expectedBytes = INITIAL_EXPECTED_BYTES;
    /** Memory reserved for the message that was requested but not yet received; 0 for none. */
    private long reservedBytes;
    private Status status;
    private boolean closed;
    private volatile boolean streamCreated, fromServer;

    /**
     * Starts a call with a single request message.
     *
     * @param beforeSend runs right before the request is written; from then on the server may execute it
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
                return; // its reservation is released when the call closes
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

    /** Whether a stream was created on an established connection. */
    boolean streamCreated() {
        return streamCreated;
    }

    /** Whether the call has ended and all received messages have been read. */
    synchronized boolean ended() {
        return status != null && received.isEmpty();
    }

    /** The final status of a call that has {@link #ended}. */
    synchronized EndedException endException() {
        return new EndedException(status, fromServer);
    }

    /**
     * Returns the next message; the one before must have been relayed by now. The reader must call {@link #release} once
     * it no longer needs the message.
     *
     * @param timeoutMs how long the server may send nothing; 0 for no time-out
     */
    A next(long timeoutMs) throws EndedException, BudgetExceededException, InterruptedException {
        requestNext(timeoutMs == 0 ? MEMORY_WAIT_MS : timeoutMs);
        long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        A message;
        synchronized (this) {
            while (received.isEmpty() && status == null) {
                long remainingMs = timeoutMs == 0 ? 0 : (deadline - System.nanoTime()) / 1_000_000L;
                if (timeoutMs > 0 && remainingMs <= 0) {
                    throw new EndedException(
                            Status.DEADLINE_EXCEEDED.withDescription("the server sent nothing within the time-out"), false);
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

    /** Releases the memory of a message returned by {@link #next}. */
    void release(A message) {
        budget.release(sizeOf.applyAsLong(message));
    }

    /** Requests one more message if memory is available now, so that the server need not wait for the client. */
    private void requestAhead() {
        synchronized (this) {
            if (reservedBytes > 0 || status != null || closed || received.size() >= MAX_RECEIVED || !budget.tryReserve(expectedBytes)) {
                return;
            }
            reservedBytes = expectedBytes;
        }
        call.request(1);
    }

    /** Requests the message that is needed now, unless one is already requested; waits up to {@code waitMs} for memory. */
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

    /** Cancels the call if it has not ended, and releases its memory. */
    void close() {
        call.cancel("cancelled by the pooler", null);
        synchronized (this) {
            closed = true;
            received.forEach(this::release);
            received.clear();
            budget.release(reservedBytes);
            reservedBytes = 0;
        }
    }
}
