package holdmux.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;

import holdmux.config.Config;
import holdmux.config.ConfigTest;
import holdmux.core.Admission;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Deadlines;
import holdmux.core.OtherProcess;
import holdmux.core.RequestId;
import holdmux.core.ServerRegistry;
import holdmux.core.ServerSlots;
import holdmux.core.Services;
import holdmux.core.Upstreams;
import holdmux.core.Workers;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** The PostgreSQL front and upstream together over loopback, against one scripted primary. */
abstract class PoolerFixture {
    static final String WRITE = "INSERT INTO facts (code, data) VALUES ('7f', '\\x9f') RETURNING data "
            + "/* id=9b,c=save-quote,d=3000,cluster=2 */";

    static final AtomicInteger LAST_ID = new AtomicInteger();

    /** Capacity for messages of usual length. */
    static final int MESSAGE_BYTES = 200_000;
    static final int MIB = 1 << 20;

    /** Socket limit of the pooler; half of it, 20, is for clients. */
    static final int SOCKETS = 40;
    /** A client that waits longer than this for the pooler fails its test; no test waits for more than some seconds. */
    private static final int READ_TIMEOUT_MS = 30_000;

    @TempDir
    Path folder;
    final List<String> queries = new CopyOnWriteArrayList<>();
    /** Messages to the server that ended before their last byte. */
    final AtomicInteger cutOff = new AtomicInteger();
    final Counters counters = new Counters();
    final CountDownLatch ready = new CountDownLatch(1);
    ServerSocket server;
    PgFront front;
    Config config;
    Balancer balancer;
    /** Composes the server's answer to a request. */
    volatile Consumer<MessageBuilder> answerScript = m -> AnswerTest.result(m, "v").parameterStatus("replication_role", "primary")
            .readyForQuery();

    /** If not null, sent instead of {@link #answerScript}, one piece per permit of {@link #nextPiece}. */
    volatile byte[][] pieces;
    final Semaphore nextPiece = new Semaphore(0);
    /** Delays the second copy of the answer with this index until the next message on its connection has come; -1 for none. */
    volatile int copiedAnswer = -1;
    private final List<Socket> serverConnections = new CopyOnWriteArrayList<>();
    /** The role that the server states when a connection is opened, and in answer to a {@link SyncQuery}; null for none. */
    volatile String greetingRole, syncRole;
    /** Runs before the server completes the startup of a connection. */
    volatile Runnable beforeGreeting = () -> { };

    /** Runs with the length of each message's body before the server reads it. */
    volatile IntConsumer beforeBody = length -> { };

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Workers.newThread("scripted server", this::acceptConnections).start();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Path file = folder.resolve("config.json");
        Files.writeString(file, settings(ConfigTest.sample()).replace("127.0.0.1:5501", "127.0.0.1:" + server.getLocalPort())
                .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS));
        Clock clock = new Clock();
        config = Config.load(Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_LISTEN", "127.0.0.1:" + port),
                clock.now());
        Deadlines deadlines = new Deadlines(clock);
        Workers workers = new Workers(20);
        ServerRegistry registry = new ServerRegistry(List.of(), List.of());
        balancer = new Balancer(config.deployment(), 1, clock, deadlines, counters,
                registry, workers);
        OtherProcess otherProcess = new OtherProcess();
        ServerSlots slots = new ServerSlots(config.caps().servers(), otherProcess);
        balancer.setUpstreams(new Upstreams(registry, new PgUpstream(config.caps(), registry, clock, deadlines, counters,
                balancer::deployment, otherProcess, slots, balancer.statusListener()))::forServer);
        front = new PgFront(new Services(config, balancer, new Admission(balancer::deployment, registry), registry, clock,
                deadlines, counters, workers, otherProcess, slots), ready);
        front.listen();
        balancer.listChanged(config.cachedList(), true);
        Workers.newThread("deadlines", deadlines::run).start();
        Workers.newThread("front", () -> {
            try {
                front.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).start();
        ready.countDown();
    }

    /** Changes the settings of the pooler under test. */
    String settings(String sample) {
        return sample;
    }

    @AfterEach
    void stop() throws Exception {
        front.stopAccepting();
        server.close();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                serverConnections.add(socket);
                Workers.newThread("scripted connection", () -> serveConnection(socket)).start();
            }
        } catch (IOException e) {
            // the test has ended
        }
    }

    /** Closes the server's connections, so that the next request needs a new one. */
    void closeServerConnections() throws IOException {
        for (Socket socket : serverConnections) {
            socket.close();
        }
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - 4);
            beforeGreeting.run();
            send(socket, m -> status(m.begin('R').put(0).end(), greetingRole).readyForQuery());
            Consumer<MessageBuilder> delayedCopy = m -> { };
            while (in.read() == 'Q') {
                int length = in.readInt() - 4;
                beforeBody.accept(length);
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    cutOff.incrementAndGet();
                    return;
                }
                String query = new String(body, StandardCharsets.UTF_8).replace("\0", "");
                send(socket, delayedCopy);
                delayedCopy = m -> { };
                if (query.equals(SyncQuery.COMMAND)) {
                    send(socket, m -> status(m.begin('C').put(query).end(), syncRole).readyForQuery());
                } else if (query.startsWith("SHOW")) {
                    send(socket, m -> AnswerTest.result(m, "x0=1,x1=1,inflight=0,util=0").readyForQuery());
                } else {
                    queries.add(query);
                    Consumer<MessageBuilder> script = answerScript;
                    delayedCopy = queries.size() - 1 == copiedAnswer ? script : delayedCopy;
                    byte[][] inPieces = pieces;
                    if (inPieces != null) {
                        sendPieces(socket, inPieces);
                    } else if (script != null) {
                        send(socket, script);
                    }
                    if (inPieces == null && script == null || inPieces != null && inPieces[inPieces.length - 1] == null) {
                        return;
                    }
                }
            }
        } catch (IOException e) {
            // the pooler closed the connection
        }
    }

    private static MessageBuilder status(MessageBuilder message, String role) {
        return role == null ? message : message.parameterStatus("replication_role", role);
    }

    /** Sends one piece per permit; null at the end closes the connection. */
    private void sendPieces(Socket socket, byte[][] inPieces) throws IOException {
        for (byte[] piece : inPieces) {
            if (piece != null) {
                nextPiece.acquireUninterruptibly();
                socket.getOutputStream().write(piece);
            }
        }
    }

    static void send(Socket socket, Consumer<MessageBuilder> composer) throws IOException {
        MessageBuilder message = new MessageBuilder(new byte[MESSAGE_BYTES]);
        composer.accept(message);
        message.writeTo(socket.getOutputStream());
    }

    static byte[] longRow(int value) {
        MessageBuilder message = new MessageBuilder(new byte[value + 1_000]);
        AnswerTest.result(message, "v".repeat(value)).readyForQuery();
        byte[] bytes = new byte[message.bytes().remaining()];
        message.bytes().get(bytes);
        return bytes;
    }

    static void startup(MessageBuilder message) {
        message.beginUntyped().put(MessageBuilder.PROTOCOL_3).put("user").put("portal").put('\0').end();
    }

    /** Adds a query; where the text has the id of {@link #WRITE}, it becomes an id of its own, as each request has. */
    static void query(MessageBuilder message, String text) {
        message.begin('Q').put(text.replace("id=9b,", "id=f" + LAST_ID.incrementAndGet() + ",")).end();
    }

    /**
     * Reads messages up to the given number of ReadyForQuery or the end of input. Returns their types, with the SQLSTATE behind
     * each error, "hello " for the startup messages and "|" for the end.
     */
    static String readTypes(Socket socket, int readyCount) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        StringBuilder types = new StringBuilder();
        int readyForQuerySeen = 0;
        while (readyForQuerySeen < readyCount) {
            int type;
            try {
                type = in.read();
            } catch (SocketException e) {
                type = -1; // the pooler closed the connection with unread input
            }
            if (type < 0) {
                types.append('|');
                break;
            }
            types.append((char) type);
            String body = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.UTF_8);
            if (type == 'E') {
                types.append(body.split("\0C")[1], 0, 5);
            }
            readyForQuerySeen += type == 'Z' ? 1 : 0;
        }
        return types.toString().replace("RSSSSSSKZ", "hello ");
    }

    static String read(String id, String key, String className) {
        return "SELECT data FROM facts WHERE code = '" + key + "' /* id=" + id + ",c=" + className + ",d=3000,cluster=2 */";
    }

    private boolean isKnown(String id) {
        RequestId hash = RequestId.of(id);
        return balancer.ids().ids().snapshot().stream().anyMatch(known -> known.id().equals(hash));
    }

    /** Waits until an id becomes known or unknown: it is read in the background, and freed behind its answer. */
    void awaitId(String id, boolean known) {
        for (int i = 0; i < 300 && isKnown(id) != known; i++) {
            sleep(10);
        }
        assertEquals(known, isKnown(id));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    Socket client() throws IOException {
        Socket client = new Socket(config.listen().getAddress(), config.listen().getPort());
        client.setSoTimeout(READ_TIMEOUT_MS);
        return client;
    }

    String ask(String query) throws IOException {
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, query);
            });
            return readTypes(client, 2);
        }
    }

    /** Returns the value of the single row that answers the query. */
    String askForValue(String query) throws IOException {
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, query);
            });
            DataInputStream in = new DataInputStream(client.getInputStream());
            int type = in.read();
            while (type != 'D') {
                in.readNBytes(in.readInt() - 4);
                type = in.read();
            }
            byte[] row = in.readNBytes(in.readInt() - 4);
            return new String(row, 6, row.length - 6, StandardCharsets.UTF_8);
        }
    }
}
