package holdmux.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import holdmux.core.Counters.Counter;
import holdmux.standins.StandIns;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.MetadataUtils;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Iterator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.apache.arrow.flight.impl.Flight.Action;
import org.apache.arrow.flight.impl.Flight.FlightData;
import org.apache.arrow.flight.impl.Flight.FlightDescriptor;
import org.apache.arrow.flight.impl.Flight.Ticket;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandStatementQuery;
import org.apache.arrow.flight.sql.impl.FlightSql.TicketStatementQuery;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Sends random bytes as tickets, commands, actions, headers and streams. Each call must end with a status for invalid
 * input, no server may be contacted, and all Arrow memory must be released ({@link FlightFixture#close} checks this).
 */
class HostileInputTest {
    private static FlightFixture fixture;
    private static ManagedChannel channel;

    @BeforeContainer
    static void start() throws Exception {
        fixture = new FlightFixture(StandIns.FLIGHT_KIND);
        channel = NettyChannelBuilder.forAddress("127.0.0.1", fixture.location().getUri().getPort()).usePlaintext().build();
    }

    @AfterContainer
    static void end() throws Exception {
        assertEquals(0, fixture.counter(Counter.ATTEMPTS));
        assertEquals(0, fixture.counter(Counter.INTERNAL_ERRORS));
        channel.shutdownNow();
        fixture.close();
    }

    private static FlightServiceGrpc.FlightServiceBlockingStub stub() {
        return FlightServiceGrpc.newBlockingStub(channel).withDeadlineAfter(5, java.util.concurrent.TimeUnit.SECONDS);
    }

    private static void assertRejected(Runnable call) {
        StatusRuntimeException e = assertThrows(StatusRuntimeException.class, call::run);
        switch (e.getStatus().getCode()) {
            case INVALID_ARGUMENT, NOT_FOUND, UNIMPLEMENTED -> { }
            default -> throw new AssertionError(e);
        }
    }

    private static void consume(Iterator<?> answers) {
        while (answers.hasNext()) {
            answers.next();
        }
    }

    @Property(tries = 100, seed = "21")
    void randomTickets(@ForAll @Size(max = 60) byte[] bytes) {
        ByteString handle = ByteString.copyFrom(bytes);
        assertRejected(() -> consume(stub().doGet(Ticket.newBuilder().setTicket(handle).build())));
        assertRejected(() -> consume(stub().doGet(Ticket.newBuilder().setTicket(Any.pack(TicketStatementQuery.newBuilder()
                .setStatementHandle(handle).build()).toByteString()).build())));
    }

    @Property(tries = 100, seed = "22")
    void randomCommandsAndActions(@ForAll @Size(max = 60) byte[] bytes, @ForAll String text) {
        ByteString body = ByteString.copyFrom(bytes);
        assertRejected(() -> stub().getFlightInfo(FlightDescriptor.newBuilder().setCmd(body).build()));
        assertRejected(() -> stub().getSchema(FlightDescriptor.newBuilder().setCmd(body).build()));
        assertRejected(() -> stub().getFlightInfo(FlightDescriptor.newBuilder().setCmd(Any.pack(
                CommandStatementQuery.newBuilder().setQuery(text).build()).toByteString()).build()));
        assertRejected(() -> consume(stub().doAction(Action.newBuilder().setType(text).setBody(body).build())));
    }

    @Property(tries = 100, seed = "23")
    void randomHeaders(@ForAll @Size(max = 20) byte[] bytes) {
        String value = new String(bytes, StandardCharsets.ISO_8859_1).replaceAll("[^ -~]", "*");
        Metadata headers = new Metadata();
        headers.put(Metadata.Key.of("c", Metadata.ASCII_STRING_MARSHALLER), value);
        headers.put(Metadata.Key.of("cluster", Metadata.ASCII_STRING_MARSHALLER), value);
        assertRejected(() -> stub().withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers))
                .getFlightInfo(FlightDescriptor.newBuilder().setCmd(Any.pack(CommandStatementQuery.newBuilder()
                        .setQuery("SELECT data FROM facts WHERE code = 'k'").build()).toByteString()).build()));
    }

    @Property(tries = 100, seed = "24")
    void randomStreams(@ForAll @Size(max = 60) byte[] bytes) {
        assertRejected(() -> ClientCalls.blockingUnaryCall(channel, RawMethods.DO_PUT, CallOptions.DEFAULT, bytes));
        byte[] command = FlightData.newBuilder().setFlightDescriptor(FlightDescriptor.newBuilder()
                .setCmd(ByteString.copyFrom(bytes))).build().toByteArray();
        assertRejected(() -> ClientCalls.blockingUnaryCall(channel, RawMethods.DO_PUT, CallOptions.DEFAULT, command));
    }

    /** A batch that is truncated or has one byte changed is rejected or still a valid message; it never causes a crash. */
    @Property(tries = 300, seed = "25")
    void corruptedBatches(@ForAll @IntRange(max = 5_000) int position, @ForAll byte replacement, @ForAll boolean truncate) {
        try (RootAllocator allocator = new RootAllocator();
                VectorSchemaRoot root = VectorSchemaRoot.create(
                        new Schema(java.util.List.of(Field.nullable("n", new ArrowType.Int(32, true)))), allocator)) {
            for (int i = 0; i < 50; i++) {
                ((IntVector) root.getVector(0)).setSafe(i, i);
            }
            root.setRowCount(50);
            byte[] message = ArrowIpc.toMessage(root);
            int index = position % message.length;
            byte[] corrupted = truncate ? Arrays.copyOf(message, index) : message.clone();
            if (!truncate) {
                corrupted[index] = replacement;
            }
            try {
                byte kind = ArrowIpc.validate(corrupted);
                assertEquals(true, !truncate || index == 0 || kind == 0,
                        "accepted a batch truncated at " + index + " of " + message.length);
                new ArrowIpc(allocator).readBatches(java.util.List.of(ArrowIpc.toMessage(root.getSchema()), corrupted), r -> { });
            } catch (IOException e) {
                // rejected
            }
        }
    }
}
