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
final class ServerCall<Q, A> extends ClientCall.Listener<A> {
    /** The first message is a schema or a small table; later ones are guessed by the one before. */
    private static final long FIRST_GUESS = 64 * 1024;
    /** Waiting longer for room helps no answer, as with the other protocol's buffers. */
    private static final long ROOM_MS = 100;
    /** Messages that may wait here for their reader: one comes in while one goes out. */
    private static final int AHEAD = 2;
    private static final List<Metadata.Key<String>> TOLD = List.of(ServerStatus.ROLE, ServerStatus.POSITION,
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
    static final class NoRoomException extends Exception {
        private static final long serialVersionUID = 1L;

        NoRoomException() {
            super("no room", null, false, false);
        }
    }

    private final ClientCall<Q, A> call;
    private final ServerStatus told;
    private final Budget budget;
    private final ToLongFunction<A> size;
    private final ArrayDeque<A> come = new ArrayDeque<>(2);
    private long guess = FIRST_GUESS;
    /** Reserved for the message that is asked for and has not come; 0 for none. */
    private long asked;
    private Status status;
    private boolean closed;
    private volatile boolean created, fromServer;

    /**
     * Starts a call of one request.
     *
     * @param sending runs right before the request's bytes go out: from then on it may run
     */
    ServerCall(Channel channel, MethodDescriptor<Q, A> method, Q request, ServerStatus told, Budget budget,
            ToLongFunction<A> size, Runnable sending) {
        this.told = told;
        this.budget = budget;
        this.size = size;
        ClientStreamTracer tracer = new ClientStreamTracer() {
            @Override
            public void streamCreated(io.grpc.Attributes transport, Metadata headers) {
                created = true;
            }

            @Override
            public void outboundMessage(int number) {
                sending.run();
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
        note(headers);
    }

    private synchronized void note(Metadata from) {
        for (Metadata.Key<String> name : TOLD) {
            String value = from.get(name);
            if (value != null) {
                told.put(name.originalName(), value);
            }
        }
    }

    @Override
    public void onMessage(A message) {
        synchronized (this) {
            if (closed) {
                return; // what was asked for is given back at the end
            }
            long length = size.applyAsLong(message);
            budget.adjust(length - asked);
            asked = 0;
            guess = length;
            come.add(message);
            notifyAll();
        }
        askAhead();
    }

    @Override
    public void onClose(Status as, Metadata trailers) {
        note(trailers);
        synchronized (this) {
            status = as;
            budget.give(asked);
            asked = 0;
            notifyAll();
        }
    }

    /** Whether the call found a connection that stands. */
    boolean created() {
        return created;
    }

    /** Whether it is over and all that came has been read. */
    synchronized boolean ended() {
        return status != null && come.isEmpty();
    }

    /** The status of a call that has {@link #ended}. */
    synchronized EndedException end() {
        return new EndedException(status, fromServer);
    }

    /**
     * The next message; what was read before it must be passed on by now. Its reader owes {@link #passed} once it has no
     * more use for it.
     *
     * @param silentMs the server may give nothing for so long, 0 for ever
     */
    A next(long silentMs) throws EndedException, NoRoomException, InterruptedException {
        askNow(silentMs == 0 ? ROOM_MS : silentMs);
        long by = System.nanoTime() + silentMs * 1_000_000L;
        A message;
        synchronized (this) {
            while (come.isEmpty() && status == null) {
                long left = silentMs == 0 ? 0 : (by - System.nanoTime()) / 1_000_000L;
                if (silentMs > 0 && left <= 0) {
                    throw new EndedException(Status.DEADLINE_EXCEEDED.withDescription("the server fell silent"), false);
                }
                wait(left);
            }
            if (come.isEmpty()) {
                throw end();
            }
            message = come.poll();
        }
        askAhead();
        return message;
    }

    /** A message that {@link #next} gave is no longer held here. */
    void passed(A message) {
        budget.give(size.applyAsLong(message));
    }

    /** Asks for one more message where there is room now, so that the server need not wait for the client. */
    private void askAhead() {
        synchronized (this) {
            if (asked > 0 || status != null || closed || come.size() >= AHEAD || !budget.tryTake(guess)) {
                return;
            }
            asked = guess;
        }
        call.request(1);
    }

    /** Asks for the message that is needed now, where none is on its way; waits so long for room. */
    private void askNow(long waitMs) throws NoRoomException, InterruptedException {
        long room;
        synchronized (this) {
            if (asked > 0 || status != null || !come.isEmpty()) {
                return;
            }
            room = guess;
        }
        if (!budget.take(room, waitMs)) {
            throw new NoRoomException();
        }
        synchronized (this) {
            if (asked > 0 || status != null || closed) {
                budget.give(room);
                return;
            }
            asked = room;
        }
        call.request(1);
    }

    /** Ends the call, if it is not over, and gives back what it holds. */
    void close() {
        call.cancel("given up", null);
        synchronized (this) {
            closed = true;
            come.forEach(this::passed);
            come.clear();
            budget.give(asked);
            asked = 0;
        }
    }
}
