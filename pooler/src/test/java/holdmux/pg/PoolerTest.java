package holdmux.pg;

import holdmux.config.Config;
import holdmux.config.ConfigTest;
import holdmux.config.HostList;
import holdmux.core.Admission;
import holdmux.core.Balancer;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.ServerRegistry;
import holdmux.core.ServerSlots;
import holdmux.core.Services;
import holdmux.core.OtherProcess;
import holdmux.core.Upstreams;
import holdmux.core.Workers;
import holdmux.statement.SqlState;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;


/** The whole client and server side over loopback, against one scripted primary. */
@Timeout(20)
class PoolerTest {
    private static final String WRITE = "INSERT INTO facts (code, data) VALUES ('7f', '\\x9f') RETURNING data "
            + "/* id=9b,c=save-quote,d=3000,cluster=2 */";

    /** For messages of the usual kind. */
    private static final int MESSAGE_BYTES = 200_000;
    private static final int MIB = 1 << 20;

    /** Descriptors of the pooler: half of them, 20, for clients. */
    private static final int SOCKETS = 40;

    @TempDir
    Path folder;
    private final List<String> queries = new CopyOnWriteArrayList<>();
    private final Counters counters = new Counters();
    private final CountDownLatch ready = new CountDownLatch(1);
    private ServerSocket server;
    private PgFront front;
    private Config config;
    private Balancer balancer;
    /** What the server answers to a request. */
    private volatile Consumer<MessageBuilder> answerScript = m -> AnswerTest.result(m, "v").parameterStatus("replication_role", "primary")
            .readyForQuery();

    /** Where not null, what it answers instead, a piece for each permit. */
    private volatile byte[][] pieces;
    private final Semaphore nextPiece = new Semaphore(0);
    /** What happens before a connection to the server comes up. */
    private volatile Runnable beforeGreeting = () -> { };

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Workers.newThread("scripted server", this::acceptConnections).start();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Path file = folder.resolve("config.json");
        Files.writeString(file, ConfigTest.sample().replace("127.0.0.1:5501", "127.0.0.1:" + server.getLocalPort())
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
                balancer::deployment, otherProcess, slots))::forServer);
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

    @AfterEach
    void stop() throws Exception {
        front.stopAccepting();
        server.close();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                Workers.newThread("scripted connection", () -> serveConnection(socket)).start();
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - 4);
            beforeGreeting.run();
            send(socket, m -> m.begin('R').put(0).end().readyForQuery());
            while (in.read() == 'Q') {
                String query = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.UTF_8).replace("\0", "");
                if (query.startsWith("SHOW")) {
                    send(socket, m -> AnswerTest.result(m, "x0=1,x1=1,inflight=0,util=0").readyForQuery());
                } else {
                    queries.add(query);
                    Consumer<MessageBuilder> now = answerScript;
                    byte[][] inPieces = pieces;
                    if (inPieces != null) {
                        sendPieces(socket, inPieces);
                    } else if (now != null) {
                        send(socket, now);
                    }
                    if (inPieces == null && now == null || inPieces != null && inPieces[inPieces.length - 1] == null) {
                        return;
                    }
                }
            }
        } catch (IOException e) {
            // the pooler left
        }
    }

    /** Each piece goes out once the client has the one before; null ends the connection. */
    private void sendPieces(Socket socket, byte[][] inPieces) throws IOException {
        for (byte[] piece : inPieces) {
            if (piece != null) {
                nextPiece.acquireUninterruptibly();
                socket.getOutputStream().write(piece);
            }
        }
    }

    private static void send(Socket socket, Consumer<MessageBuilder> composer) throws IOException {
        MessageBuilder message = new MessageBuilder(new byte[MESSAGE_BYTES]);
        composer.accept(message);
        message.writeTo(socket.getOutputStream());
    }

    private static void startup(MessageBuilder message) {
        message.beginUntyped().put(MessageBuilder.PROTOCOL_3).put("user").put("portal").put('\0').end();
    }

    private static void query(MessageBuilder message, String text) {
        message.begin('Q').put(text).end();
    }

    /** The types of the messages up to and with this many ReadyForQuery, or the end. */
    private static String readTypes(Socket socket, int readyCount) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        StringBuilder types = new StringBuilder();
        int readyForQuerySeen = 0;
        while (readyForQuerySeen < readyCount) {
            int type;
            try {
                type = in.read();
            } catch (SocketException e) {
                type = -1; // closed with something of ours unread
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

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private Socket client() throws IOException {
        return new Socket(config.listen().getAddress(), config.listen().getPort());
    }

    private String ask(String query) throws IOException {
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, query);
            });
            return readTypes(client, 2);
        }
    }

    @Test
    void startupAndQueryInOnePacketAreBothAnswered() throws IOException {
        assertEquals("hello TDCZ", ask(WRITE));
        assertEquals("hello IZ", ask(""));
        assertEquals(1, queries.size());
        assertTrue(queries.get(0).matches(".*d=(29\\d\\d|3000),.*"), "d says how long we wait: " + queries.get(0));
    }

    @Test
    void badInputIsAnsweredAndNeverSent() throws IOException {
        assertEquals("hello E42601Z", ask("SELECT 1"));
        assertEquals("hello E22023Z", ask(WRITE.replace("save-quote", "no-such")));
        assertEquals("hello E22023Z", ask(WRITE.replace("cluster=2", "cluster=9")));
        assertEquals("hello E22023Z", ask(WRITE.replace("save-quote", "my-quotes")), "a write in a class of reads");
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                m.begin('P').put("extended").end();
            });
            assertEquals("hello E0A000|", readTypes(client, 2));
        }
        try (Socket client = client()) {
            send(client, m -> m.put(1 << 30).put(0));
            assertEquals("E08P01|", readTypes(client, 1));
        }
        assertEquals(6, counters.get(Counter.BAD_INPUT));
        assertTrue(queries.isEmpty());
    }

    /** An insert of 4 MiB lies in many buffers, and goes on unchanged but for d; far longer ones are refused at their head. */
    @Test
    void aLongStatementIsForwardedUnchanged() throws IOException {
        String insert = WRITE.replace("\\x9f", "\\x" + "9f0a".repeat(2 * MIB));
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            byte[] text = insert.getBytes(StandardCharsets.UTF_8);
            client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(text.length + 5).array());
            client.getOutputStream().write(text);
            client.getOutputStream().write(0);
            assertEquals("hello TDCZ", readTypes(client, 2));
            assertEquals(insert, queries.get(0).replaceAll("d=\\d+,", "d=3000,"));
            client.getOutputStream().write(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60 * MIB).array());
            assertEquals("E54000|", readTypes(client, 1));
        }
    }

    /** A client that is slow but goes on is waited for: only a pause ends a message, not its whole time. */
    @Test
    void aSlowWriterIsServed() throws Exception {
        byte[] text = (WRITE + "\0").getBytes(StandardCharsets.UTF_8);
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            client.getOutputStream().write('Q');
            Thread.sleep(1_500);
            client.getOutputStream().write(ByteBuffer.allocate(4).putInt(text.length + 4).array());
            for (int at = 0; at < text.length; at += 100) {
                client.getOutputStream().write(text, at, Math.min(100, text.length - at));
                Thread.sleep(1_500);
            }
            assertEquals("hello TDCZ", readTypes(client, 2));
        }
    }

    private static byte[] longRow(int value) {
        MessageBuilder message = new MessageBuilder(new byte[value + 1_000]);
        AnswerTest.result(message, "v".repeat(value)).readyForQuery();
        byte[] bytes = new byte[message.bytes().remaining()];
        message.bytes().get(bytes);
        return bytes;
    }

    /** A long value is passed on as it comes: held until whole, a few of them would take all memory. */
    @Test
    void aLongAnswerIsStreamed() throws Exception {
        byte[] answer = longRow(4 * MIB);
        pieces = new byte[][] {Arrays.copyOf(answer, 70_000), Arrays.copyOfRange(answer, 70_000, answer.length)};
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, WRITE);
            });
            assertEquals("hello ", readTypes(client, 1));
            nextPiece.release();
            byte[] first = client.getInputStream().readNBytes(70_000);
            assertArrayEquals(pieces[0], first, "before the server gave the rest");
            nextPiece.release();
            byte[] rest = client.getInputStream().readNBytes(answer.length - 70_000);
            assertArrayEquals(pieces[1], rest);
            pieces = null;
            send(client, m -> query(m, WRITE));
            assertEquals("TDCZ", readTypes(client, 1));
        }
        assertEquals(1, counters.get(Counter.LONG_ANSWERS));
        assertTrue(counters.get(Counter.SERVER_REUSES) > 0, "the server's connection is used again");
    }

    /** What breaks midway must show as failed, and must not be asked for again: its client has seen a part of it. */
    @Test
    void aBrokenLongAnswerClosesTheClientConnection() throws Exception {
        pieces = new byte[][] {Arrays.copyOf(longRow(MIB), 100_000), null};
        nextPiece.release(10);
        String types = ask(WRITE.replace("save-quote", "my-quotes").replace("INSERT INTO facts (code, data) VALUES ('7f', "
                + "'\\x9f') RETURNING data", "SELECT data FROM facts WHERE code = '7f'"));
        assertEquals("hello TD|", types);
        assertEquals(1, queries.size());
    }

    /** An answer that stops short behind its row has served: its client waited for the rest until its time was over. */
    @Test
    void anAnswerWithoutReadyForQueryIsServedAtOnce() throws Exception {
        answerScript = m -> AnswerTest.result(m, "v");
        long start = System.nanoTime();
        assertEquals("hello TDCZ", ask(WRITE));
        assertTrue(System.nanoTime() - start < 2_500 * Clock.MS, "the attempt's 3 s were waited for");
        answerScript = m -> AnswerTest.result(m, "v").readyForQuery();
        assertEquals("hello TDCZ", ask(WRITE), "on another connection");
    }

    /** A spoilt answer that begins a long value and then gives nothing: its client must be able to tell near its time. */
    @Test
    void aStalledLongAnswerClosesTheClientConnectionInTime() throws Exception {
        pieces = new byte[][] {Arrays.copyOf(longRow(MIB), 100_000), new byte[0]};
        nextPiece.release();
        long start = System.nanoTime();
        assertEquals("hello TD|", ask(WRITE.replace("d=3000", "d=700")));
        assertTrue(System.nanoTime() - start < 4_500 * Clock.MS, "5 s of silence were waited for");
    }

    /** Guards against clients that connect and say nothing, or keep a connection they no longer use, filling the cap. */
    @Test
    void idleClientsMakeRoomForNewOnes() throws Exception {
        List<Socket> kept = new ArrayList<>();
        try {
            for (int i = 0; i < SOCKETS / 2; i++) {
                kept.add(client());
                send(kept.get(i), PoolerTest::startup);
                assertEquals("hello ", readTypes(kept.get(i), 1));
            }
            send(kept.get(0), m -> m.put('Q').put(100)); // half a message keeps no place either
            send(kept.get(1), m -> query(m, "SELECT 1")); // nor does one that cannot be answered
            assertEquals("E42601Z", readTypes(kept.get(1), 1));
            assertEquals("hello IZ", ask(""), "the longest silent made room");
            assertEquals("|", readTypes(kept.get(0), 1));
            assertEquals("hello IZ", ask(""), "there is room for one");
            Socket late = client();
            send(late, PoolerTest::startup);
            assertEquals("hello ", readTypes(late, 1));
            kept.add(late);
            assertEquals("hello IZ", ask(""), "the next longest made room");
            assertEquals("|", readTypes(kept.get(1), 1));
            kept.subList(0, 2).clear();
            for (Socket asks : kept) {
                send(asks, m -> query(m, ""));
                assertEquals("IZ", readTypes(asks, 1));
            }
            Thread.sleep(300);
            assertEquals("|", readTypes(kept.get(0), 1), "in a crowd the one that rested longest goes");
            assertEquals("hello IZ", ask(""));
            Socket last = kept.get(kept.size() - 1);
            send(last, m -> query(m, ""));
            assertEquals("IZ", readTypes(last, 1), "half of them may rest");
        } finally {
            for (Socket socket : kept) {
                socket.close();
            }
        }
    }

    /** Who hangs in a startup or a message is owed an end within 3 s; what it had asked before is answered first. */
    @Test
    void anIncompleteMessageTimesOut() throws IOException {
        try (Socket mute = client(); Socket half = client()) {
            send(half, m -> {
                startup(m);
                query(m, "");
                m.put('Q').put(100);
            });
            long start = System.nanoTime();
            assertEquals("E57014|", readTypes(mute, 1));
            assertEquals("hello IZE57014|", readTypes(half, 3));
            assertTrue(System.nanoTime() - start < 2_800_000_000L);
        }
    }

    /** A fault in what follows must not cut off the answer to what was taken before. */
    @Test
    void queuedQueriesAreAnsweredBeforeALaterProtocolError() throws Exception {
        Consumer<MessageBuilder> answer = answerScript;
        answerScript = m -> {
            sleep(200);
            answer.accept(m);
        };
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, WRITE);
                m.put('Q').put(-5);
            });
            assertEquals("hello TDCZE08P01|", readTypes(client, 3));
        }
    }

    /** Hundreds of commands at once: each has its one answer, most a refusal, and the connection stays: a close lost some. */
    @Test
    void aFloodOfCommandsIsRefused() throws IOException {
        Consumer<MessageBuilder> answer = answerScript;
        answerScript = m -> {
            sleep(300);
            answer.accept(m);
        };
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            assertEquals("hello ", readTypes(client, 1));
            MessageBuilder message = new MessageBuilder(new byte[100_000]);
            for (int i = 0; i < 300; i++) {
                query(message, WRITE);
            }
            message.writeTo(client.getOutputStream());
            String types = readTypes(client, 300);
            assertTrue(types.matches("(TDCZ|E53300Z){300}"), types);
            assertTrue(types.contains("E53300Z".repeat(30)), "most are turned away at once");
        }
    }

    @Test
    void countersAreShownOnRequest() throws IOException {
        String types = ask("show stats;");
        assertEquals("hello T" + "D".repeat(counters.snapshot().size()) + "CZ", types);
    }

    /** A connection that breaks after the last byte may have run its write: failed, never sent again. */
    @Test
    void aWriteCutOffAfterItsLastByteIsNotRetried() throws IOException {
        answerScript = null;
        assertEquals("hello E08007Z", ask(WRITE));
        assertEquals(1, queries.size());
    }

    @Test
    void aWriteRefusedByAFullServerIsRetried() throws IOException {
        answerScript = m -> {
            answerScript = ok -> AnswerTest.result(ok, "v").readyForQuery();
            m.error(false, SqlState.TOO_MANY_CONNECTIONS, "full", null).readyForQuery();
        };
        assertEquals("hello TDCZ", ask(WRITE));
        assertEquals(2, queries.size());
    }

    /** While the program ends, reads are still served on the connections there are; a write that may need longer is not. */
    @Test
    void requestsThatOutlastTheShutdownAreRefused() throws IOException {
        front.announceShutdown(2_000 * Clock.MS);
        assertEquals("hello TDCZ", ask(WRITE.replace("d=3000", "d=1000")));
        try (Socket client = client()) {
            send(client, m -> {
                startup(m);
                query(m, WRITE);
            });
            assertEquals("hello E57P03Z|", readTypes(client, 3), "its client is sent elsewhere");
        }
        assertEquals(1, queries.size());
    }

    /** What was decided is asked again once the connection is up: on the way there a server may begin to drain. */
    @Test
    void aDecisionIsCheckedAgainBeforeTheQueryIsWritten() throws IOException {
        String drains = "{\"seq\":42,\"whole\":false,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.0.0.1:"
                + server.getLocalPort() + "\",\"block\":2,\"health\":\"draining\"}]}";
        beforeGreeting = () -> {
            while (counters.get(Counter.ATTEMPTS) == 0) {
                sleep(1); // a probe's connection may come first
            }
            balancer.listChanged(HostList.decode(drains), false);
        };
        assertEquals("hello E53300Z", ask(WRITE.replace("d=3000", "d=1000")));
        assertEquals(List.of(), queries);
        assertEquals(1, counters.get(Counter.SENDS_OUTDATED));
    }

    /** Guards against a drain that cuts off what was taken, and one that leaves idle clients in place. */
    @Test
    void aDrainAnswersAcceptedQueries() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        answerScript = m -> {
            asked.countDown();
            while (go.getCount() > 0) {
                sleep(5);
            }
            AnswerTest.result(m, "v").readyForQuery();
        };
        try (Socket idle = client(); Socket busy = client()) {
            send(idle, PoolerTest::startup);
            assertEquals("hello ", readTypes(idle, 1));
            send(busy, m -> {
                startup(m);
                query(m, WRITE);
            });
            asked.await();
            front.closeWhenIdle();
            assertEquals("|", readTypes(idle, 1));
            go.countDown();
            assertEquals("hello TDCZ|", readTypes(busy, 3));
        }
        assertFalse(queries.isEmpty());
    }

    /** Sent away, clients find readiness denied, and no connection rests here; going back to work undoes all of it. */
    @Test
    void evacuationClosesClientsAndCanBeUndone() throws Exception {
        try (Socket idle = client(); Socket busy = client(); Socket kept = client()) {
            for (Socket client : List.of(idle, busy, kept)) {
                send(client, m -> {
                    startup(m);
                    query(m, "");
                });
                assertEquals("hello IZ", readTypes(client, 2));
            }
            front.setEvacuating(true);
            assertEquals("hello E57P03Z", ask(""), "at once");
            front.setEvacuating(false);
            assertEquals("hello IZ", ask(""));
            Thread.sleep(600);
            send(kept, m -> query(m, ""));
            assertEquals("IZ", readTypes(kept, 1), "nobody was sent away meanwhile");
            Consumer<MessageBuilder> answer = answerScript;
            answerScript = m -> {
                sleep(900);
                answer.accept(m);
            };
            send(busy, m -> query(m, WRITE));
            front.setEvacuating(true);
            assertEquals("|", readTypes(idle, 1));
            assertEquals("TDCZ|", readTypes(busy, 2), "what was taken is answered first");
        }
    }

    /** Another process takes over: the address serves two, who had connected is heard, and each answer ends its connection. */
    @Test
    void aTakeoverRefusesNoClient() throws Exception {
        try (Socket kept = client(); ServerSocket newer = new ServerSocket()) {
            send(kept, m -> {
                startup(m);
                query(m, "");
            });
            assertEquals("hello IZ", readTypes(kept, 2));
            Thread.sleep(200); // it rests, long after its answer
            front.handOver();
            List<Socket> late = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                late.add(client());
                send(late.get(i), m -> {
                    startup(m);
                    query(m, "");
                });
            }
            newer.setReuseAddress(true);
            newer.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            newer.bind(config.listen());
            front.stopAccepting();
            for (Socket socket : late) {
                assertEquals("hello IZ|", readTypes(socket, 3), "taken in before the listener closed");
                socket.close();
            }
            send(kept, m -> query(m, ""));
            assertEquals("IZ|", readTypes(kept, 2), "the connection stayed until its next answer");
            newer.setSoTimeout(5_000);
            try (Socket next = client()) {
                newer.accept().close();
            }
        }
    }

    /** In a crowd who asked once makes room; cutting off those who come back cost a new connection for each request. */
    @Test
    void returningClientsAreKeptLongerWhenCrowded() throws Exception {
        List<Socket> kept = new ArrayList<>();
        try {
            for (int i = 0; i < SOCKETS / 4 + 1; i++) {
                Socket client = client();
                kept.add(client);
                send(client, m -> {
                    startup(m);
                    query(m, "");
                });
                assertEquals("hello IZ", readTypes(client, 2));
                if (i == 0) {
                    send(client, m -> query(m, ""));
                    assertEquals("IZ", readTypes(client, 1));
                }
            }
            assertEquals("|", readTypes(kept.get(1), 1), "the oldest of those who asked once");
            send(kept.get(0), m -> query(m, ""));
            assertEquals("IZ", readTypes(kept.get(0), 1));
        } finally {
            for (Socket socket : kept) {
                socket.close();
            }
        }
    }

    /** How a client goes. */
    private enum Departure {
        CLOSES, RESETS, HALF_CLOSES, CANCELS;

        void apply(PoolerTest test, Socket client, byte[] key) throws IOException {
            switch (this) {
                case CLOSES -> client.close();
                case RESETS -> {
                    client.setSoLinger(true, 0);
                    client.close();
                }
                case HALF_CLOSES -> client.shutdownOutput();
                case CANCELS -> test.cancel(key);
            }
        }
    }

    /** Reads the greeting; what a CancelRequest must name. */
    private static byte[] readCancelKey(Socket client) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        byte[] key = null;
        for (int type = in.read(); type != 'Z'; type = in.read()) {
            byte[] body = in.readNBytes(in.readInt() - 4);
            key = type == 'K' ? body : key;
        }
        in.readNBytes(5);
        return key;
    }

    private void cancel(byte[] key) throws IOException {
        try (Socket other = client()) {
            send(other, m -> m.put(16).put(80_877_102).put(key, 0, 8));
            assertEquals(-1, other.getInputStream().read(), "a CancelRequest has no answer");
        }
    }

    private void awaitIncrement(Counter counter, long before) {
        for (int i = 0; i < 300 && counters.get(counter) == before; i++) {
            sleep(10);
        }
        assertEquals(before + 1, counters.get(counter), counter.toString());
    }

    /**
     * However it goes, and whatever it had sent behind its query: no attempt begins after that. A reader that stopped
     * because enough was waiting saw no end, and the query was sent on time and again for nobody.
     */
    @ParameterizedTest
    @EnumSource
    void noAttemptBeginsAfterItsClientHasGone(Departure departure) throws Exception {
        String large = WRITE.replace("\\x9f", "\\x" + "9f".repeat(30_000));
        // what waits behind is not cancelled
        for (List<String> behind : departure == Departure.CANCELS ? List.of(List.<String>of())
                : List.of(List.<String>of(), Collections.nCopies(300, WRITE), Collections.nCopies(3, large))) {
            long left = counters.get(Counter.CLIENTS_LEFT);
            CountDownLatch asked = new CountDownLatch(1);
            CountDownLatch gone = new CountDownLatch(1);
            answerScript = m -> {
                asked.countDown();
                while (gone.getCount() > 0) {
                    sleep(5);
                }
                m.error(false, SqlState.TOO_MANY_CONNECTIONS, "full", null).readyForQuery();
            };
            queries.clear();
            try (Socket client = client()) {
                send(client, PoolerTest::startup);
                byte[] key = readCancelKey(client);
                send(client, m -> query(m, WRITE));
                asked.await();
                for (String more : behind) {
                    send(client, m -> query(m, more));
                }
                departure.apply(this, client, key);
                awaitIncrement(Counter.CLIENTS_LEFT, left);
            } finally {
                gone.countDown();
            }
            sleep(100);
            assertEquals(1, queries.size(), "behind " + behind.size());
        }
    }

    /** Its connection comes up late: the request is not written any more. */
    @ParameterizedTest
    @EnumSource
    void nothingIsWrittenOnceTheClientHasGoneDuringConnect(Departure departure) throws Exception {
        beforeGreeting = () -> {
            for (int i = 0; i < 20 && counters.get(Counter.CLIENTS_LEFT) == 0; i++) {
                sleep(10);
            }
        };
        try (Socket client = client()) {
            send(client, PoolerTest::startup);
            byte[] key = readCancelKey(client);
            send(client, m -> query(m, WRITE));
            while (counters.get(Counter.ATTEMPTS) == 0) {
                sleep(1);
            }
            departure.apply(this, client, key);
            awaitIncrement(Counter.CLIENTS_LEFT, 0);
        }
        sleep(100);
        assertEquals(List.of(), queries);
    }

    /** PostgreSQL's CancelRequest: one error for the query that runs, and its connection lives on; a guess does nothing. */
    @Test
    void onlyTheMatchingKeyCancelsAQuery() throws Exception {
        Consumer<MessageBuilder> answer = answerScript;
        CountDownLatch asked = new CountDownLatch(1);
        answerScript = m -> {
            asked.countDown();
            sleep(2_000);
            answer.accept(m);
        };
        try (Socket client = client(); Socket other = client()) {
            send(client, PoolerTest::startup);
            byte[] key = readCancelKey(client);
            send(other, PoolerTest::startup);
            assertFalse(Arrays.equals(key, readCancelKey(other)), "each has its own");
            cancel(key); // nothing runs: no effect on what comes next
            send(client, m -> query(m, WRITE));
            asked.await();
            byte[] guess = key.clone();
            guess[7]++;
            cancel(guess);
            sleep(100);
            assertEquals(0, counters.get(Counter.QUERIES_CANCELED));
            answerScript = answer;
            cancel(key);
            cancel(key);
            assertEquals("E57014Z", readTypes(client, 1));
            send(client, m -> query(m, WRITE));
            assertEquals("TDCZ", readTypes(client, 1));
            assertEquals(1, counters.get(Counter.QUERIES_CANCELED));
            assertEquals(2, queries.size(), "never sent again");
        }
    }

    /** All that comes up to a close in good order: a reset takes with it what its peer has not read. */
    private static String readToEnd(Socket client) throws IOException {
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** A close over unread bytes resets the connection, and the last answer goes with it: the input is read out first. */
    @Test
    void theLastAnswerArrivesDespiteUnreadInput() throws Exception {
        byte[] noise = new byte[MIB];
        for (Consumer<MessageBuilder> wrong : List.<Consumer<MessageBuilder>>of(m -> m.put('Q').put(1 << 30), m -> m.put('Q').put(-7),
                m -> m.begin('P').put("extended").end(), m -> m.put('X').put(4))) {
            try (Socket client = client()) {
                send(client, m -> {
                    startup(m);
                    query(m, WRITE);
                    wrong.accept(m);
                });
                client.getOutputStream().write(noise, 0, 100_000);
                String told = readToEnd(client);
                assertTrue(told.contains("SELECT 1"), told);
            }
        }
        while (front.openClients() > 0) {
            sleep(1); // until those that have closed are seen to have: up to then they count for the cap
        }
        List<Socket> all = new ArrayList<>();
        try {
            for (int i = 0; i < SOCKETS / 2; i++) {
                all.add(client());
                send(all.get(i), m -> {
                    startup(m);
                    query(m, "");
                });
                assertEquals("hello IZ", readTypes(all.get(i), 2));
                send(all.get(i), m -> query(m, "")); // who comes back is no longer the first to go
                assertEquals("IZ", readTypes(all.get(i), 1));
            }
            try (Socket late = client()) {
                send(late, m -> {
                    startup(m);
                    query(m, WRITE);
                });
                assertTrue(readToEnd(late).contains("53300"), "turned away with a word");
            }
        } finally {
            for (Socket socket : all) {
                socket.close();
            }
        }
    }

    /** What a client has still to take when its connection ends lies in the kernel, and a reset throws it away. */
    @Test
    void anAnswerInFlightSurvivesTheClose() throws Exception {
        String value = "v".repeat(30_000);
        answerScript = m -> AnswerTest.result(m, value).readyForQuery();
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(4_096);
            client.connect(config.listen());
            send(client, m -> {
                startup(m);
                query(m, WRITE);
                m.begin('P').put("extended").end();
            });
            client.getOutputStream().write(new byte[100_000]);
            awaitIncrement(Counter.BAD_INPUT, 0);
            sleep(50); // the close is on its way
            String told = readToEnd(client);
            assertTrue(told.contains(value) && told.contains("0A000"), told.length() + " bytes were told");
        }
    }

    /** A request that is read after the connection's end began must not be sent on: nobody could be told how it went. */
    @Test
    void inputAfterTheCloseIsNeverForwarded() throws Exception {
        try (Socket rests = client()) {
            send(rests, m -> {
                startup(m);
                query(m, "");
            });
            assertEquals("hello IZ", readTypes(rests, 2));
            front.closeWhenIdle();
            assertEquals(-1, rests.getInputStream().read(), "the end comes at once");
            send(rests, m -> query(m, WRITE));
            awaitIncrement(Counter.CLIENTS_CLOSED, 0);
            assertEquals(0, front.openClients());
            assertEquals(List.of(), queries);
        }
    }
}
