package holdmux.flight;

import holdmux.Pooler;
import holdmux.config.Config;
import holdmux.core.Clock;
import holdmux.core.Counters.Counter;
import holdmux.core.Workers;
import holdmux.standins.StandIns;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.arrow.flight.FlightClient;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightRuntimeException;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.sql.FlightSqlClient;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;

/** Test fixture: a pooler with both fronts, a group of three stand-in servers and a client of each protocol. */
final class FlightFixture implements AutoCloseable {
    static final String SERVED = "served", REFUSED = "refused", FAILED = "failed", BAD = "bad input", LEFT = "left";

    final StandIns standIns = new StandIns();
    final Pooler pooler;
    final FlightExtension extension;
    final BufferAllocator allocator = new RootAllocator();
    private final int pgPort = StandIns.freePort();
    private final int flightPort = StandIns.freePort();
    private FlightSqlClient client;

    /** Starts servers of this kind: the primary s-1 and the replicas s-2 and s-3. */
    FlightFixture(String kind) throws IOException {
        this(kind, 256);
    }

    FlightFixture(String kind, int memoryMb) throws IOException {
        for (String name : List.of("s-1", "s-2", "s-3")) {
            standIns.start(name, kind);
        }
        Path file = Files.createTempFile("holdmux", ".json");
        Files.writeString(file, standIns.config(pgPort, memoryMb, 4_096));
        Clock clock = new Clock();
        Config config = Config.load(Map.of("BALANCER_CONFIG", file.toString()), clock.now());
        Files.delete(file);
        extension = new FlightExtension(new InetSocketAddress("127.0.0.1", flightPort), Set.of(StandIns.FLIGHT_KIND));
        pooler = new Pooler(config, List.of(extension), clock);
        pooler.start();
        pooler.fronts().listen();
        Workers.newThread("front", () -> {
            try {
                pooler.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).start();
        standIns.setHealth("s-1", "up"); // a change of the list, so that the first watch call returns immediately
        await(pooler::isReady);
    }

    long counter(Counter counter) {
        return pooler.services().counters().get(counter);
    }

    /** Waits until a condition holds; fails after 15 s. */
    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + 15_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met within 15 s");
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    Location location() {
        return Location.forGrpcInsecure("127.0.0.1", flightPort);
    }

    int pgPort() {
        return pgPort;
    }

    /** Opens a new connection with Arrow's client. */
    FlightSqlClient connect() {
        return new FlightSqlClient(FlightClient.builder(allocator, location()).build());
    }

    synchronized FlightSqlClient client() {
        if (client == null) {
            client = connect();
        }
        return client;
    }

    /** Runs a query over Flight SQL and returns how it ended. */
    String queryFlight(String sql) {
        try {
            FlightInfo info = client().execute(sql);
            try (FlightStream stream = client().getStream(info.getEndpoints().get(0).getTicket())) {
                while (stream.next()) {
                    stream.getRoot();
                }
            }
            return SERVED;
        } catch (FlightRuntimeException e) {
            return resultOf(e);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    static String resultOf(FlightRuntimeException e) {
        return switch (e.status().code()) {
            case RESOURCE_EXHAUSTED -> REFUSED;
            case UNKNOWN -> FAILED;
            case INVALID_ARGUMENT -> BAD;
            case CANCELLED -> LEFT;
            default -> e.status().toString();
        };
    }

    /** Runs a query over Flight SQL and cancels it once {@code awaitReceived} returns. */
    String queryFlightAndCancel(String sql, Runnable awaitReceived) throws Exception {
        FlightInfo info = client().execute(sql);
        FlightStream stream = client().getStream(info.getEndpoints().get(0).getTicket());
        Thread reader = new Thread(() -> {
            try {
                stream.next();
            } catch (FlightRuntimeException e) {
                // expected: the call is cancelled below
            }
        });
        reader.start();
        awaitReceived.run();
        stream.cancel("leaving", null);
        reader.join();
        stream.close();
        return LEFT;
    }

    private Socket connectPg() throws IOException {
        Socket socket = new Socket("127.0.0.1", pgPort);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        byte[] startupParameters = "user\0portal\0database\0crm\0\0".getBytes(StandardCharsets.US_ASCII);
        out.writeInt(8 + startupParameters.length);
        out.writeInt(196_608);
        out.write(startupParameters);
        readUntilReady(new DataInputStream(socket.getInputStream()));
        return socket;
    }

    private static void sendQuery(Socket socket, String sql) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        byte[] text = sql.getBytes(StandardCharsets.UTF_8);
        out.writeByte('Q');
        out.writeInt(5 + text.length);
        out.write(text);
        out.writeByte(0);
        out.flush();
    }

    /** Reads up to ReadyForQuery; returns the SQLSTATE of an error, or null. */
    private static String readUntilReady(DataInputStream in) throws IOException {
        String sqlState = null;
        while (true) {
            char type = (char) in.readByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'E') {
                String text = new String(body, StandardCharsets.UTF_8);
                sqlState = text.substring(text.indexOf("\0C") + 2, text.indexOf('\0', text.indexOf("\0C") + 2));
            } else if (type == 'Z') {
                return sqlState;
            }
        }
    }

    /** Runs a query over PostgreSQL and returns how it ended. */
    String queryPg(String sql) throws IOException {
        try (Socket socket = connectPg()) {
            sendQuery(socket, sql);
            String sqlState = readUntilReady(new DataInputStream(socket.getInputStream()));
            return sqlState == null ? SERVED : switch (sqlState) {
                case "53300" -> REFUSED;
                case "08007" -> FAILED;
                case "42601", "22023", "22021", "54000" -> BAD;
                default -> sqlState;
            };
        }
    }

    String queryPgAndDisconnect(String sql, Runnable awaitReceived) throws IOException {
        try (Socket socket = connectPg()) {
            sendQuery(socket, sql);
            awaitReceived.run();
        }
        return LEFT;
    }

    /** Waits until all requests have ended. */
    void awaitIdle() {
        await(() -> counter(Counter.SERVED) + counter(Counter.REFUSED) + counter(Counter.FAILED) + counter(Counter.CLIENTS_LEFT)
                >= counter(Counter.REQUESTS_TAKEN));
    }

    @Override
    public void close() throws Exception {
        if (client != null) {
            client.close();
        }
        pooler.fronts().stopAccepting();
        standIns.close();
        await(() -> extension.streamBytes() == 0);
        extension.close(); // throws if any of Arrow's memory was not released
        allocator.close();
    }
}
