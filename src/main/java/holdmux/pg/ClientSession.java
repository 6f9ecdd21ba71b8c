package holdmux.pg;

import holdmux.config.Deployment;
import holdmux.core.Attempt;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.Exchange;
import holdmux.core.Fleet;
import holdmux.core.Log;
import holdmux.core.Reply;
import holdmux.core.Request;
import holdmux.decision.SplitterApi.Consistency;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.RequestClass;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * One client connection. Its thread reads; a request is carried through on a worker thread meanwhile, so that the
 * reader sees a client that leaves. The next message is taken up once the answer before it is written.
 */
final class ClientSession implements Runnable {
    /** What all sessions share. */
    record Context(Balancer balancer, Fleet fleet, Deployment deployment, ServerPool servers, Buffers buffers,
            Deadlines deadlines, Counters counters, Executor workers, CountDownLatch ready) {}

    private static final int CANCEL_REQUEST = 80_877_102, SSL_REQUEST = 80_877_103, GSS_REQUEST = 80_877_104;
    /** A startup packet is a few short names; PostgreSQL itself takes no more than this. */
    private static final int MOST_STARTUP = 10_000;
    /** PostgreSQL's type of plain text. */
    private static final int TEXT_TYPE = 25;
    /** Bad inputs for each line of the log. */
    private static final int LOG_EVERY = 100;
    /** A message once begun must be whole within this time: clients write it in one go. */
    private static final int MESSAGE_MS = 5_000;
    /** How long the request is on its way to us, at most in the deployments so far: d counts from its send. */
    private static final long UNDERWAY_MS = 2;

    private final Socket socket;
    private final Context context;
    private final Counters counters;
    private final InputStream in;
    private final OutputStream out;
    /** Held while a request is carried through. */
    private final Semaphore turn = new Semaphore(1);
    /** Under this object's monitor: messages being read or answered, and whether no more are wanted. */
    private int busy;
    private boolean closing;
    private volatile Request current;

    ClientSession(Socket socket, Context context) throws IOException {
        this.socket = socket;
        this.context = context;
        counters = context.counters();
        in = socket.getInputStream();
        out = socket.getOutputStream();
    }

    @Override
    public void run() {
        try {
            if (startup()) {
                while (message()) { }
            }
        } catch (ProtocolException e) {
            refuseInput(e);
        } catch (Buffers.NoneFree e) {
            counters.count(Counter.OVER_CAPACITY); // a message that cannot be read cannot be answered either
        } catch (IOException e) {
            // the client is gone, or was told to go; below
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Request left = current;
            if (left != null) {
                context.balancer().left(left);
            }
            close();
            counters.count(Counter.CLIENTS_CLOSED);
        }
    }

    /** Up to the first ReadyForQuery; false where the connection was for something else. */
    private boolean startup() throws IOException, ProtocolException {
        socket.setSoTimeout(MESSAGE_MS);
        byte[] head = new byte[4]; // no buffer is held for a client that connects and says nothing
        while (true) {
            int length = ByteBuffer.wrap(read(head, 0, 4)).getInt();
            if (length < 8 || length > MOST_STARTUP) {
                throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a startup packet of " + length + " bytes");
            }
            byte[] buffer = context.buffers().take();
            try {
                ByteBuffer packet = ByteBuffer.wrap(read(buffer, 0, length - 4), 0, length - 4);
                int code = packet.getInt();
                if (code == SSL_REQUEST || code == GSS_REQUEST) {
                    out.write('N');
                } else if (code == CANCEL_REQUEST) {
                    return false;
                } else if (code >>> 16 != 3) {
                    throw ProtocolException.fatal(SqlState.FEATURE_NOT_SUPPORTED, "protocol " + (code >>> 16));
                } else {
                    greet(packet, code, buffer);
                    socket.setSoTimeout(0);
                    return true;
                }
            } finally {
                context.buffers().give(buffer);
            }
        }
    }

    private void greet(ByteBuffer packet, int protocol, byte[] buffer) throws IOException, ProtocolException {
        if (!hasUser(packet)) {
            throw ProtocolException.fatal(SqlState.INVALID_AUTHORIZATION, "the startup packet names no user");
        }
        Message message = new Message(buffer);
        if (protocol != Message.PROTOCOL_3) {
            message.begin('v').put(Message.PROTOCOL_3).put(0).end(); // NegotiateProtocolVersion
        }
        message.begin('R').put(0).end().parameterStatus("server_version", "15.0 (holdmux)")
                .parameterStatus("server_encoding", "UTF8").parameterStatus("client_encoding", "UTF8")
                .parameterStatus("standard_conforming_strings", "on").parameterStatus("DateStyle", "ISO, MDY")
                .parameterStatus("integer_datetimes", "on")
                .begin('K').put(0).put(0).end().readyForQuery().writeTo(out);
    }

    private static boolean hasUser(ByteBuffer packet) throws ProtocolException {
        byte[] rest = new byte[packet.remaining()];
        packet.get(rest);
        String[] parts = new String(rest, StandardCharsets.UTF_8).split("\0", -1);
        // name, value, name, value ... and a lone zero at the end
        if (rest.length == 0 || rest[rest.length - 1] != 0 || parts.length % 2 != 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a startup packet of odd parts");
        }
        for (int i = 0; i + 1 < parts.length; i += 2) {
            if (parts[i].equals("user") && !parts[i + 1].isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** One message; false at the end of the connection. */
    private boolean message() throws IOException, ProtocolException, InterruptedException {
        int type = in.read();
        if (type < 0 || !begin()) {
            return false;
        }
        socket.setSoTimeout(MESSAGE_MS);
        byte[] buffer = context.buffers().take();
        byte[] body;
        try {
            int length = ByteBuffer.wrap(read(buffer, 0, 4)).getInt() - 4;
            if (length < 0) {
                throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of " + length + " bytes");
            } else if (length > buffer.length) {
                throw ProtocolException.fatal(SqlState.PROGRAM_LIMIT_EXCEEDED, "a message of " + length + " bytes");
            }
            body = Arrays.copyOf(read(buffer, 0, length), length);
        } finally {
            context.buffers().give(buffer);
        }
        socket.setSoTimeout(0);
        turn.acquire();
        switch (type) {
            case 'Q' -> query(body);
            case 'X' -> {
                return false;
            }
            case 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f', 'p' -> throw ProtocolException.fatal(
                    SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are served here");
            default -> throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a message of type " + type);
        }
        return true;
    }

    private void query(byte[] body) throws IOException, ProtocolException, InterruptedException {
        if (body.length == 0 || body[body.length - 1] != 0) {
            throw ProtocolException.fatal(SqlState.PROTOCOL_VIOLATION, "a query that does not end in a zero");
        }
        if (blank(body)) {
            context.ready().await();
            counters.count(Counter.EMPTY_QUERIES);
            answer(message -> message.begin('I').end().readyForQuery());
            done();
            return;
        }
        if (isShowStats(body)) {
            showStats();
            done();
            return;
        }
        try {
            Statement statement = Statement.parse(Arrays.copyOf(body, body.length - 1));
            Request.Call call = call(statement);
            start(context.balancer().taken(call), statement);
        } catch (ProtocolException e) {
            refuseInput(e);
            done();
        }
    }

    /** PgBouncer's name for it: the counters, a row each. */
    private void showStats() throws IOException {
        answer(message -> {
            message.begin('T').putShort(2);
            column(message, "counter");
            column(message, "value").end();
            int rows = 0;
            for (Counter counter : Counter.values()) {
                message.begin('D').putShort(2);
                field(message, counter.toString());
                field(message, Long.toString(counters.get(counter))).end();
                rows++;
            }
            message.begin('C').put("SHOW " + rows).end().readyForQuery();
        });
    }

    private static Message column(Message message, String name) {
        return message.put(name).put(0).putShort(0).put(TEXT_TYPE).putShort(-1).put(-1).putShort(0);
    }

    private static Message field(Message message, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        return message.put(text.length).put(text, 0, text.length);
    }

    private static boolean isShowStats(byte[] body) {
        // 32 bytes hold the command with room for blanks; longer ones are statements
        return body.length < 32 && new String(body, StandardCharsets.UTF_8).strip().toUpperCase(Locale.ROOT)
                .matches("SHOW STATS\\s*;?\0");
    }

    private static boolean blank(byte[] body) {
        for (byte b : body) {
            if (b != 0 && b != ' ' && b != ';' && b != '\n' && b != '\t' && b != '\r') {
                return false;
            }
        }
        return true;
    }

    private Request.Call call(Statement statement) throws ProtocolException {
        int index = context.deployment().classes().indexOf(statement.className);
        if (index < 0) {
            throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "unknown class");
        }
        if (!context.fleet().hasGroup(statement.group)) {
            throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "unknown group " + statement.group);
        }
        RequestClass type = context.deployment().settings().classes().get(index);
        if (statement.write != (type.consistency() == Consistency.WRITE)) {
            throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the class does not go with the statement");
        }
        boolean session = statement.write || type.consistency() == Consistency.SESSION;
        return new Request.Call(index, statement.retry, Math.max(1, statement.waitMs - UNDERWAY_MS) * Clock.MS,
                statement.afterMs * Clock.MS, session ? statement.session() : 0, statement.group);
    }

    private void start(Request request, Statement statement) throws IOException {
        current = request;
        try {
            context.workers().execute(() -> {
                context.balancer().life(request, new PgExchange(statement));
                done();
            });
        } catch (RejectedExecutionException e) {
            context.balancer().forget(request);
            counters.count(Counter.OVER_CAPACITY);
            counters.count(Counter.REFUSED);
            refuse(context.deployment().settings().limits().maxRetryAfterNs());
            done();
        }
    }

    /** The PostgreSQL side of one request. */
    private final class PgExchange implements Exchange {
        private final Statement statement;
        private Answer served;

        PgExchange(Statement statement) {
            this.statement = statement;
        }

        @Override
        public Reply attempt(Attempt attempt) {
            long limitMs = Math.max(1, attempt.limitNs / Clock.MS);
            return context.servers().talk(attempt, message -> statement.writeTo(message, limitMs), this::heard);
        }

        private Reply heard(Answer answer) {
            Reply reply = answer.reply();
            if (reply.outcome() == Outcome.OK) {
                served = answer;
            } else {
                context.servers().giveBack(answer);
            }
            return reply;
        }

        @Override
        public void serve() throws IOException {
            try {
                ClientSession.this.answer(message -> {
                    served.writeTo(message);
                    message.readyForQuery();
                });
            } finally {
                context.servers().giveBack(served);
            }
        }

        @Override
        public void refuse(long waitNs) throws IOException {
            ClientSession.this.refuse(waitNs);
        }

        @Override
        public void fail() throws IOException {
            answer(message -> message.error(false, SqlState.TRANSACTION_RESOLUTION_UNKNOWN,
                    "no answer came in time; the request may have run", null).readyForQuery());
        }
    }

    private void refuse(long waitNs) throws IOException {
        String waitMs = waitNs <= 0 ? null : Long.toString((waitNs + Clock.MS - 1) / Clock.MS);
        answer(message -> message.error(false, SqlState.TOO_MANY_CONNECTIONS, "no server can take this in time",
                waitMs).readyForQuery());
    }

    /** Writes an answer; a client that does not take it in time is cut off, and its thread goes free. */
    private void answer(Consumer<Message> composer) throws IOException {
        byte[] buffer = context.buffers().take();
        Deadlines.Deadline timeOut = context.deadlines().after(MESSAGE_MS * Clock.MS, this::close);
        try {
            Message message = new Message(buffer);
            composer.accept(message);
            message.writeTo(out);
        } finally {
            context.deadlines().cancel(timeOut);
            context.buffers().give(buffer);
        }
    }

    /** Counts and answers bad input; the log has the first and then one in some, so that no flood fills it. */
    private void refuseInput(ProtocolException e) {
        counters.count(Counter.BAD_INPUT);
        if (counters.get(Counter.BAD_INPUT) % LOG_EVERY == 1) {
            Log.warn("client " + socket.getRemoteSocketAddress() + ": " + e.getMessage());
        }
        try {
            answer(message -> {
                message.error(!e.framed, e.sqlState, e.getMessage(), null);
                if (e.framed) {
                    message.readyForQuery();
                }
            });
        } catch (IOException gone) {
            // nobody is left to be told
        }
    }

    private byte[] read(byte[] buffer, int from, int length) throws IOException {
        if (in.readNBytes(buffer, from, length) < length) {
            throw new EOFException("the client closed the connection");
        }
        return buffer;
    }

    /** A message has begun; false if the connection was closed under it. */
    private synchronized boolean begin() {
        if (!closing) {
            busy++;
        }
        return !closing;
    }

    private void done() {
        current = null;
        synchronized (this) {
            busy--;
            if (closing && busy == 0) {
                close();
            }
        }
        turn.release();
    }

    /** Ends the connection as soon as nothing is being answered on it. */
    synchronized void closeWhenIdle() {
        closing = true;
        if (busy == 0) {
            close();
        }
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // closing is all that was wanted
        }
    }
}
