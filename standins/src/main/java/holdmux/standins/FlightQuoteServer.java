package holdmux.standins;

import com.google.protobuf.Any;
import holdmux.standins.QuoteGroup.Member;
import holdmux.standins.QuoteGroup.Statement;
import io.grpc.ForwardingServerCall.SimpleForwardingServerCall;
import io.grpc.ForwardingServerCallListener.SimpleForwardingServerCallListener;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.arrow.flight.CallStatus;
import org.apache.arrow.flight.FlightDescriptor;
import org.apache.arrow.flight.FlightEndpoint;
import org.apache.arrow.flight.FlightInfo;
import org.apache.arrow.flight.FlightProducer.ServerStreamListener;
import org.apache.arrow.flight.FlightProducer.StreamListener;
import org.apache.arrow.flight.FlightServer;
import org.apache.arrow.flight.FlightStream;
import org.apache.arrow.flight.Location;
import org.apache.arrow.flight.PutResult;
import org.apache.arrow.flight.Ticket;
import org.apache.arrow.flight.sql.NoOpFlightSqlProducer;
import org.apache.arrow.flight.sql.impl.FlightSql;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandStatementQuery;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandStatementUpdate;
import org.apache.arrow.flight.sql.impl.FlightSql.TicketStatementQuery;
import org.apache.arrow.memory.ArrowBuf;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BigIntVector;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VarBinaryVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.dictionary.Dictionary;
import org.apache.arrow.vector.dictionary.DictionaryProvider;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.DictionaryEncoding;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * A group member that speaks Arrow Flight SQL, built on Arrow's Flight server. A query of the table {@code rates}, or
 * with the key {@code BxR}, returns B batches of R rows; any other query returns one value.
 */
final class FlightQuoteServer implements AutoCloseable {
    private static final Pattern SIZE_PATTERN = Pattern.compile("(\\d+)x(\\d+).*");
    private static final long DICTIONARY_ID = 1;
    /** From this size on all batches repeat the rows of the first, so that a benchmark measures transport, not row generation. */
    private static final int LARGE_BATCH_ROWS = 10_000;
    /** SQLSTATE of a write that reached a replica (read_only_sql_transaction). */
    private static final String READ_ONLY_SQLSTATE = "25006";

    private final QuoteGroup group;
    private final Member member;
    private final BufferAllocator allocator;
    private final FlightServer server;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(2, new DefaultThreadFactory("standin", true));
    private final Map<Object, Channel> channels = new ConcurrentHashMap<>();
    /** Client address by request id: a fault resets only the connection of its request, a silent one lasts until that connection ends. */
    private final Map<String, Object> callerAddresses = new ConcurrentHashMap<>();

    FlightQuoteServer(QuoteGroup group, Member member) throws IOException {
        this.group = group;
        this.member = member;
        allocator = new RootAllocator();
        Consumer<NettyServerBuilder> customizer = builder -> builder.bossEventLoopGroup(eventLoops).workerEventLoopGroup(eventLoops)
                .channelFactory(() -> new TrackingServerChannel(channels)).flowControlWindow(1 << 20)
                .intercept(new StatusTrailerInterceptor());
        server = FlightServer.builder(allocator, Location.forGrpcInsecure("127.0.0.1", 0), new Producer())
                .transportHint("grpc.builderConsumer", customizer).build().start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", server.getPort());
    }

    /** Keeps track of accepted connections, so that a fault can reset one. */
    private static final class TrackingServerChannel extends NioServerSocketChannel {
        private final Map<Object, Channel> channels;

        TrackingServerChannel(Map<Object, Channel> channels) {
            this.channels = channels;
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            int sizeBefore = accepted.size();
            int count = super.doReadMessages(accepted);
            if (count > 0) {
                Channel channel = (Channel) accepted.get(sizeBefore);
                channels.put(channel.remoteAddress(), channel);
                channel.closeFuture().addListener(closed -> channels.remove(channel.remoteAddress(), channel));
            }
            return count;
        }
    }

    /** Adds role, log position and load to the trailers of every call, and records the client address before the producer runs. */
    private final class StatusTrailerInterceptor implements ServerInterceptor {
        @Override
        public <Q, A> ServerCall.Listener<Q> interceptCall(ServerCall<Q, A> call, Metadata headers,
                ServerCallHandler<Q, A> next) {
            Object callerAddress = call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
            ServerCall<Q, A> callWithTrailers = new SimpleForwardingServerCall<>(call) {
                @Override
                public void close(Status status, Metadata trailers) {
                    putTrailer(trailers, "replication_role", group.role(member));
                    putTrailer(trailers, "log_position", Long.toString(group.positionMs(member)));
                    putTrailer(trailers, "pressure", group.loadReport(member));
                    // Arrow's CallStatus has no FAILED_PRECONDITION, the status that reports a read-only server
                    boolean readOnly = READ_ONLY_SQLSTATE.equals(status.getDescription());
                    super.close(readOnly ? Status.FAILED_PRECONDITION.withDescription(READ_ONLY_SQLSTATE) : status, trailers);
                }
            };
            return new SimpleForwardingServerCallListener<>(
                    next.startCall(callWithTrailers, headers)) {
                @Override
                public void onMessage(Q message) {
                    // the message is raw bytes here, but its string form contains the id attribute literally
                    Matcher id = Pattern.compile("\\bid=([^,*\\s]+)").matcher(message.toString());
                    if (id.find()) {
                        callerAddresses.put(id.group(1), callerAddress);
                    }
                    super.onMessage(message);
                }
            };
        }
    }

    private static void putTrailer(Metadata trailers, String name, String value) {
        trailers.put(Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER), value);
    }

    /** Runs queries and updates against the group. */
    private final class Producer extends NoOpFlightSqlProducer {
        @Override
        public FlightInfo getFlightInfoStatement(CommandStatementQuery command, CallContext context,
                FlightDescriptor descriptor) {
            Ticket ticket = new Ticket(Any.pack(TicketStatementQuery.newBuilder()
                    .setStatementHandle(command.getQueryBytes()).build()).toByteArray());
            return new FlightInfo(new Schema(List.of()), descriptor, List.of(new FlightEndpoint(ticket)), -1, -1);
        }

        @Override
        public void getStreamStatement(TicketStatementQuery ticket, CallContext context, ServerStreamListener listener) {
            String sql = ticket.getStatementHandle().toStringUtf8();
            Statement statement = Statement.parse(sql);
            Fault fault = group.nextFault(statement.id());
            group.requestStarted(member);
            try {
                if (fault != null && !fault.requestRuns()) {
                    failQuery(fault, statement, listener);
                    return;
                }
                byte[] value = group.run(member, statement);
                if (fault != null && fault.phase() == Fault.Phase.AFTER_RUN) {
                    failQuery(fault, statement, listener);
                } else if (sql.contains(" rates ") || SIZE_PATTERN.matcher(statement.key()).matches()) {
                    sendRates(statement, fault, listener);
                } else {
                    sendValue(value, statement, fault, listener);
                }
            } catch (QuoteGroup.ReadOnlyServerException e) {
                listener.error(CallStatus.INVALID_ARGUMENT.withDescription(READ_ONLY_SQLSTATE).toRuntimeException());
            } finally {
                group.requestEnded(member);
            }
        }

        @Override
        public Runnable acceptPutStatement(CommandStatementUpdate command, CallContext context, FlightStream stream,
                StreamListener<PutResult> ack) {
            return () -> {
                Statement statement = Statement.parse(command.getQuery());
                Fault fault = group.nextFault(statement.id());
                try {
                    if (fault != null && !fault.requestRuns()) {
                        failUpdate(fault, statement, ack);
                        return;
                    }
                    group.run(member, statement);
                    if (fault != null) {
                        failUpdate(fault, statement, ack);
                        return;
                    }
                    byte[] result = FlightSql.DoPutUpdateResult.newBuilder().setRecordCount(1).build().toByteArray();
                    try (ArrowBuf buffer = allocator.buffer(result.length)) {
                        buffer.writeBytes(result);
                        ack.onNext(PutResult.metadata(buffer));
                    }
                    ack.onCompleted();
                } catch (QuoteGroup.ReadOnlyServerException e) {
                    ack.onError(CallStatus.INVALID_ARGUMENT.withDescription(READ_ONLY_SQLSTATE).toRuntimeException());
                }
            };
        }
    }

    private void sendValue(byte[] value, Statement statement, Fault fault, ServerStreamListener listener) {
        Schema schema = new Schema(List.of(Field.nullable("data", ArrowType.Binary.INSTANCE)));
        try (VectorSchemaRoot root = VectorSchemaRoot.create(schema, allocator)) {
            ((VarBinaryVector) root.getVector(0)).setSafe(0, value);
            root.setRowCount(1);
            listener.start(root);
            if (fault != null) {
                failQuery(fault, statement, listener); // the schema has been sent, the row has not
                return;
            }
            listener.putNext();
            listener.completed();
        }
    }

    /** Sends batches of a number and a dictionary-encoded lender, waiting while the client is not ready for more. */
    private void sendRates(Statement statement, Fault fault, ServerStreamListener listener) {
        Matcher size = SIZE_PATTERN.matcher(statement.key());
        int batches = size.matches() ? Integer.parseInt(size.group(1)) : 1;
        int rows = size.matches() ? Integer.parseInt(size.group(2)) : 1;
        DictionaryEncoding encoding = new DictionaryEncoding(DICTIONARY_ID, false, new ArrowType.Int(32, true));
        try (VarCharVector lenders = new VarCharVector("lenders", allocator);
                DictionaryProvider.MapDictionaryProvider dictionaries = new DictionaryProvider.MapDictionaryProvider();
                BigIntVector number = new BigIntVector("number", allocator);
                IntVector lender = new IntVector("lender", new FieldType(true, new ArrowType.Int(32, true), encoding), allocator)) {
            for (int i = 0; i < 3; i++) {
                lenders.setSafe(i, ("lender " + i).getBytes(StandardCharsets.UTF_8));
            }
            lenders.setValueCount(3);
            dictionaries.put(new Dictionary(lenders, encoding));
            VectorSchemaRoot root = new VectorSchemaRoot(List.of(number, lender));
            CountDownLatch cancelled = new CountDownLatch(1);
            Object readyLock = new Object();
            listener.setOnReadyHandler(() -> wake(readyLock));
            listener.setOnCancelHandler(() -> {
                cancelled.countDown();
                wake(readyLock);
            });
            listener.start(root, dictionaries);
            for (int batch = 0; batch < batches && cancelled.getCount() > 0; batch++) {
                if (fault != null && batch == fault.progress()) {
                    failQuery(fault, statement, listener);
                    return;
                }
                for (int row = 0; row < rows && (batch == 0 || rows < LARGE_BATCH_ROWS); row++) {
                    number.setSafe(row, (long) batch * rows + row);
                    lender.setSafe(row, row % 3);
                }
                number.setValueCount(rows);
                lender.setValueCount(rows);
                root.setRowCount(rows);
                synchronized (readyLock) {
                    while (!listener.isReady() && cancelled.getCount() > 0) {
                        readyLock.wait(100);
                    }
                }
                listener.putNext();
            }
            listener.completed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void wake(Object lock) {
        synchronized (lock) {
            lock.notifyAll();
        }
    }

    /** Returns the connection that a request came on, or all connections if that is not known. */
    private List<Channel> callerChannels(Statement statement) {
        Object callerAddress = callerAddresses.get(statement.id());
        Channel channel = callerAddress == null ? null : channels.get(callerAddress);
        return channel == null ? List.copyOf(channels.values()) : List.of(channel);
    }

    private void reset(Statement statement) {
        for (Channel channel : callerChannels(statement)) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            close(channel);
            channel.closeFuture().awaitUninterruptibly(1, TimeUnit.SECONDS);
        }
    }

    /** Closes a channel without its pipeline: the HTTP/2 handler would wait for open streams to end. */
    private static void close(Channel channel) {
        if (!channel.isRegistered()) {
            channel.unsafe().closeForcibly(); // just accepted: not registered with an event loop yet, no stream is open
            return;
        }
        channel.eventLoop().execute(() -> channel.unsafe().close(channel.voidPromise()));
    }

    /** Sends invalid bytes where the client expects the next HTTP/2 frame. */
    private void sendGarbage(Statement statement) {
        byte[] garbage = new byte[64];
        Arrays.fill(garbage, (byte) 0xff);
        for (Channel channel : callerChannels(statement)) {
            channel.pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(garbage)).awaitUninterruptibly(1, TimeUnit.SECONDS);
        }
    }

    /** Sends nothing until the client has closed its connection. */
    private void awaitDisconnect(Statement statement) {
        callerChannels(statement).forEach(channel -> channel.closeFuture().awaitUninterruptibly(30, TimeUnit.SECONDS));
    }

    private void failQuery(Fault fault, Statement statement, ServerStreamListener listener) {
        switch (fault.kind()) {
            case SILENT -> awaitDisconnect(statement);
            case RESET -> reset(statement);
            case SPOILT -> sendGarbage(statement);
            default -> listener.error(status(fault).toRuntimeException());
        }
    }

    private void failUpdate(Fault fault, Statement statement, StreamListener<PutResult> ack) {
        switch (fault.kind()) {
            case SILENT -> awaitDisconnect(statement);
            case RESET -> reset(statement);
            case SPOILT -> sendGarbage(statement);
            default -> ack.onError(status(fault).toRuntimeException());
        }
    }

    private static CallStatus status(Fault fault) {
        return switch (fault.kind()) {
            case FULL -> CallStatus.RESOURCE_EXHAUSTED;
            case MISS -> CallStatus.INVALID_ARGUMENT.withDescription(READ_ONLY_SQLSTATE);
            default -> CallStatus.INTERNAL;
        };
    }

    @Override
    public void close() throws InterruptedException {
        channels.values().forEach(FlightQuoteServer::close);
        server.shutdown();
        server.awaitTermination(2, TimeUnit.SECONDS);
        server.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        // the allocator is not closed, which would report leaks: Arrow's server loses buffers queued on a stream that is reset
    }
}
