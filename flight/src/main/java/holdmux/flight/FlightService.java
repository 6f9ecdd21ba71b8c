package holdmux.flight;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Timestamp;
import holdmux.core.Admission;
import holdmux.core.Client;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.core.Request;
import holdmux.core.Services;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
import holdmux.statement.Text;
import io.grpc.ServerServiceDefinition;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongSupplier;
import org.apache.arrow.flight.impl.Flight;
import org.apache.arrow.flight.impl.Flight.Action;
import org.apache.arrow.flight.impl.Flight.ActionType;
import org.apache.arrow.flight.impl.Flight.FlightData;
import org.apache.arrow.flight.impl.Flight.FlightDescriptor;
import org.apache.arrow.flight.impl.Flight.FlightEndpoint;
import org.apache.arrow.flight.impl.Flight.FlightInfo;
import org.apache.arrow.flight.impl.Flight.PutResult;
import org.apache.arrow.flight.impl.Flight.SchemaResult;
import org.apache.arrow.flight.impl.Flight.Ticket;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.FlightSqlProducer;
import org.apache.arrow.flight.sql.impl.FlightSql.*;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * Flight SQL's calls. Planning (GetFlightInfo) checks a statement and seals it in a ticket; it reaches no server. A
 * ticket that is redeemed (DoGet), and a statement that is put (DoPut), is one request and goes through the balancer
 * like those of any front. Calls come in on the event loops, which must not wait; a request's life has a worker.
 */
final class FlightService {
    private static final String CREATE = "CreatePreparedStatement", CLOSE = "ClosePreparedStatement";
    /** The handle of the ticket for the counters, which no sealed one can equal: those begin with a version. */
    private static final ByteString STATS = ByteString.copyFromUtf8("SHOW STATS");
    /** Bound values are short, as the literals that they become. */
    private static final int PARAMETER_BYTES = FlightLimits.STATEMENT_BYTES;

    private final Services services;
    private final Tickets tickets;
    private final Prepared prepared;
    private final Schemas schemas = new Schemas();
    private final Catalog catalog;
    private final Ipc ipc;
    private final Executor workers;
    private final LongSupplier timeLeftNs;

    /** {@code timeLeftNs}: how long this process still serves. */
    FlightService(Services services, Tickets tickets, Prepared prepared, Catalog catalog, Ipc ipc, Executor workers,
            LongSupplier timeLeftNs) {
        this.services = services;
        this.tickets = tickets;
        this.prepared = prepared;
        this.catalog = catalog;
        this.ipc = ipc;
        this.workers = workers;
        this.timeLeftNs = timeLeftNs;
    }

    /** What is not bound here gRPC answers as UNIMPLEMENTED: ListFlights, PollFlightInfo, DoExchange. */
    ServerServiceDefinition bind() {
        return ServerServiceDefinition.builder(FlightServiceGrpc.SERVICE_NAME)
                .addMethod(FlightServiceGrpc.getHandshakeMethod(), ServerCalls.asyncBidiStreamingCall(this::handshake))
                .addMethod(FlightServiceGrpc.getGetFlightInfoMethod(),
                        ServerCalls.asyncUnaryCall((asked, out) -> one(asked, out, this::plan)))
                .addMethod(FlightServiceGrpc.getGetSchemaMethod(),
                        ServerCalls.asyncUnaryCall((asked, out) -> one(asked, out, this::schema)))
                .addMethod(Raw.DO_GET, ServerCalls.asyncServerStreamingCall((asked, out) ->
                        guarded(out, () -> fetch(asked, (ServerCallStreamObserver<byte[]>) out))))
                .addMethod(Raw.DO_PUT, ServerCalls.asyncBidiStreamingCall(this::put))
                .addMethod(FlightServiceGrpc.getDoActionMethod(),
                        ServerCalls.asyncServerStreamingCall((asked, out) -> one(asked, out, this::act)))
                .addMethod(FlightServiceGrpc.getListActionsMethod(), ServerCalls.asyncServerStreamingCall((e, out) -> {
                    out.onNext(ActionType.newBuilder().setType(CREATE).build());
                    out.onNext(ActionType.newBuilder().setType(CLOSE).build());
                    out.onCompleted();
                }))
                .build();
    }

    /** What a call does; throws what its client is told. */
    private interface Work {
        void run() throws StatementException, IOException;
    }

    /** Answers a call that was not well-formed, or failed here, with the fitting status. */
    private void guarded(StreamObserver<?> out, Work work) {
        try {
            work.run();
        } catch (StatementException e) {
            services.counters().count(Counter.BAD_INPUT);
            out.onError(Statuses.badInput(e));
        } catch (IOException e) {
            services.counters().count(Counter.BAD_INPUT);
            out.onError(Statuses.badInput(e.getMessage()));
        } catch (StatusRuntimeException e) {
            out.onError(e);
        } catch (RuntimeException e) {
            services.counters().count(Counter.INTERNAL_ERRORS);
            Log.error("a Flight call failed here", e);
            out.onError(Statuses.failed("a fault of this pooler"));
        }
    }

    private interface Answer<Q, A> {
        A to(Q asked) throws StatementException, IOException;
    }

    private <Q, A> void one(Q asked, StreamObserver<A> out, Answer<Q, A> answer) {
        guarded(out, () -> {
            A made = answer.to(asked);
            if (made != null) {
                out.onNext(made);
            }
            out.onCompleted();
        });
    }

    /** Any user is admitted, as on the other front. */
    private StreamObserver<Flight.HandshakeRequest> handshake(StreamObserver<Flight.HandshakeResponse> out) {
        return new StreamObserver<>() {
            @Override
            public void onNext(Flight.HandshakeRequest request) {
                // names are not checked
            }

            @Override
            public void onError(Throwable gone) {
                // it left
            }

            @Override
            public void onCompleted() {
                out.onCompleted();
            }
        };
    }

    private static Any any(ByteString bytes) throws StatementException {
        try {
            return Any.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new StatementException(SqlState.PROTOCOL_VIOLATION, "a command that cannot be read");
        }
    }

    private static <M extends Message> M unpack(Any any, Class<M> type) throws StatementException {
        try {
            return any.unpack(type);
        } catch (InvalidProtocolBufferException e) {
            throw new StatementException(SqlState.PROTOCOL_VIOLATION, "a command that cannot be read");
        }
    }

    private static boolean isShowStats(String sql) {
        return sql.length() < 32 && sql.strip().toUpperCase(Locale.ROOT).matches("SHOW STATS\\s*;?");
    }

    private static String checked(String sql) throws StatementException {
        if (sql.length() > FlightLimits.STATEMENT_BYTES) {
            throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED, "a statement over 1 MiB");
        }
        return sql;
    }

    private static void noTransaction(boolean has) {
        if (has) {
            throw Statuses.notOffered("a transaction");
        }
    }

    /** The text of a command that asks for rows; null where it asks for something else. */
    private String sql(Any command) throws StatementException {
        if (command.is(CommandStatementQuery.class)) {
            CommandStatementQuery query = unpack(command, CommandStatementQuery.class);
            noTransaction(query.hasTransactionId());
            return checked(query.getQuery());
        } else if (command.is(CommandPreparedStatementQuery.class)) {
            return checked(entry(unpack(command, CommandPreparedStatementQuery.class).getPreparedStatementHandle()).sql());
        }
        return null;
    }

    private Prepared.Entry entry(ByteString handle) throws StatementException {
        Prepared.Entry entry = prepared.get(Caller.now().connection(), handle);
        if (entry == null) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "no such prepared statement");
        }
        return entry;
    }

    private Statement statement(String sql) throws StatementException {
        return Figures.statement(sql, Caller.now()::header, UUID.randomUUID().toString().replace("-", ""),
                services.admission());
    }

    private FlightInfo plan(FlightDescriptor asked) throws StatementException {
        Any command = any(asked.getCmd());
        String sql = sql(command);
        if (sql == null) {
            Schema schema = catalogSchema(command);
            return info(asked, command.toByteString(), schema, 0);
        }
        if (isShowStats(sql)) {
            return info(asked, ticket(STATS), Catalog.STATS, 0);
        }
        Statement statement = statement(sql);
        services.admission().call(statement, Long.MAX_VALUE);
        long now = services.clock().now();
        byte[] text = new byte[statement.length()];
        statement.copyTo(text);
        byte[] ticket = tickets.issue(text, now);
        if (ticket == null) {
            services.counters().count(Counter.OVER_CAPACITY);
            throw Statuses.refused("too many tickets are out", FlightLimits.TICKET_LIFE_NS);
        }
        services.counters().count(Counter.TICKETS_ISSUED);
        return info(asked, ticket(ByteString.copyFrom(ticket)), schemas.known(sql), now + FlightLimits.TICKET_LIFE_NS);
    }

    private static ByteString ticket(ByteString handle) {
        return Any.pack(TicketStatementQuery.newBuilder().setStatementHandle(handle).build()).toByteString();
    }

    /** {@code schema} is null for one that is not known before the table comes; {@code endsAt} 0 for no end. */
    private static FlightInfo info(FlightDescriptor asked, ByteString ticket, Schema schema, long endsAt) {
        FlightEndpoint.Builder endpoint = FlightEndpoint.newBuilder().setTicket(Ticket.newBuilder().setTicket(ticket));
        if (endsAt > 0) {
            endpoint.setExpirationTime(Timestamp.newBuilder().setSeconds(endsAt / 1_000_000_000L)
                    .setNanos((int) (endsAt % 1_000_000_000L)));
        }
        FlightInfo.Builder info = FlightInfo.newBuilder().setFlightDescriptor(asked).addEndpoint(endpoint)
                .setTotalRecords(-1).setTotalBytes(-1).setOrdered(true);
        if (schema != null) {
            info.setSchema(Ipc.encapsulated(schema));
        }
        return info.build();
    }

    private SchemaResult schema(FlightDescriptor asked) throws StatementException {
        Any command = any(asked.getCmd());
        String sql = sql(command);
        return SchemaResult.newBuilder()
                .setSchema(Ipc.encapsulated(sql == null ? catalogSchema(command) : expected(sql))).build();
    }

    /** How a statement's table looked last; before it was served once, how the one table's values look. */
    private Schema expected(String sql) {
        if (isShowStats(sql)) {
            return Catalog.STATS;
        }
        Schema known = schemas.known(sql);
        return known == null ? Ipc.cellSchema("data") : known;
    }

    private static Schema catalogSchema(Any command) throws StatementException {
        if (command.is(CommandGetSqlInfo.class)) {
            return FlightSqlProducer.Schemas.GET_SQL_INFO_SCHEMA;
        } else if (command.is(CommandGetCatalogs.class)) {
            return FlightSqlProducer.Schemas.GET_CATALOGS_SCHEMA;
        } else if (command.is(CommandGetDbSchemas.class)) {
            return FlightSqlProducer.Schemas.GET_SCHEMAS_SCHEMA;
        } else if (command.is(CommandGetTables.class)) {
            return Catalog.tablesSchema(unpack(command, CommandGetTables.class));
        } else if (command.is(CommandGetTableTypes.class)) {
            return FlightSqlProducer.Schemas.GET_TABLE_TYPES_SCHEMA;
        } else if (command.is(CommandGetPrimaryKeys.class)) {
            return FlightSqlProducer.Schemas.GET_PRIMARY_KEYS_SCHEMA;
        } else if (command.is(CommandGetExportedKeys.class)) {
            return FlightSqlProducer.Schemas.GET_EXPORTED_KEYS_SCHEMA;
        } else if (command.is(CommandGetImportedKeys.class)) {
            return FlightSqlProducer.Schemas.GET_IMPORTED_KEYS_SCHEMA;
        } else if (command.is(CommandGetCrossReference.class)) {
            return FlightSqlProducer.Schemas.GET_CROSS_REFERENCE_SCHEMA;
        } else if (command.is(CommandGetXdbcTypeInfo.class)) {
            return FlightSqlProducer.Schemas.GET_TYPE_INFO_SCHEMA;
        }
        throw Statuses.notOffered("this command");
    }

    /** DoGet: a ticket of ours is one request; what a catalog's command asks is answered here, any number of times. */
    private void fetch(Ticket asked, ServerCallStreamObserver<byte[]> out) throws StatementException {
        Any command = any(asked.getTicket());
        if (!command.is(TicketStatementQuery.class)) {
            send(catalog(command), out);
            return;
        }
        ByteString handle = unpack(command, TicketStatementQuery.class).getStatementHandle();
        if (handle.equals(STATS)) {
            send(catalog.stats(services.counters()), out);
            return;
        }
        byte[] text;
        try {
            text = tickets.redeem(handle.toByteArray(), services.clock().now());
        } catch (Tickets.RefusedException e) {
            services.counters().count(Counter.TICKETS_REFUSED);
            out.onError(Statuses.badTicket(e));
            return;
        }
        Statement statement = Statement.parse(Text.of(text, text.length));
        String sql = new String(text, StandardCharsets.UTF_8);
        FlightReply reply = new FlightReply(out, Caller.now(), services.balancer(), services.counters(), ipc,
                schema -> schemas.served(sql, schema));
        run(statement, reply, reply.presence(), out);
    }

    private List<byte[]> catalog(Any command) throws StatementException {
        if (command.is(CommandGetSqlInfo.class)) {
            return catalog.sqlInfo(unpack(command, CommandGetSqlInfo.class));
        } else if (command.is(CommandGetCatalogs.class)) {
            return catalog.catalogs();
        } else if (command.is(CommandGetDbSchemas.class)) {
            return catalog.schemas(unpack(command, CommandGetDbSchemas.class));
        } else if (command.is(CommandGetTables.class)) {
            return catalog.tables(unpack(command, CommandGetTables.class));
        } else if (command.is(CommandGetTableTypes.class)) {
            return catalog.tableTypes();
        }
        return catalog.none(catalogSchema(command));
    }

    private static void send(List<byte[]> frames, StreamObserver<byte[]> out) {
        frames.forEach(out::onNext);
        out.onCompleted();
    }

    /** Takes a statement as a request and gives it a worker for its life. */
    private void run(Statement statement, Client client, Presence presence, StreamObserver<?> out)
            throws StatementException {
        long left = timeLeftNs.getAsLong();
        if (left <= 0 || statement.write && left < Admission.waitNs(statement)) {
            throw Statuses.ending(); // how the write ended could not be told; another pooler can take it
        }
        Admission.Closed closed = services.admission().closed();
        if (closed != null) {
            services.counters().count(closed.counter());
            throw Statuses.closed(closed.reason());
        }
        Request.Call call = services.admission().call(statement, Math.min(left, Caller.now().leftNs()));
        try {
            workers.execute(() -> live(statement, client, presence, call, out));
        } catch (RejectedExecutionException e) {
            services.counters().count(Counter.OVER_CAPACITY);
            throw Statuses.refused("too many requests at once", 0);
        }
    }

    private void live(Statement statement, Client client, Presence presence, Request.Call call,
            StreamObserver<?> out) {
        try {
            Request request = services.balancer().taken(call);
            if (!presence.begins(request)) {
                services.balancer().left(request);
            }
            services.balancer().life(request, statement, client);
        } catch (RuntimeException e) {
            services.counters().count(Counter.INTERNAL_ERRORS);
            Log.error("an answer failed here", e);
            out.onError(Statuses.failed("a fault of this pooler; the request may have run"));
        }
    }

    private Flight.Result act(Action action) throws StatementException {
        Object connection = Caller.now().connection();
        switch (action.getType()) {
            case CREATE -> {
                ActionCreatePreparedStatementRequest asked =
                        unpack(any(action.getBody()), ActionCreatePreparedStatementRequest.class);
                noTransaction(asked.hasTransactionId());
                return result(create(connection, checked(asked.getQuery())));
            }
            case CLOSE -> {
                prepared.close(connection, unpack(any(action.getBody()), ActionClosePreparedStatementRequest.class)
                        .getPreparedStatementHandle());
                return null;
            }
            default -> throw Statuses.notOffered("the action");
        }
    }

    private ActionCreatePreparedStatementResult create(Object connection, String sql) throws StatementException {
        Placeholders text = new Placeholders(sql);
        ByteString handle = prepared.add(connection, text);
        if (handle == null) {
            services.counters().count(Counter.OVER_CAPACITY);
            throw Statuses.refused("too many prepared statements", 0);
        }
        boolean write = sql.stripLeading().toUpperCase(Locale.ROOT).startsWith("INSERT");
        // drivers tell a query from an update by whether its rows have columns
        Schema rows = write ? new Schema(List.of()) : expected(sql);
        List<org.apache.arrow.vector.types.pojo.Field> parameters = new ArrayList<>();
        for (int i = 1; i <= text.count(); i++) {
            parameters.add(org.apache.arrow.vector.types.pojo.Field.nullable("$" + i,
                    org.apache.arrow.vector.types.pojo.ArrowType.Utf8.INSTANCE));
        }
        return ActionCreatePreparedStatementResult.newBuilder().setPreparedStatementHandle(handle)
                .setDatasetSchema(Ipc.encapsulated(rows)).setParameterSchema(Ipc.encapsulated(new Schema(parameters)))
                .build();
    }

    private static Flight.Result result(Message message) {
        return Flight.Result.newBuilder().setBody(Any.pack(message).toByteString()).build();
    }

    /** DoPut: an update, run at its first message, or the parameters of a prepared statement, taken whole. */
    private StreamObserver<byte[]> put(StreamObserver<PutResult> observer) {
        ServerCallStreamObserver<PutResult> out = (ServerCallStreamObserver<PutResult>) observer;
        Put put = new Put(out);
        out.setOnCancelHandler(put.presence::leave);
        return put;
    }

    private final class Put implements StreamObserver<byte[]> {
        private final ServerCallStreamObserver<PutResult> out;
        private final List<byte[]> frames = new ArrayList<>();
        private int bytes;
        private Any command;
        private boolean over;
        private final Presence presence = new Presence(services.balancer());

        Put(ServerCallStreamObserver<PutResult> out) {
            this.out = out;
        }

        @Override
        public void onNext(byte[] frame) {
            if (over) {
                return;
            }
            guarded(out, () -> {
                boolean done = true;
                try {
                    done = take(frame);
                } finally {
                    over |= done; // a fault ends the call as well
                }
            });
        }

        /** True once nothing more of the stream is wanted. */
        private boolean take(byte[] frame) throws StatementException, IOException {
            bytes += frame.length;
            if (bytes > PARAMETER_BYTES + FlightLimits.STATEMENT_BYTES) {
                throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED, "too many bytes of parameters");
            }
            if (command == null) {
                command = any(FlightData.parseFrom(frame).getFlightDescriptor().getCmd());
                if (command.is(CommandStatementUpdate.class)) {
                    CommandStatementUpdate update = unpack(command, CommandStatementUpdate.class);
                    noTransaction(update.hasTransactionId());
                    update(checked(update.getQuery()));
                    return true;
                } else if (!command.is(CommandPreparedStatementUpdate.class)
                        && !command.is(CommandPreparedStatementQuery.class)) {
                    throw Statuses.notOffered("this command");
                }
            }
            frames.add(frame);
            return false;
        }

        @Override
        public void onCompleted() {
            if (over) {
                return;
            }
            over = true;
            guarded(out, () -> {
                if (command == null) {
                    throw new StatementException(SqlState.PROTOCOL_VIOLATION, "a stream without a command");
                }
                boolean query = command.is(CommandPreparedStatementQuery.class);
                ByteString handle = query
                        ? unpack(command, CommandPreparedStatementQuery.class).getPreparedStatementHandle()
                        : unpack(command, CommandPreparedStatementUpdate.class).getPreparedStatementHandle();
                Prepared.Entry entry = entry(handle);
                if (entry.text.count() > 0) {
                    entry.bind(literals());
                }
                if (query) {
                    out.onNext(PutResult.newBuilder().setAppMetadata(DoPutPreparedStatementResult.newBuilder()
                            .setPreparedStatementHandle(handle).build().toByteString()).build());
                    out.onCompleted();
                } else {
                    update(checked(entry.sql()));
                }
            });
        }

        private List<String> literals() throws StatementException, IOException {
            List<String> literals = new ArrayList<>();
            int[] rows = {0};
            StatementException[] wrong = new StatementException[1];
            ipc.read(frames, root -> {
                rows[0] += root.getRowCount();
                if (root.getRowCount() == 1 && rows[0] == 1) {
                    for (org.apache.arrow.vector.FieldVector vector : root.getFieldVectors()) {
                        try {
                            literals.add(Placeholders.literal(vector.getObject(0)));
                        } catch (StatementException e) {
                            wrong[0] = e;
                        }
                    }
                }
            });
            if (wrong[0] != null) {
                throw wrong[0];
            } else if (rows[0] != 1) {
                throw new StatementException(SqlState.FEATURE_NOT_SUPPORTED, "one row of parameters makes one request, here are "
                        + rows[0]);
            }
            return literals;
        }

        private void update(String sql) throws StatementException {
            Statement statement = statement(sql);
            if (!statement.write) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "an update must write");
            }
            run(statement, new UpdateReply(out, ipc), presence, out);
        }

        @Override
        public void onError(Throwable gone) {
            over = true;
        }
    }
}
