package holdmux.pg;

import holdmux.core.Admission;
import holdmux.core.Balancer;
import holdmux.core.Cell;
import holdmux.core.Client;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Log;
import holdmux.core.Request;
import holdmux.core.Updated;
import holdmux.core.Value;
import holdmux.statement.Buffers;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import holdmux.statement.Text;
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
    record Context(Balancer balancer, Admission admission, Buffers buffers,
            Clock clock, Deadlines deadlines, Counters counters, Executor workers, CountDownLatch ready,
            Clients clients) {}

    /**
     * What waits for its answer: a query of so many bytes, in a buffer of the pool where it is long, or what was wrong
     * with the input. Neither is the client's farewell.
     */
    private record Turn(Text query, ProtocolException wrong) {
        int length() {
            return query == null ? 0 : query.length;
        }
    }

    private static final int CANCEL_REQUEST = 80_877_102, SSL_REQUEST = 80_877_103, GSS_REQUEST = 80_877_104;
    /** A CancelRequest is its length, its code, the process and the secret. */
    private static final int CANCEL_LENGTH = 4 * Integer.BYTES;
    /** A startup packet is a few short names; PostgreSQL itself takes no more than this. */
    private static final int MOST_STARTUP = 10_000;
    /** Longer queries go to a buffer of the pool; a usual one of 1 KiB in hexadecimal is shorter. */
    private static final int SHORT = 4_096;
    /** Bad inputs for each line of the log. */
    private static final int LOG_EVERY = 100;
    /** A client may take 2 s for the head of a message or pause so long within it; what hangs is owed an end within
     * 3 s. */
    private static final int PAUSE_MS = 2_600;
    /** Whatever its pauses, a message must come at this pace after a start: who drips holds buffers for good. */
    private static final int DRIP_MS = 10_000, DRIP_BYTES_PER_MS = 16;
    /** Commands that may wait on one connection behind the one that is answered, and bytes of them that are read
     * ahead. Drivers that pipeline send a few; the caps of all clients together are a few MiB. What comes beyond is
     * refused in its turn, up to so many commands. */
    private static final int MOST_AHEAD = 32, BYTES_AHEAD = 8_192, MOST_REFUSED = 10_000;
    /** How long a connection whose output has ended waits for its client's end: some times the way there and back. */
    private static final long LINGER_NS = 150 * Clock.MS;
    private static final ProtocolException TOO_MANY =
            ProtocolException.refused(SqlState.TOO_MANY_CONNECTIONS, "too many commands at once");
    private final Socket socket;
    private final Context context;
    private final Counters counters;
    private final ClientInput in;
    private final ClientOutput out;
    /** All under this object's monitor. What waits to be answered: at most MOST_AHEAD turns, commands that came beyond
     * what may wait, and the last word there will be. */
    private final ArrayDeque<Turn> ahead = new ArrayDeque<>(2);
    private int bytesAhead, beyond;
    private Turn last;
    /** Whether a message has begun to come in, one is being answered, too many came at once, the connection is to end
     * once all is answered, and has ended: from then on nothing that comes in is taken. */
    private boolean reading, answering, flooded, closing, ended;
    private Request current;
    /** Whether its client has asked for the current request to be cancelled. */
    private boolean cancelled;

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
            if (!startup()) {
                close();
                return;
            }
            while (message()) {
                // the next one
            }
            drop();
        } catch (ProtocolException e) {
            answerLater(new Turn(null, e), true);
            drop();
        } catch (IOException e) {
            leave(); // the client is gone, or was told to go
        } catch (RuntimeException | Error e) {
            counters.count(Counter.INTERNAL_ERRORS);
            Log.error("a client could not be read", e);
            leave();
        }
    }

    /** Nothing more is taken: reads on all the same, up to the client's end. */
    private void drop() {
        try {
            in.drop();
        } catch (IOException e) {
            // closed, by whichever side
        }
        leave();
    }

    /** Up to the first ReadyForQuery; false where the connection was for something else. */
    private boolean startup() throws IOException, ProtocolException {
        in.within(PAUSE_MS, PAUSE_MS);
        while (true) {
            int length = in.number();
            if (length < 8 || length > MOST_STARTUP) {
                throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a startup packet of " + length + " bytes");
            }
            int code = in.number();
            if (code == SSL_REQUEST || code == GSS_REQUEST) {
                in.skip(length - 8);
                out.write('N');
            } else if (code == CANCEL_REQUEST) {
                if (length == CANCEL_LENGTH) {
                    context.clients().cancel(in.number(), in.number());
                }
                return false;
            } else if (code >>> 16 != 3) {
                throw ProtocolException.fatal(SqlState.FEATURE_NOT_SUPPORTED, "protocol " + (code >>> 16));
            } else {
                byte[] names = new byte[length - 8];
                in.read(names, names.length);
                greet(names, code);
                return true;
            }
        }
    }

    private void greet(byte[] names, int protocol) throws IOException, ProtocolException {
        if (!hasUser(names)) {
            throw ProtocolException.fatal(SqlState.INVALID_AUTHORIZATION, "the startup packet names no user");
        }
        out.greet(protocol, context.clients().keyOf(this));
    }

    private static boolean hasUser(byte[] names) throws ProtocolException {
        String[] parts = new String(names, StandardCharsets.UTF_8).split("\0", -1);
        // name, value, name, value ... and a lone zero at the end
        if (names.length == 0 || names[names.length - 1] != 0 || parts.length % 2 != 0) {
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
    private boolean message() throws IOException, ProtocolException {
        int type = in.first();
        if (!begin()) {
            return false;
        }
        in.within(PAUSE_MS, PAUSE_MS);
        int length = in.number() - Integer.BYTES;
        if (length < 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of " + length + " bytes");
        } else if (length > Math.min(Statement.MOST, context.buffers().longest())) {
            throw ProtocolException.fatal(SqlState.PROGRAM_LIMIT_EXCEEDED, "a message of " + length + " bytes");
        }
        switch (type) {
            case 'Q' -> {
                if (hasRoom()) {
                    answerLater(query(length), false);
                } else {
                    in.within(DRIP_MS + length / DRIP_BYTES_PER_MS, PAUSE_MS);
                    in.skip(length);
                    refuseLater();
                }
            }
            case 'X' -> {
                answerLater(new Turn(null, null), true);
                return false;
            }
            case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f', 'p' -> throw ProtocolException.fatal(
                    SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are served here");
            default -> throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of type " + type);
        }
        return true;
    }

    /** Whether one more command may wait; behind one that is refused all are, up to where nothing waits. */
    private synchronized boolean hasRoom() {
        flooded |= ahead.size() >= MOST_AHEAD;
        return beyond == 0 && !flooded && bytesAhead <= BYTES_AHEAD;
    }

    /** A command that was not taken in: its refusal comes in its turn. */
    private void refuseLater() throws ProtocolException {
        synchronized (this) {
            if (beyond == MOST_REFUSED) {
                throw ProtocolException.fatal(SqlState.TOO_MANY_CONNECTIONS, "too many commands at once");
            }
            reading = false;
            beyond++;
        }
        answerNow();
    }

    /** Reads the body of a query; a long one into buffers of the pool, as its bytes come and the pool has room. */
    private Turn query(int length) throws IOException, ProtocolException {
        in.within(DRIP_MS + length / DRIP_BYTES_PER_MS, PAUSE_MS);
        if (length <= SHORT) {
            byte[] body = new byte[length];
            in.read(body, length);
            return new Turn(Text.of(body, length), null);
        }
        List<byte[]> parts = new ArrayList<>();
        Text text = new Text(parts, length, true);
        boolean whole = false;
        try {
            for (int got = 0; got < length;) {
                if (got == parts.size() * Buffers.SIZE) {
                    long before = context.clock().now();
                    parts.add(context.buffers().takeFor(this, socket::isClosed));
                    in.forgive(context.clock().now() - before);
                }
                int at = got % Buffers.SIZE;
                got += in.some(parts.get(parts.size() - 1), at, Math.min(length - got, Buffers.SIZE - at));
            }
            whole = true;
            return new Turn(text, null);
        } finally {
            context.buffers().wholeFor(this);
            if (!whole) {
                text.release(context.buffers());
            }
        }
    }

    /** Puts a turn behind those that wait, the {@code end} of all behind what is refused, and sees that someone answers. */
    private void answerLater(Turn turn, boolean end) {
        synchronized (this) {
            reading = false;
            if (ended) {
                release(turn); // too late: the output has ended, and nothing is sent on
                return;
            }
            if (end) {
                last = turn;
            } else {
                ahead.add(turn);
                bytesAhead += turn.length();
            }
        }
        answerNow();
    }

    private void answerNow() {
        synchronized (this) {
            if (answering) {
                return;
            }
            answering = true;
        }
        try {
            context.workers().execute(this::answerAll);
        } catch (RejectedExecutionException e) {
            // no thread to be had: this one must go on reading, so it refuses what waits, and waits for nothing itself
            synchronized (this) {
                flooded = true;
            }
            answerAll();
        }
    }

    /** Answers what waits, in order, until nothing does. */
    private void answerAll() {
        for (Turn turn = next(); turn != null; turn = next()) {
            try {
                answer(turn);
            } catch (IOException e) {
                leave(); // nobody is left to be told
            } catch (RuntimeException | Error e) {
                counters.count(Counter.INTERNAL_ERRORS);
                Log.error("an answer failed here", e);
                leave();
            } finally {
                release(turn);
            }
        }
    }

    /** The next turn to answer, or null; then the connection rests, or ends if it was to. */
    private Turn next() {
        boolean end;
        synchronized (this) {
            Turn turn = waiting();
            if (turn != null) {
                return turn;
            }
            answering = false;
            flooded = false;
            if (ended) {
                return null;
            }
            end = (closing || context.clients().sendsAway()) && !reading;
            ended = end;
        }
        if (end) {
            end();
        } else {
            context.clients().rests(this);
        }
        return null;
    }

    private Turn waiting() {
        Turn turn = ahead.poll();
        if (turn != null) {
            bytesAhead -= turn.length();
        } else if (beyond > 0) {
            beyond--;
            turn = new Turn(null, TOO_MANY);
        } else {
            turn = last;
            last = null;
        }
        return turn;
    }

    private void answer(Turn turn) throws IOException {
        if (turn.wrong() != null) {
            refuseInput(turn.wrong());
        } else if (turn.query() == null) {
            endAfterThis();
        } else if (isFlooded()) {
            refuseInput(TOO_MANY);
        } else {
            try {
                answerQuery(turn);
            } catch (ProtocolException e) {
                refuseInput(e);
            } catch (StatementException e) {
                refuseInput(ProtocolException.rejected(e));
            }
        }
    }

    private synchronized boolean isFlooded() {
        return flooded;
    }

    private synchronized void endAfterThis() {
        closing = true;
    }

    private void release(Turn turn) {
        if (turn.query() != null) {
            turn.query().release(context.buffers());
        }
    }

    private void answerQuery(Turn turn) throws IOException, ProtocolException, StatementException {
        Text query = turn.query();
        int end = turn.length() - 1;
        if (end < 0 || query.at(end) != 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a query that does not end in a zero");
        }
        if (blank(query, end)) {
            context.clients().works(this);
            if (context.clients().isAway()) {
                out.error(SqlState.CANNOT_CONNECT_NOW, "this pooler sends its clients away", 0);
                return;
            }
            awaitReady();
            counters.count(Counter.EMPTY_QUERIES);
            out.emptyQuery();
        } else if (isShowStats(query, end)) {
            context.clients().works(this);
            out.stats(counters);
        } else {
            Statement statement = Statement.parse(query.butLast());
            Admission.Closed closed = context.admission().closed();
            if (closed != null) {
                counters.count(closed.counter());
                out.error(SqlState.CANNOT_CONNECT_NOW, closed.reason(), closed.retryAfterNs());
                return;
            }
            Request.Call call = context.admission().call(statement, context.clients().timeLeft());
            context.clients().works(this);
            long left = context.clients().timeLeft();
            if (left <= 0 || left < Admission.waitNs(statement) && statement.write) {
                // it could not be told in time how the request ended; another pooler can take it
                endAfterThis();
                out.error(SqlState.CANNOT_CONNECT_NOW, "this pooler is about to end", 0);
                return;
            }
            Request request = context.balancer().taken(call);
            if (!begins(request)) {
                context.balancer().left(request);
            }
            PgClient client = new PgClient(statement);
            context.balancer().life(request, statement, client);
            if (ends() && !client.answered) {
                counters.count(Counter.QUERIES_CANCELED);
                out.error(SqlState.QUERY_CANCELED, "canceling statement due to user request", 0);
            }
        }
    }

    /** Notes the request that is under way; false if the client has left. */
    private synchronized boolean begins(Request request) {
        current = request;
        return !ended;
    }

    /** No request is under way any more; whether the client had this one cancelled, and is still there. */
    private synchronized boolean ends() {
        boolean asked = cancelled;
        current = null;
        cancelled = false;
        return asked && !ended;
    }

    /** PostgreSQL's CancelRequest: takes back the request that is under way, if any; the connection lives on. */
    void cancel() {
        Request now;
        synchronized (this) {
            now = current;
            cancelled = now != null;
        }
        if (now != null) {
            context.balancer().left(now);
        }
    }

    private void awaitReady() {
        try {
            context.ready().await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isShowStats(Text query, int end) {
        // 32 bytes hold the command with room for blanks; longer ones are statements
        return end < 32 && query.string(0, end).strip().toUpperCase(Locale.ROOT)
                .matches("SHOW STATS\\s*;?");
    }

    private static boolean blank(Text query, int end) {
        for (int i = 0; i < end; i++) {
            if (" ;\n\t\r".indexOf(query.at(i)) < 0) {
                return false;
            }
        }
        return true;
    }

    /** The PostgreSQL side of one request. */
    private final class PgClient implements Client {
        private final Statement statement;
        /** Whether the one final answer has begun. */
        private boolean answered;

        PgClient(Statement statement) {
            this.statement = statement;
        }

        @Override
        public Value.Form form() {
            return Value.Form.CELL;
        }

        @Override
        public void serve(Value value) throws IOException {
            answered = true;
            try {
                if (value instanceof PgValue same) {
                    if (same.isLong()) {
                        counters.count(Counter.LONG_ANSWERS);
                    }
                    same.relayTo(out);
                } else if (value instanceof Updated updated) {
                    out.updated(updated.rows());
                } else {
                    out.cell((Cell) value, statement.write);
                }
            } catch (IOException e) {
                leave(); // what is cut short shows as that
                throw e;
            }
        }

        @Override
        public void refuse(long waitNs) throws IOException {
            answered = true;
            out.error(SqlState.TOO_MANY_CONNECTIONS, "no server can take this in time", waitNs);
        }

        @Override
        public void fail() throws IOException {
            answered = true;
            out.error(SqlState.TRANSACTION_RESOLUTION_UNKNOWN, "no answer came in time; the request may have run", 0);
        }
    }

    /** Counts and answers bad input; the log has the first and then one in some, so that no flood fills it. */
    private void refuseInput(ProtocolException e) throws IOException {
        boolean capacity = e.sqlState.equals(SqlState.TOO_MANY_CONNECTIONS);
        counters.count(capacity ? Counter.OVER_CAPACITY : Counter.BAD_INPUT);
        if (!capacity && counters.get(Counter.BAD_INPUT) % LOG_EVERY == 1) {
            Log.warn("client " + socket.getRemoteSocketAddress() + ": " + e.getMessage());
        }
        if (!e.framed) {
            endAfterThis();
        }
        out.message(message -> {
            message.error(!e.framed, e.sqlState, e.getMessage(), null);
            if (e.framed) {
                message.readyForQuery();
            }
        });
    }

    /** A message has begun; false if the connection has ended, so that it is none. */
    private synchronized boolean begin() {
        reading = !ended;
        return reading;
    }

    /**
     * Ends a connection that was marked as ended with nothing reading or answering on it: first the output alone. What
     * its client sends meanwhile is never taken, and it asks again elsewhere.
     */
    private void end() {
        try {
            socket.shutdownOutput();
            context.deadlines().after(LINGER_NS, this::close);
        } catch (IOException e) {
            close();
        }
    }

    /** The client has gone away: what it asked for is nobody's any more. */
    private void leave() {
        Request left;
        List<Turn> dropped;
        synchronized (this) {
            ended = true;
            left = current;
            dropped = List.copyOf(ahead);
            ahead.clear();
            bytesAhead = 0;
            beyond = 0;
            last = null;
        }
        dropped.forEach(this::release);
        if (left != null) {
            context.balancer().left(left);
        }
        close();
    }

    /** Ends the connection as soon as nothing is being answered on it. */
    void closeWhenIdle() {
        endAfterThis();
        closeAtRest();
    }

    /** Ends the connection if nothing is coming in or being answered on it; whether it does. */
    boolean closeAtRest() {
        synchronized (this) {
            if (reading || answering || ended) {
                return false;
            }
            ended = true;
        }
        end();
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
        context.clients().gone(this);
    }
}
