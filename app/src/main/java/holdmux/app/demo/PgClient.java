package holdmux.app.demo;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of the PostgreSQL front, as much of one as the demo needs: one simple query at a time. */
public final class PgClient implements QuoteClient {
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    public PgClient(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        byte[] names = "user\0demo\0database\0crm\0\0".getBytes(StandardCharsets.US_ASCII);
        out.writeInt(8 + names.length);
        out.writeInt(196_608); // protocol 3.0
        out.write(names);
        out.flush();
        answer();
    }

    @Override
    public Ending ask(String sql) {
        try {
            byte[] text = sql.getBytes(StandardCharsets.UTF_8);
            out.writeByte('Q');
            out.writeInt(5 + text.length);
            out.write(text);
            out.writeByte(0);
            out.flush();
            return answer();
        } catch (IOException e) {
            return Ending.FAILED;
        }
    }

    private Ending answer() throws IOException {
        Ending ending = Ending.SERVED;
        while (true) {
            int type = in.read();
            if (type < 0) {
                throw new EOFException();
            }
            byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
            if (type == 'E') {
                String fields = new String(body, StandardCharsets.UTF_8);
                ending = fields.contains("C53300\0") || fields.contains("C57P03\0") ? Ending.REFUSED : Ending.FAILED;
            } else if (type == 'Z') {
                return ending;
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
