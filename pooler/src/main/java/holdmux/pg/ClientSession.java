package holdmux.pg;

import holdmux.core.Admission;
import holdmux.core.Balancer;
import holdmux.core.ScalarResult;
import holdmux.core.Responder;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Log;
import holdmux.core.Request;
import holdmux.core.UpdateResult;
import holdmux.core.QueryResult;
import holdmux.statement.BufferPool;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import holdmux.statement.ChunkedText;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * One client connection. Its thread only reads, and never stops before the end of the input, so that it always sees a
 * client that leaves; what came whole is answered in order on a worker thread, which is held only while there is
 * something to answer. Who answers last ends the output; the reader then drops what still comes, up to the client's own
 * end or for a short while, since a close over unread bytes would take the last answer with it (a lingering close).
 */
final class ClientSession implements Runnable {
    /** What all sessions share. */
    record Context(Balancer balancer, Admission admission, BufferPool buffers,
            Clock clock, Deadlines deadlines, Counters counters, Executor workers, CountDownLatch ready,
            ClientRegistry clients) {}

    /**
     * What waits for its answer: a query of so many bytes, in a buffer of the pool where it is long, or what was wrong
     * with the input. Neither is the client's farewell.
     */
    private record Command(ChunkedText query, ProtocolException error) {
        int length() {
            return query == null ? 0 : query.length;
        }
    }

    private static final int CANCEL_REQUEST = 80_877_102, SSL_REQUEST = 80_877_103, GSS_REQUEST = 80_877_104;
    /** A CancelRequest is its length, its code, the process and the secret. */
    private static final int CANCEL_LENGTH = 4 * Integer.BYTES;
    /** A startup packet is a few short names; PostgreSQL itself takes no more than this. */
    private static final int MAX_STARTUP_BYTES = 10_000;
    /** Longer queries go to a buffer of the pool; a usual one of 1 KiB in hexadecimal is shorter. */
    private static final int SHORT_QUERY_BYTES = 4_096;
    /** Bad inputs for each line of the log. */
    private static final int BAD_INPUTS_PER_LOG_LINE = 100;
    /** A client may take 2 s for the head of a message or pause so long within it; what hangs is owed an end within
     * 3 s. */
    private static final int MAX_PAUSE_MS = 2_600;
    /** Whatever its pauses, a message must come at this pace after a start: who drips holds buffers for good. */
    private static final int MESSAGE_TIMEOUT_MS = 10_000, MIN_BYTES_PER_MS = 16;
    /** Commands that may wait on one connection behind the one that is answered, and bytes of them that are read
     * ahead. Drivers that pipeline send a few; the caps of all clients together are a few MiB. What comes beyond is
     * refused in its turn, up to so many commands. */
    private static final int MAX_QUEUED = 32, MAX_QUEUED_BYTES = 8_192, MAX_PENDING_REFUSALS = 10_000;
    /** How long a connection whose output has ended waits for its client's end: some times the way there and back. */
    private static final long LINGER_NS = 150 * Clock.MS;
    private static final ProtocolException TOO_MANY_COMMANDS =
            ProtocolException.refused(SqlState.TOO_MANY_CONNECTIONS, "too many commands at once");
    private final Socket socket;
    private final Context context;
    private final Counters counters;
    private final ClientInput in;
    private final ClientOutput out;
    /** All under this object's monitor. What waits to be answered: at most MOST_AHEAD turns, commands that came beyond
     * what may wait, and the last word there will be. */
    private final ArrayDeque<Command> queue = new ArrayDeque<>(2);
    private int queuedBytes, pendingRefusals;
    private Command finalCommand;
    /** Whether a message has begun to come in, one is being answered, too many came at once, the connection is to end
     * once all is answered, and has ended: from then on nothing that comes in is taken. */
    private boolean reading, answering, overloaded, closing, ended;
    private Request currentRequest;
    /** Whether its client has asked for the current request to be cancelled. */
    private boolean cancelRequested;

    ClientSession(Socket socket, Context context) throws IOException {
        this.socket = socket;
        this.context = context;
        counters = context.counters();
        in = new ClientInput(socket, context.clock());
        out = new ClientOutput(socket.getOutputStream(), context.deadlines(), this::close);
    }

    @Override
    public void run() {
        try {
            if (!readStartup()) {
                close();
                return;
            }
            while (readMessage()) {
                // the next one
            }
            discardInput();
        } catch (ProtocolException e) {
            enqueue(new Command(null, e), true);
            discardInput();
        } catch (IOException e) {
            abort(); // the client is gone, or was told to go
        } catch (RuntimeException | Error e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("a client could not be read", e);
            abort();
        }
    }

    /** Nothing more is taken: reads on all the same, up to the client's end. */
    private void discardInput() {
        try {
            in.discardUntilEnd();
        } catch (IOException e) {
            // closed, by whichever side
        }
        abort();
    }

    /** Up to the first ReadyForQuery; false where the connection was for something else. */
    private boolean readStartup() throws IOException, ProtocolException {
        in.setTimeLimits(MAX_PAUSE_MS, MAX_PAUSE_MS);
        while (true) {
            int length = in.readInt();
            if (length < 8 || length > MAX_STARTUP_BYTES) {
                throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a startup packet of " + length + " bytes");
            }
            int code = in.readInt();
            if (code == SSL_REQUEST || code == GSS_REQUEST) {
                in.skip(length - 8);
                out.write('N');
            } else if (code == CANCEL_REQUEST) {
                if (length == CANCEL_LENGTH) {
                    context.clients().cancel(in.readInt(), in.readInt());
                }
                return false;
            } else if (code >>> 16 != 3) {
                throw ProtocolException.fatal(SqlState.FEATURE_NOT_SUPPORTED, "protocol " + (code >>> 16));
            } else {
                byte[] parameters = new byte[length - 8];
                in.readFully(parameters, parameters.length);
                completeStartup(parameters, code);
                return true;
            }
        }
    }

    private void completeStartup(byte[] parameters, int protocolVersion) throws IOException, ProtocolException {
        if (!hasUser(parameters)) {
            throw ProtocolException.fatal(SqlState.INVALID_AUTHORIZATION, "the startup packet names no user");
        }
        out.writeGreeting(protocolVersion, context.clients().cancelKeys(this));
    }

    private static boolean hasUser(byte[] parameters) throws ProtocolException {
        String[] parts = new String(parameters, StandardCharsets.UTF_8).split("\0", -1);
        // name, value, name, value ... and a lone zero at the end
        if (parameters.length == 0 || parameters[parameters.length - 1] != 0 || parts.length % 2 != 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a startup packet of odd parts");
        }
        for (int i = 0; i + 1 < parts.length; i += 2) {
            if (parts[i].equals("user") && !parts[i + 1].isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Reads one message; false if no more are wanted. */
    private boolean readMessage() throws IOException, ProtocolException {
        int type = in.awaitFirstByte();
        if (!beginMessage()) {
            return false;
        }
        in.setTimeLimits(MAX_PAUSE_MS, MAX_PAUSE_MS);
        int length = in.readInt() - Integer.BYTES;
        if (length < 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of " + length + " bytes");
        } else if (length > Math.min(Statement.MAX_BYTES, context.buffers().maxMessageBytes())) {
            throw ProtocolException.fatal(SqlState.PROGRAM_LIMIT_EXCEEDED, "a message of " + length + " bytes");
        }
        switch (type) {
            case 'Q' -> {
                if (canQueue()) {
                    enqueue(readQuery(length), false);
                } else {
                    in.setTimeLimits(MESSAGE_TIMEOUT_MS + length / MIN_BYTES_PER_MS, MAX_PAUSE_MS);
                    in.skip(length);
                    enqueueRefusal();
                }
            }
            case 'X' -> {
                enqueue(new Command(null, null), true);
                return false;
            }
            case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f', 'p' -> throw ProtocolException.fatal(
                    SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are served here");
            default -> throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of type " + type);
        }
        return true;
    }

    /** Whether one more command may wait; behind one that is refused all are, up to where nothing waits. */
    private synchronized boolean canQueue() {
        overloaded |= queue.size() >= MAX_QUEUED;
        return pendingRefusals == 0 && !overloaded && queuedBytes <= MAX_QUEUED_BYTES;
    }

    /** A command that was not taken in: its refusal comes in its turn. */
    private void enqueueRefusal() throws ProtocolException {
        synchronized (this) {
            if (pendingRefusals == MAX_PENDING_REFUSALS) {
                throw ProtocolException.fatal(SqlState.TOO_MANY_CONNECTIONS, "too many commands at once");
            }
            reading = false;
            pendingRefusals++;
        }
        scheduleAnswering();
    }

    /** Reads the body of a query; a long one into buffers of the pool, as its bytes come and the pool has room. */
    private Command readQuery(int length) throws IOException, ProtocolException {
        in.setTimeLimits(MESSAGE_TIMEOUT_MS + length / MIN_BYTES_PER_MS, MAX_PAUSE_MS);
        if (length <= SHORT_QUERY_BYTES) {
            byte[] body = new byte[length];
            in.readFully(body, length);
            return new Command(ChunkedText.of(body, length), null);
        }
        List<byte[]> parts = new ArrayList<>();
        ChunkedText text = new ChunkedText(parts, length, true);
        boolean complete = false;
        try {
            for (int received = 0; received < length;) {
                if (received == parts.size() * BufferPool.BUFFER_SIZE) {
                    long waitStart = context.clock().now();
                    parts.add(context.buffers().acquireForLongMessage(this, socket::isClosed));
                    in.extendDeadline(context.clock().now() - waitStart);
                }
                int offset = received % BufferPool.BUFFER_SIZE;
                received += in.readSome(parts.get(parts.size() - 1), offset, Math.min(length - received, BufferPool.BUFFER_SIZE - offset));
            }
            complete = true;
            return new Command(text, null);
        } finally {
            context.buffers().releaseReserve(this);
            if (!complete) {
                text.release(context.buffers());
            }
        }
    }

    /** Puts a turn behind those that wait, the {@code end} of all behind what is refused, and sees that someone answers. */
    private void enqueue(Command command, boolean isFinal) {
        synchronized (this) {
            reading = false;
            if (ended) {
                release(command); // too late: the output has ended, and nothing is sent on
                return;
            }
            if (isFinal) {
                finalCommand = command;
            } else {
                queue.add(command);
                queuedBytes += command.length();
            }
        }
        scheduleAnswering();
    }

    private void scheduleAnswering() {
        synchronized (this) {
            if (answering) {
                return;
            }
            answering = true;
        }
        try {
            context.workers().execute(this::answerQueued);
        } catch (RejectedExecutionException e) {
            // no thread to be had: this one must go on reading, so it refuses what waits, and waits for nothing itself
            synchronized (this) {
                overloaded = true;
            }
            answerQueued();
        }
    }

    /** Answers what waits, in order, until nothing does. */
    private void answerQueued() {
        for (Command command = nextCommand(); command != null; command = nextCommand()) {
            try {
                answer(command);
            } catch (IOException e) {
                abort(); // nobody is left to be told
            } catch (RuntimeException | Error e) {
                counters.count(Counter.INTERNAL_ERRORS);
                Log.error("an answer failed here", e);
                abort();
            } finally {
                release(command);
            }
        }
    }

    /** The next turn to answer, or null; then the connection rests, or ends if it was to. */
    private Command nextCommand() {
        boolean endNow;
        synchronized (this) {
            Command command = pollQueue();
            if (command != null) {
                return command;
            }
            answering = false;
            overloaded = false;
            if (ended) {
                return null;
            }
            endNow = (closing || context.clients().closesIdleSessions()) && !reading;
            ended = endNow;
        }
        if (endNow) {
            closeGracefully();
        } else {
            context.clients().markIdle(this);
        }
        return null;
    }

    private Command pollQueue() {
        Command command = queue.poll();
        if (command != null) {
            queuedBytes -= command.length();
        } else if (pendingRefusals > 0) {
            pendingRefusals--;
            command = new Command(null, TOO_MANY_COMMANDS);
        } else {
            command = finalCommand;
            finalCommand = null;
        }
        return command;
    }

    private void answer(Command command) throws IOException {
        if (command.error() != null) {
            rejectInput(command.error());
        } else if (command.query() == null) {
            closeAfterQueue();
        } else if (isOverloaded()) {
            rejectInput(TOO_MANY_COMMANDS);
        } else {
            try {
                answerQuery(command);
            } catch (ProtocolException e) {
                rejectInput(e);
            } catch (StatementException e) {
                rejectInput(ProtocolException.rejected(e));
            }
        }
    }

    private synchronized boolean isOverloaded() {
        return overloaded;
    }

    private synchronized void closeAfterQueue() {
        closing = true;
    }

    private void release(Command command) {
        if (command.query() != null) {
            command.query().release(context.buffers());
        }
    }

    private void answerQuery(Command command) throws IOException, ProtocolException, StatementException {
        ChunkedText query = command.query();
        int end = command.length() - 1;
        if (end < 0 || query.byteAt(end) != 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a query that does not end in a zero");
        }
        if (isBlank(query, end)) {
            context.clients().markBusy(this);
            if (context.clients().isEvacuating()) {
                out.writeError(SqlState.CANNOT_CONNECT_NOW, "this pooler sends its clients away", 0);
                return;
            }
            awaitReady();
            counters.count(Counter.EMPTY_QUERIES);
            out.writeEmptyQuery();
        } else if (isShowStats(query, end)) {
            context.clients().markBusy(this);
            out.writeStats(counters);
        } else {
            Statement statement = Statement.parse(query.withoutLastByte());
            Admission.Refusal refusal = context.admission().refusal();
            if (refusal != null) {
                counters.count(refusal.counter());
                out.writeError(SqlState.CANNOT_CONNECT_NOW, refusal.reason(), refusal.retryAfterNs());
                return;
            }
            Request.Spec call = context.admission().admit(statement, context.clients().timeLeftNs());
            context.clients().markBusy(this);
            long timeLeftNs = context.clients().timeLeftNs();
            if (timeLeftNs <= 0 || timeLeftNs < Admission.remainingWaitNs(statement) && statement.write) {
                // it could not be told in time how the request ended; another pooler can take it
                closeAfterQueue();
                out.writeError(SqlState.CANNOT_CONNECT_NOW, "this pooler is about to end", 0);
                return;
            }
            Request request = context.balancer().openRequest(call);
            if (!startRequest(request)) {
                context.balancer().clientLeft(request);
            }
            PgResponder responder = new PgResponder(statement);
            context.balancer().execute(request, statement, responder);
            if (finishRequest() && !responder.answered) {
                counters.count(Counter.QUERIES_CANCELED);
                out.writeError(SqlState.QUERY_CANCELED, "canceling statement due to user request", 0);
            }
        }
    }

    /** Notes the request that is under way; false if the client has left. */
    private synchronized boolean startRequest(Request request) {
        currentRequest = request;
        return !ended;
    }

    /** No request is under way any more; whether the client had this one cancelled, and is still there. */
    private synchronized boolean finishRequest() {
        boolean wasCancelled = cancelRequested;
        currentRequest = null;
        cancelRequested = false;
        return wasCancelled && !ended;
    }

    /** PostgreSQL's CancelRequest: takes back the request that is under way, if any; the connection lives on. */
    void cancel() {
        Request request;
        synchronized (this) {
            request = currentRequest;
            cancelRequested = request != null;
        }
        if (request != null) {
            context.balancer().clientLeft(request);
        }
    }

    private void awaitReady() {
        try {
            context.ready().await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isShowStats(ChunkedText query, int end) {
        // 32 bytes hold the command with room for blanks; longer ones are statements
        return end < 32 && query.substring(0, end).strip().toUpperCase(Locale.ROOT)
                .matches("SHOW STATS\\s*;?");
    }

    private static boolean isBlank(ChunkedText query, int end) {
        for (int i = 0; i < end; i++) {
            if (" ;\n\t\r".indexOf(query.byteAt(i)) < 0) {
                return false;
            }
        }
        return true;
    }

    /** The PostgreSQL side of one request. */
    private final class PgResponder implements Responder {
        private final Statement statement;
        /** Whether the one final answer has begun. */
        private boolean answered;

        PgResponder(Statement statement) {
            this.statement = statement;
        }

        @Override
        public QueryResult.Shape resultShape() {
            return QueryResult.Shape.CELL;
        }

        @Override
        public void serve(QueryResult result) throws IOException {
            answered = true;
            try {
                if (result instanceof PgResult pgResult) {
                    if (pgResult.isStreamed()) {
                        counters.count(Counter.LONG_ANSWERS);
                    }
                    pgResult.relayTo(out);
                } else if (result instanceof UpdateResult update) {
                    out.writeUpdateCount(update.rows());
                } else {
                    out.writeScalar((ScalarResult) result, statement.write);
                }
            } catch (IOException e) {
                abort(); // what is cut short shows as that
                throw e;
            }
        }

        @Override
        public void refuse(long retryAfterNs) throws IOException {
            answered = true;
            out.writeError(SqlState.TOO_MANY_CONNECTIONS, "no server can take this in time", retryAfterNs);
        }

        @Override
        public void fail() throws IOException {
            answered = true;
            out.writeError(SqlState.TRANSACTION_RESOLUTION_UNKNOWN, "no answer came in time; the request may have run", 0);
        }
    }

    /** Counts and answers bad input; the log has the first and then one in some, so that no flood fills it. */
    private void rejectInput(ProtocolException e) throws IOException {
        boolean overCapacity = e.sqlState.equals(SqlState.TOO_MANY_CONNECTIONS);
        counters.count(overCapacity ? Counter.OVER_CAPACITY : Counter.BAD_INPUT);
        if (!overCapacity && counters.get(Counter.BAD_INPUT) % BAD_INPUTS_PER_LOG_LINE == 1) {
            Log.warn("client " + socket.getRemoteSocketAddress() + ": " + e.getMessage());
        }
        if (!e.framingIntact) {
            closeAfterQueue();
        }
        out.writeMessage(message -> {
            message.error(!e.framingIntact, e.sqlState, e.getMessage(), null);
            if (e.framingIntact) {
                message.readyForQuery();
            }
        });
    }

    /** A message has begun; false if the connection has ended, so that it is none. */
    private synchronized boolean beginMessage() {
        reading = !ended;
        return reading;
    }

    /**
     * Ends a connection that was marked as ended with nothing reading or answering on it: first the output alone. What
     * its client sends meanwhile is never taken, and it asks again elsewhere.
     */
    private void closeGracefully() {
        try {
            socket.shutdownOutput();
            context.deadlines().after(LINGER_NS, this::close);
        } catch (IOException e) {
            close();
        }
    }

    /** The client has gone away: what it asked for is nobody's any more. */
    private void abort() {
        Request request;
        List<Command> discarded;
        synchronized (this) {
            ended = true;
            request = currentRequest;
            discarded = List.copyOf(queue);
            queue.clear();
            queuedBytes = 0;
            pendingRefusals = 0;
            finalCommand = null;
        }
        discarded.forEach(this::release);
        if (request != null) {
            context.balancer().clientLeft(request);
        }
        close();
    }

    /** Ends the connection as soon as nothing is being answered on it. */
    void closeWhenIdle() {
        closeAfterQueue();
        closeIfIdle();
    }

    /** Ends the connection if nothing is coming in or being answered on it; whether it does. */
    boolean closeIfIdle() {
        synchronized (this) {
            if (reading || answering || ended) {
                return false;
            }
            ended = true;
        }
        closeGracefully();
        return true;
    }

    /** Closes the connection of a client that has asked nothing well-formed; false if it is being told so. */
    boolean closeUnlessAnswering() {
        synchronized (this) {
            if (answering) {
                return false;
            }
            ended = true; // half a message at most: nothing was taken, and nothing is from now on
        }
        close();
        return true;
    }

    void close() {
        try {
            if (!socket.isClosed()) {
                counters.count(Counter.CLIENTS_CLOSED);
            }
            socket.close();
        } catch (IOException e) {
            // closing is all that was wanted
        }
        context.clients().remove(this);
    }
}
