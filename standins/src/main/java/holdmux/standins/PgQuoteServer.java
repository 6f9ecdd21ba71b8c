package holdmux.standins;

import holdmux.standins.QuoteGroup.Member;
import holdmux.standins.QuoteGroup.Statement;
import holdmux.standins.ServingLog.RoleStatement;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A group member that speaks the part of the PostgreSQL protocol that the pooler uses: start-up and simple queries. */
final class PgQuoteServer implements AutoCloseable {
    /** How late the status follows its answer with {@link Fault.Kind#LATE_STATUS}, and for how long an answer is held up. */
    private static final long LATE_STATUS_MS = 80, HELD_UP_MS = 700;

    private final QuoteGroup group;
    private final Member member;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    PgQuoteServer(QuoteGroup group, Member member) throws IOException {
        this.group = group;
        this.member = member;
        listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        newThread(this::accept).start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    private static Thread newThread(Runnable work) {
        Thread thread = new Thread(work, "standin");
        thread.setDaemon(true);
        return thread;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                newThread(() -> serveConnection(socket)).start();
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            long connection = group.servingLog().newConnection();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - 4);
            sendWithStatus(socket, connection, new MessageBuffer().put('R', m -> m.writeInt(0)));
            while (true) {
                if (in.readByte() != 'Q') {
                    return;
                }
                byte[] text = in.readNBytes(in.readInt() - 4);
                answer(socket, connection, new String(text, 0, text.length - 1, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // the client disconnected, or a fault closed the connection
        } finally {
            sockets.remove(socket);
        }
    }

    /** Sends the answer to a command that is no request, with the server's role and position where every answer states them. */
    private void sendWithStatus(Socket socket, long connection, MessageBuffer answer) throws IOException {
        if (group.isStatusInEveryAnswer()) {
            recordStatement(connection, "");
            putStatus(answer);
        }
        socket.getOutputStream().write(answer.readyForQuery().bytes());
    }

    private void recordStatement(long connection, String id) {
        group.servingLog().add(new RoleStatement(member.name, id, connection, System.nanoTime(), group.isPrimary(member)));
    }

    private MessageBuffer putStatus(MessageBuffer answer) throws IOException {
        return answer.parameterStatus("replication_role", group.role(member))
                .parameterStatus("log_position", Long.toString(group.positionMs(member)));
    }

    private void answer(Socket socket, long connection, String sql) throws IOException {
        long arrivedAt = System.nanoTime();
        if (sql.equals("SHOW pressure")) {
            sendWithStatus(socket, connection, row(group.loadReport(member).getBytes(StandardCharsets.UTF_8), "SHOW"));
            return;
        }
        if (sql.equals("DISCARD ALL")) {
            sendWithStatus(socket, connection, new MessageBuffer().put('C', m -> m.writeBytes(sql + "\0")));
            return;
        }
        group.recordArrival(member, sql);
        Statement statement = Statement.parse(sql);
        Fault fault = group.nextFault(statement.id());
        group.requestStarted(member);
        try {
            if (fault != null && !fault.requestRuns()) {
                applyFault(socket, fault, connection, statement, null);
                return;
            }
            pause(group.workMs());
            MessageBuffer row;
            try {
                byte[] value = group.run(member, statement);
                row = row(value, statement.write() ? "INSERT 0 1" : "SELECT 1");
            } catch (QuoteGroup.ReadOnlyServerException e) {
                sendError(socket, "25006", connection, statement);
                return;
            }
            if (!statement.write()) {
                group.recordRead(member, statement, connection, arrivedAt);
            }
            if (fault != null && fault.kind().affectsStatus()) {
                applyStatusFault(socket, fault, connection, statement, row);
                return;
            }
            putStatus(row).parameterStatus("pressure", group.loadReport(member)).readyForQuery();
            if (fault != null) {
                applyFault(socket, fault, connection, statement, row.bytes());
            } else {
                recordStatement(connection, statement.id());
                socket.getOutputStream().write(row.bytes());
            }
        } finally {
            group.requestEnded(member);
        }
    }

    /** Applies a fault to the role and position that an answer states behind its row. */
    private void applyStatusFault(Socket socket, Fault fault, long connection, Statement statement, MessageBuffer row)
            throws IOException {
        OutputStream out = socket.getOutputStream();
        byte[] status = putStatus(new MessageBuffer()).bytes();
        switch (fault.kind()) {
            case LATE_STATUS -> {
                out.write(row.bytes());
                pause(LATE_STATUS_MS);
                recordStatement(connection, statement.id());
                out.write(status);
                out.write(new MessageBuffer().readyForQuery().bytes());
            }
            case STATUS_ONLY -> {
                recordStatement(connection, statement.id());
                out.write(status);
                discardInput(socket);
            }
            default -> {
                recordStatement(connection, statement.id());
                pause(HELD_UP_MS);
                out.write(row.bytes());
                out.write(status);
                out.write(new MessageBuffer().readyForQuery().bytes());
            }
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }

    /** Discards input until the client closes the connection. */
    private static void discardInput(Socket socket) throws IOException {
        while (socket.getInputStream().read() >= 0) {
            // nothing is answered
        }
        throw new IOException("client closed the connection during a fault that leaves it open");
    }

    /** Applies a fault; {@code answer} is the complete answer of the request, null if it has not run. */
    private void applyFault(Socket socket, Fault fault, long connection, Statement statement, byte[] answer) throws IOException {
        if (fault.phase() == Fault.Phase.MIDWAY) {
            // stop within the row: with CommandComplete the client would have a complete answer
            int rowEnd = answer.length / 2;
            socket.getOutputStream().write(answer, 0, Math.min(rowEnd, answer.length * fault.progress() / 16));
        }
        switch (fault.kind()) {
            case SILENT -> discardInput(socket);
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case SPOILT -> {
                byte[] garbage = new byte[64];
                java.util.Arrays.fill(garbage, (byte) 0xff);
                socket.getOutputStream().write(garbage);
            }
            case ERROR -> sendError(socket, "XX000", connection, statement);
            case FULL -> sendError(socket, "53300", connection, statement);
            case MISS -> sendError(socket, "25006", connection, statement);
            default -> throw new IllegalArgumentException(fault + " needs a request that has run");
        }
    }

    /** Composes the messages of a result with one row, up to CommandComplete. */
    private MessageBuffer row(byte[] value, String tag) throws IOException {
        return new MessageBuffer().put('T', m -> {
            m.writeShort(1);
            m.writeBytes("data\0");
            m.writeInt(0);
            m.writeShort(0);
            m.writeInt(17);
            m.writeShort(-1);
            m.writeInt(-1);
            m.writeShort(1);
        }).put('D', m -> {
            m.writeShort(1);
            m.writeInt(value.length);
            m.write(value);
        }).put('C', m -> m.writeBytes(tag + "\0"));
    }

    private void sendError(Socket socket, String sqlState, long connection, Statement statement) throws IOException {
        recordStatement(connection, statement.id());
        MessageBuffer error = new MessageBuffer().put('E', m -> m.writeBytes("SERROR\0C" + sqlState + "\0Mplanned\0\0"));
        socket.getOutputStream().write(putStatus(error).readyForQuery().bytes());
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Encodes consecutive protocol messages into one buffer. */
    private static final class MessageBuffer {
        /** Writes the body of a message. */
        private interface Body {
            void writeTo(DataOutputStream out) throws IOException;
        }

        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

        MessageBuffer put(char type, Body body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            body.writeTo(new DataOutputStream(bytes));
            DataOutputStream out = new DataOutputStream(buffer);
            out.writeByte(type);
            out.writeInt(bytes.size() + 4);
            bytes.writeTo(out);
            return this;
        }

        MessageBuffer parameterStatus(String name, String value) throws IOException {
            return put('S', m -> m.writeBytes(name + "\0" + value + "\0"));
        }

        MessageBuffer readyForQuery() throws IOException {
            return put('Z', m -> m.writeByte('I'));
        }

        byte[] bytes() {
            return buffer.toByteArray();
        }
    }
}
