package holdmux.standins;

import holdmux.standins.QuoteGroup.Member;
import holdmux.standins.QuoteGroup.Statement;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A group member that speaks the part of the PostgreSQL protocol that the pooler uses: start-up and simple queries. */
final class PgQuoteServer implements AutoCloseable {
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
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - 4);
            socket.getOutputStream().write(new MessageBuffer().put('R', m -> m.writeInt(0)).readyForQuery().bytes());
            while (true) {
                if (in.readByte() != 'Q') {
                    return;
                }
                byte[] text = in.readNBytes(in.readInt() - 4);
                answer(socket, new String(text, 0, text.length - 1, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // the client disconnected, or a fault closed the connection
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Socket socket, String sql) throws IOException {
        if (sql.equals("SHOW pressure")) {
            socket.getOutputStream().write(rowResponse(group.loadReport(member).getBytes(StandardCharsets.UTF_8), "SHOW").bytes());
            return;
        }
        if (sql.equals("DISCARD ALL")) {
            socket.getOutputStream().write(new MessageBuffer().put('C', m -> m.writeBytes(sql + "\0")).readyForQuery().bytes());
            return;
        }
        group.recordArrival(member, sql);
        Statement statement = Statement.parse(sql);
        Fault fault = group.nextFault(statement.id());
        group.requestStarted(member);
        try {
            if (fault != null && !fault.requestRuns()) {
                applyFault(socket, fault, null);
                return;
            }
            MessageBuffer answer;
            try {
                byte[] value = group.run(member, statement);
                answer = rowResponse(value, statement.write() ? "INSERT 0 1" : "SELECT 1");
            } catch (QuoteGroup.ReadOnlyServerException e) {
                socket.getOutputStream().write(errorResponse("25006").bytes());
                return;
            }
            if (fault != null) {
                applyFault(socket, fault, answer.bytes());
            } else {
                socket.getOutputStream().write(answer.bytes());
            }
        } finally {
            group.requestEnded(member);
        }
    }

    /** Applies a fault; {@code answer} is the complete answer of the request, null if it has not run. */
    private void applyFault(Socket socket, Fault fault, byte[] answer) throws IOException {
        if (fault.phase() == Fault.Phase.MIDWAY) {
            // stop within the row: with CommandComplete the client would have a complete answer
            int rowEnd = answer.length / 2;
            socket.getOutputStream().write(answer, 0, Math.min(rowEnd, answer.length * fault.progress() / 16));
        }
        switch (fault.kind()) {
            case SILENT -> {
                while (socket.getInputStream().read() >= 0) {
                    // discard input until the client closes the connection
                }
                throw new IOException("client closed the connection during a SILENT fault");
            }
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case SPOILT -> {
                byte[] garbage = new byte[64];
                java.util.Arrays.fill(garbage, (byte) 0xff);
                socket.getOutputStream().write(garbage);
            }
            case ERROR -> socket.getOutputStream().write(errorResponse("XX000").bytes());
            case FULL -> socket.getOutputStream().write(errorResponse("53300").bytes());
            case MISS -> socket.getOutputStream().write(errorResponse("25006").bytes());
        }
    }

    private MessageBuffer rowResponse(byte[] value, String tag) throws IOException {
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
        }).put('C', m -> m.writeBytes(tag + "\0")).parameterStatus("replication_role", group.role(member))
                .parameterStatus("log_position", Long.toString(group.positionMs(member)))
                .parameterStatus("pressure", group.loadReport(member)).readyForQuery();
    }

    private MessageBuffer errorResponse(String sqlState) throws IOException {
        return new MessageBuffer().put('E', m -> m.writeBytes("SERROR\0C" + sqlState + "\0Mplanned\0\0"))
                .parameterStatus("replication_role", group.role(member))
                .parameterStatus("log_position", Long.toString(group.positionMs(member))).readyForQuery();
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
