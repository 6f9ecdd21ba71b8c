package holdmux.standins;

import holdmux.standins.QuoteGroup.Asked;
import holdmux.standins.QuoteGroup.Member;
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

/** A member of a group that speaks PostgreSQL's protocol, as much of it as poolers use. */
final class PgQuoteServer implements AutoCloseable {
    private final QuoteGroup group;
    private final Member member;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    PgQuoteServer(QuoteGroup group, Member member) throws IOException {
        this.group = group;
        this.member = member;
        listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        thread(this::accept).start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    private static Thread thread(Runnable work) {
        Thread thread = new Thread(work, "standin");
        thread.setDaemon(true);
        return thread;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                open.add(socket);
                thread(() -> speak(socket)).start();
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void speak(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - 4);
            socket.getOutputStream().write(new Messages().put('R', m -> m.writeInt(0)).ready().bytes());
            while (true) {
                if (in.readByte() != 'Q') {
                    return;
                }
                byte[] text = in.readNBytes(in.readInt() - 4);
                answer(socket, new String(text, 0, text.length - 1, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // the peer left, or a fault ended it
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Socket socket, String sql) throws IOException {
        if (sql.equals("SHOW pressure")) {
            socket.getOutputStream().write(row(group.pressure(member).getBytes(StandardCharsets.UTF_8), "SHOW").bytes());
            return;
        }
        group.arrived(member, sql);
        Asked asked = Asked.of(sql);
        Fault fault = group.fault(asked.id());
        group.begins(member);
        try {
            if (fault != null && !fault.runs()) {
                fail(socket, fault, null);
                return;
            }
            Messages answer;
            try {
                byte[] value = group.run(member, asked);
                answer = row(value, asked.write() ? "INSERT 0 1" : "SELECT 1");
            } catch (QuoteGroup.MissException e) {
                socket.getOutputStream().write(error("25006").bytes());
                return;
            }
            if (fault != null) {
                fail(socket, fault, answer.bytes());
            } else {
                socket.getOutputStream().write(answer.bytes());
            }
        } finally {
            group.ends(member);
        }
    }

    /** Lets a fault happen; {@code answer} is what would have been said, null before a run. */
    private void fail(Socket socket, Fault fault, byte[] answer) throws IOException {
        if (fault.phase() == Fault.Phase.MIDWAY) {
            // within the row, at most: what CommandComplete follows is an answer
            int row = answer.length / 2;
            socket.getOutputStream().write(answer, 0, Math.min(row, answer.length * fault.at() / 16));
        }
        switch (fault.kind()) {
            case SILENT -> {
                while (socket.getInputStream().read() >= 0) {
                    // until the peer gives up
                }
                throw new IOException("silent to the end");
            }
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case SPOILT -> {
                byte[] noise = new byte[64];
                java.util.Arrays.fill(noise, (byte) 0xff);
                socket.getOutputStream().write(noise);
            }
            case ERROR -> socket.getOutputStream().write(error("XX000").bytes());
            case FULL -> socket.getOutputStream().write(error("53300").bytes());
            case MISS -> socket.getOutputStream().write(error("25006").bytes());
        }
    }

    private Messages row(byte[] value, String tag) throws IOException {
        return new Messages().put('T', m -> {
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
        }).put('C', m -> m.writeBytes(tag + "\0")).status("replication_role", group.role(member))
                .status("log_position", Long.toString(group.positionMs(member)))
                .status("pressure", group.pressure(member)).ready();
    }

    private Messages error(String sqlState) throws IOException {
        return new Messages().put('E', m -> m.writeBytes("SERROR\0C" + sqlState + "\0Mplanned\0\0"))
                .status("replication_role", group.role(member))
                .status("log_position", Long.toString(group.positionMs(member))).ready();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Messages of the protocol, one after the other. */
    private static final class Messages {
        private interface Body {
            void to(DataOutputStream out) throws IOException;
        }

        private final ByteArrayOutputStream all = new ByteArrayOutputStream();

        Messages put(char type, Body body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            body.to(new DataOutputStream(bytes));
            DataOutputStream out = new DataOutputStream(all);
            out.writeByte(type);
            out.writeInt(bytes.size() + 4);
            bytes.writeTo(out);
            return this;
        }

        Messages status(String name, String value) throws IOException {
            return put('S', m -> m.writeBytes(name + "\0" + value + "\0"));
        }

        Messages ready() throws IOException {
            return put('Z', m -> m.writeByte('I'));
        }

        byte[] bytes() {
            return all.toByteArray();
        }
    }
}
