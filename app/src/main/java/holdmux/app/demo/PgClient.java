package holdmux.app.demo;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A minimal client of the PostgreSQL front, for the test commands: sends one simple query at a time. */
public final class PgClient implements QuoteClient {
    /** The key of the value of a row with a single column. */
    public static final String VALUE_COLUMN = "data";

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;

    /** Connects to a local pooler without time-outs. */
    public PgClient(int port) throws IOException {
        this(port, 0);
    }

    /** Connects to a local pooler. {@code timeoutMs} limits the connect and each read of an answer, 0 means no limit. */
    public PgClient(int port, int timeoutMs) throws IOException {
        try {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            byte[] startupParameters = "user\0demo\0database\0crm\0\0".getBytes(StandardCharsets.US_ASCII);
            out.writeInt(8 + startupParameters.length);
            out.writeInt(196_608); // protocol 3.0
            out.write(startupParameters);
            out.flush();
            readResponse(new HashMap<>());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    @Override
    public Outcome execute(String sql) {
        try {
            String sqlState = query(sql, new HashMap<>());
            return sqlState.isEmpty() ? Outcome.SERVED
                    : sqlState.equals("53300") || sqlState.equals("57P03") ? Outcome.REFUSED : Outcome.FAILED;
        } catch (IOException e) {
            return Outcome.FAILED;
        }
    }

    /**
     * Sends a query and waits for its answer.
     *
     * @param rows receives the rows: with two columns, as of SHOW STATS, the second keyed by the first, with a single
     *             column its value under {@link #VALUE_COLUMN}
     * @return the SQLSTATE of an error, or an empty string
     */
    public String query(String sql, Map<String, String> rows) throws IOException {
        send(sql);
        return receive(rows);
    }

    /** Waits for the answer to a query that was sent; see {@link #query}. */
    public String receive(Map<String, String> rows) throws IOException {
        return readResponse(rows);
    }

    /** Sends a query without waiting for its answer. */
    public void send(String sql) throws IOException {
        byte[] text = sql.getBytes(StandardCharsets.UTF_8);
        out.writeByte('Q');
        out.writeInt(5 + text.length);
        out.write(text);
        out.writeByte(0);
        out.flush();
    }

    /** Reads messages up to ReadyForQuery. Returns the SQLSTATE of an error, or an empty string. */
    private String readResponse(Map<String, String> rows) throws IOException {
        String sqlState = "";
        while (true) {
            int type = in.readUnsignedByte();
            ByteBuffer body = ByteBuffer.wrap(in.readNBytes(in.readInt() - Integer.BYTES));
            if (type == 'E') {
                String fields = StandardCharsets.UTF_8.decode(body).toString();
                int codeField = fields.indexOf("\0C");
                sqlState = fields.substring(codeField + 2, fields.indexOf('\0', codeField + 2));
            } else if (type == 'D') {
                boolean twoColumns = body.getShort() == 2;
                rows.put(twoColumns ? readText(body) : VALUE_COLUMN, readText(body));
            } else if (type == 'Z') {
                return sqlState;
            }
        }
    }

    private static String readText(ByteBuffer row) {
        byte[] text = new byte[row.getInt()];
        row.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
