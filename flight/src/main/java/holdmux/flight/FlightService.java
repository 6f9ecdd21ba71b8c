package holdmux.flight;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Timestamp;
import holdmux.core.Admission;
import holdmux.core.ClientWatch;
import holdmux.core.Counters.Counter;
import holdmux.core.IdClaims;
import holdmux.core.Log;
import holdmux.core.Request;
import holdmux.core.Responder;
import holdmux.core.Services;
import holdmux.decision.SplitterApi.Effect;
import holdmux.statement.ChunkedText;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;
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
 * Implements the Flight SQL service. Planning (GetFlightInfo) checks a statement and puts it into a ticket, without
 * contacting a server. Each redeemed ticket (DoGet) and each update (DoPut) is one request and goes through the balancer
 * as on any front. Calls arrive on event loops, which must not block, so each request runs on a worker thread.
 */
final class FlightService {
    private static final String CREATE_ACTION = "CreatePreparedStatement", CLOSE_ACTION = "ClosePreparedStatement";
    /** The ticket handle for the counters. It cannot equal an issued ticket, as those begin with a version byte. */
    private static final ByteString STATS_HANDLE = ByteString.copyFromUtf8("SHOW STATS");
    /** Bound values are substituted as literals, so they are limited like statements. */
    private static final int MAX_PARAMETER_BYTES = FlightLimits.MAX_STATEMENT_BYTES;

    private final Services services;
    private final Tickets tickets;
    private final PreparedStatements preparedStatements;
    private final SchemaCache schemaCache = new SchemaCache();
    private final Catalog catalog;
    private final ArrowIpc ipc;
    private final Executor workers;
    private final LongSupplier remainingLifetimeNs;

    /** {@code remainingLifetimeNs}: how long this process will keep serving. */
    FlightService(Services services, Tickets tickets, PreparedStatements preparedStatements, Catalog catalog, ArrowIpc ipc,
            Executor workers, LongSupplier remainingLifetimeNs) {
        this.services = services;
        this.tickets = tickets;
        this.preparedStatements = preparedStatements;
        this.catalog = catalog;
        this.ipc = ipc;
        this.workers = workers;
        this.remainingLifetimeNs = remainingLifetimeNs;
    }

    /** The handlers by method. gRPC answers all others (ListFlights, PollFlightInfo, DoExchange) with UNIMPLEMENTED. */
    ServerServiceDefinition serviceDefinition() {
        return ServerServiceDefinition.builder(FlightServiceGrpc.SERVICE_NAME)
                .addMethod(FlightServiceGrpc.getHandshakeMethod(), ServerCalls.asyncBidiStreamingCall(this::handshake))
                .addMethod(FlightServiceGrpc.getGetFlightInfoMethod(),
                        ServerCalls.asyncUnaryCall((request, out) -> answerUnary(request, out, this::getFlightInfo)))
                .addMethod(FlightServiceGrpc.getGetSchemaMethod(),
                        ServerCalls.asyncUnaryCall((request, out) -> answerUnary(request, out, this::getSchema)))
                .addMethod(RawMethods.DO_GET, ServerCalls.asyncServerStreamingCall((request, out) ->
                        runGuarded(out, () -> doGet(request, (ServerCallStreamObserver<byte[]>) out))))
                .addMethod(RawMethods.DO_PUT, ServerCalls.asyncBidiStreamingCall(this::doPut))
                .addMethod(FlightServiceGrpc.getDoActionMethod(),
                        ServerCalls.asyncServerStreamingCall((request, out) -> answerUnary(request, out, this::doAction)))
                .addMethod(FlightServiceGrpc.getListActionsMethod(), ServerCalls.asyncServerStreamingCall((e, out) -> {
                    out.onNext(ActionType.newBuilder().setType(CREATE_ACTION).build());
                    out.onNext(ActionType.newBuilder().setType(CLOSE_ACTION).build());
                    out.onCompleted();
                }))
                .build();
    }

    /** The work of a call; exceptions become the call's status. */
    private interface CallBody {
        void run() throws StatementException, IOException;
    }

    /** Runs a call and maps exceptions for invalid input and internal errors to a status. */
    private void runGuarded(StreamObserver<?> out, CallBody body) {
        try {
            body.run();
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
            out.onError(Statuses.failed("internal error in the pooler"));
        }
    }

    /** Computes the response to a unary request. */
    private interface UnaryHandler<Q, A> {
        A handle(Q request) throws StatementException, IOException;
    }

    private <Q, A> void answerUnary(Q request, StreamObserver<A> out, UnaryHandler<Q, A> handler) {
        runGuarded(out, () -> {
            A response = handler.handle(request);
            if (response != null) {
                out.onNext(response);
            }
            out.onCompleted();
        });
    }

    /** Accepts any user, as on the PostgreSQL front. */
    private StreamObserver<Flight.HandshakeRequest> handshake(StreamObserver<Flight.HandshakeResponse> out) {
        return new StreamObserver<>() {
            @Override
            public void onNext(Flight.HandshakeRequest request) {
                // credentials are not checked
            }

            @Override
            public void onError(Throwable error) {
                // the client left; nothing to clean up
            }

            @Override
            public void onCompleted() {
                out.onCompleted();
            }
        };
    }

    private static Any parseAny(ByteString bytes) throws StatementException {
        try {
            return Any.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new StatementException(SqlState.PROTOCOL_VIOLATION, "malformed command");
        }
    }

    private static <M extends Message> M unpack(Any any, Class<M> type) throws StatementException {
        try {
            return any.unpack(type);
        } catch (InvalidProtocolBufferException e) {
            throw new StatementException(SqlState.PROTOCOL_VIOLATION, "malformed command");
        }
    }

    private static boolean isShowStats(String sql) {
        return sql.length() < 32 && sql.strip().toUpperCase(Locale.ROOT).matches("SHOW STATS\\s*;?");
    }

    private static String checkLength(String sql) throws StatementException {
        if (sql.length() > FlightLimits.MAX_STATEMENT_BYTES) {
            throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED, "the statement is longer than 1 MiB");
        }
        return sql;
    }

    private static void rejectTransaction(boolean hasTransaction) {
        if (hasTransaction) {
            throw Statuses.unsupported("a transaction");
        }
    }

    /** The SQL text of a query command; null for other commands. */
    private String queryText(Any command) throws StatementException {
        if (command.is(CommandStatementQuery.class)) {
            CommandStatementQuery query = unpack(command, CommandStatementQuery.class);
            rejectTransaction(query.hasTransactionId());
            return checkLength(query.getQuery());
        } else if (command.is(CommandPreparedStatementQuery.class)) {
            return checkLength(preparedStatement(unpack(command, CommandPreparedStatementQuery.class).getPreparedStatementHandle()).sql());
        }
        return null;
    }

    private PreparedStatements.Entry preparedStatement(ByteString handle) throws StatementException {
        PreparedStatements.Entry entry = preparedStatements.get(CallContext.current().connection(), handle);
        if (entry == null) {
            throw new StatementException(SqlState.INVALID_PARAMETER_VALUE, "the prepared statement does not exist");
        }
        return entry;
    }

    private Statement parseStatement(String sql) throws StatementException {
        return RequestAttributes.toStatement(sql, CallContext.current()::header, UUID.randomUUID().toString().replace("-", ""),
                services.admission());
    }

    private FlightInfo getFlightInfo(FlightDescriptor descriptor) throws StatementException {
        Any command = parseAny(descriptor.getCmd());
        String sql = queryText(command);
        if (sql == null) {
            Schema schema = catalogSchema(command);
            return flightInfo(descriptor, command.toByteString(), schema, 0);
        }
        if (isShowStats(sql)) {
            return flightInfo(descriptor, encodeTicket(STATS_HANDLE), Catalog.STATS_SCHEMA, 0);
        }
        Statement statement = parseStatement(sql);
        services.admission().admit(statement, Long.MAX_VALUE);
        long now = services.clock().now();
        byte[] text = new byte[statement.length()];
        statement.copyTo(text);
        byte[] ticket = tickets.issue(text, now);
        if (ticket == null) {
            services.counters().count(Counter.OVER_CAPACITY);
            throw Statuses.refused("too many outstanding tickets", FlightLimits.TICKET_LIFETIME_NS);
        }
        services.counters().count(Counter.TICKETS_ISSUED);
        return flightInfo(descriptor, encodeTicket(ByteString.copyFrom(ticket)), schemaCache.cached(sql),
                now + FlightLimits.TICKET_LIFETIME_NS);
    }

    private static ByteString encodeTicket(ByteString handle) {
        return Any.pack(TicketStatementQuery.newBuilder().setStatementHandle(handle).build()).toByteString();
    }

    /** {@code schema} is null if it is not known before the table is fetched; {@code expiresAt} is 0 for no expiry. */
    private static FlightInfo flightInfo(FlightDescriptor descriptor, ByteString ticket, Schema schema, long expiresAt) {
        FlightEndpoint.Builder endpoint = FlightEndpoint.newBuilder().setTicket(Ticket.newBuilder().setTicket(ticket));
        if (expiresAt > 0) {
            endpoint.setExpirationTime(Timestamp.newBuilder().setSeconds(expiresAt / 1_000_000_000L)
                    .setNanos((int) (expiresAt % 1_000_000_000L)));
        }
        FlightInfo.Builder info = FlightInfo.newBuilder().setFlightDescriptor(descriptor).addEndpoint(endpoint)
                .setTotalRecords(-1).setTotalBytes(-1).setOrdered(true);
        if (schema != null) {
            info.setSchema(ArrowIpc.encapsulated(schema));
        }
        return info.build();
    }

    private SchemaResult getSchema(FlightDescriptor descriptor) throws StatementException {
        Any command = parseAny(descriptor.getCmd());
        String sql = queryText(command);
        return SchemaResult.newBuilder()
                .setSchema(ArrowIpc.encapsulated(sql == null ? catalogSchema(command) : expectedSchema(sql))).build();
    }

    /** The schema a statement's table had when last served; if it was never served, that of a single value of the one table. */
    private Schema expectedSchema(String sql) {
        if (isShowStats(sql)) {
            return Catalog.STATS_SCHEMA;
        }
        Schema cached = schemaCache.cached(sql);
        return cached == null ? ArrowIpc.scalarSchema("data") : cached;
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
        throw Statuses.unsupported("this command");
    }

    /** DoGet: a statement ticket is one request; catalog commands are answered here and can be repeated. */
    private void doGet(Ticket ticket, ServerCallStreamObserver<byte[]> out) throws StatementException {
        Any command = parseAny(ticket.getTicket());
        if (!command.is(TicketStatementQuery.class)) {
            send(catalogResult(command), out);
            return;
        }
        ByteString handle = unpack(command, TicketStatementQuery.class).getStatementHandle();
        if (handle.equals(STATS_HANDLE)) {
            send(catalog.stats(services.counters()), out);
            return;
        }
        byte[] text;
        try {
            text = tickets.redeem(handle.toByteArray(), services.clock().now());
        } catch (Tickets.InvalidTicketException e) {
            services.counters().count(Counter.TICKETS_REFUSED);
            out.onError(Statuses.badTicket(e));
            return;
        }
        Statement statement = Statement.parseAnyTable(ChunkedText.of(text, text.length));
        String sql = new String(text, StandardCharsets.UTF_8);
        DoGetResponder responder = new DoGetResponder(out, CallContext.current(), services.balancer(), services.counters(), ipc,
                schema -> schemaCache.put(sql, schema));
        submit(statement, responder, responder.cancellation(), out);
    }

    private List<byte[]> catalogResult(Any command) throws StatementException {
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
        return catalog.emptyTable(catalogSchema(command));
    }

    private static void send(List<byte[]> messages, StreamObserver<byte[]> out) {
        messages.forEach(out::onNext);
        out.onCompleted();
    }

    /** Admits a statement as a request and runs it on a worker thread. */
    private void submit(Statement statement, Responder responder, CallCancellation cancellation, StreamObserver<?> out)
            throws StatementException {
        long remainingNs = remainingLifetimeNs.getAsLong();
        if (remainingNs <= 0 || statement.write && remainingNs < Admission.remainingWaitNs(statement)) {
            // the outcome could not be reported before the process ends; another pooler can serve the request
            throw Statuses.shuttingDown();
        }
        Admission.Refusal refusal = services.admission().refusal();
        if (refusal != null) {
            services.counters().count(refusal.counter());
            throw Statuses.closed(refusal.reason());
        }
        Request.Spec requestSpec = services.admission().admit(statement, Math.min(remainingNs, CallContext.current().remainingNs()));
        try {
            workers.execute(() -> process(statement, responder, cancellation, requestSpec, out));
        } catch (RejectedExecutionException e) {
            services.counters().count(Counter.OVER_CAPACITY);
            throw Statuses.refused("too many concurrent requests", 0);
        }
    }

    private void process(Statement statement, Responder responder, CallCancellation cancellation, Request.Spec requestSpec,
            StreamObserver<?> out) {
        try {
            Effect effect = services.admission().requestClass(statement.className).effect();
            IdClaims.Claim claim = services.balancer().ids().claim(statement, effect);
            Request request = services.balancer().openRequest(requestSpec, claim, ClientWatch.IMMEDIATE);
            if (!cancellation.begin(request)) {
                services.balancer().clientLeft(request);
            }
            services.balancer().execute(request, statement, responder);
        } catch (StatementException e) {
            services.counters().count(Counter.BAD_INPUT);
            out.onError(Statuses.badInput(e));
        } catch (RuntimeException e) {
            services.counters().count(Counter.INTERNAL_ERRORS);
            Log.error("an answer failed here", e);
            out.onError(Statuses.failed("internal error in the pooler; the request may have run"));
        }
    }

    private Flight.Result doAction(Action action) throws StatementException {
        Object connection = CallContext.current().connection();
        switch (action.getType()) {
            case CREATE_ACTION -> {
                ActionCreatePreparedStatementRequest request =
                        unpack(parseAny(action.getBody()), ActionCreatePreparedStatementRequest.class);
                rejectTransaction(request.hasTransactionId());
                return actionResult(createPreparedStatement(connection, checkLength(request.getQuery())));
            }
            case CLOSE_ACTION -> {
                preparedStatements.close(connection, unpack(parseAny(action.getBody()), ActionClosePreparedStatementRequest.class)
                        .getPreparedStatementHandle());
                return null;
            }
            default -> throw Statuses.unsupported("the action");
        }
    }

    private ActionCreatePreparedStatementResult createPreparedStatement(Object connection, String sql) throws StatementException {
        SqlTemplate template = new SqlTemplate(sql);
        ByteString handle = preparedStatements.add(connection, template);
        if (handle == null) {
            services.counters().count(Counter.OVER_CAPACITY);
            throw Statuses.refused("too many prepared statements", 0);
        }
        boolean isWrite = sql.stripLeading().toUpperCase(Locale.ROOT).startsWith("INSERT");
        // drivers take a statement whose result schema has no columns for an update
        Schema resultSchema = isWrite ? new Schema(List.of()) : expectedSchema(sql);
        List<org.apache.arrow.vector.types.pojo.Field> parameters = new ArrayList<>();
        for (int i = 1; i <= template.parameterCount(); i++) {
            parameters.add(org.apache.arrow.vector.types.pojo.Field.nullable("$" + i,
                    org.apache.arrow.vector.types.pojo.ArrowType.Utf8.INSTANCE));
        }
        return ActionCreatePreparedStatementResult.newBuilder().setPreparedStatementHandle(handle)
                .setDatasetSchema(ArrowIpc.encapsulated(resultSchema)).setParameterSchema(ArrowIpc.encapsulated(new Schema(parameters)))
                .build();
    }

    private static Flight.Result actionResult(Message message) {
        return Flight.Result.newBuilder().setBody(Any.pack(message).toByteString()).build();
    }

    /** DoPut: an update, run at its first message, or the parameters of a prepared statement, buffered until complete. */
    private StreamObserver<byte[]> doPut(StreamObserver<PutResult> observer) {
        ServerCallStreamObserver<PutResult> out = (ServerCallStreamObserver<PutResult>) observer;
        PutStream stream = new PutStream(out);
        out.setOnCancelHandler(stream.cancellation::cancel);
        return stream;
    }

    /** Handles the messages of one DoPut call. */
    private final class PutStream implements StreamObserver<byte[]> {
        private final ServerCallStreamObserver<PutResult> out;
        private final List<byte[]> messages = new ArrayList<>();
        private int receivedBytes;
        private Any command;
        private boolean ended;
        private final CallCancellation cancellation = new CallCancellation(services.balancer());

        PutStream(ServerCallStreamObserver<PutResult> out) {
            this.out = out;
        }

        @Override
        public void onNext(byte[] message) {
            if (ended) {
                return;
            }
            runGuarded(out, () -> {
                boolean complete = true;
                try {
                    complete = handleMessage(message);
                } finally {
                    ended |= complete; // an error also ends the call
                }
            });
        }

        /** Returns true once the rest of the stream can be ignored. */
        private boolean handleMessage(byte[] message) throws StatementException, IOException {
            receivedBytes += message.length;
            if (receivedBytes > MAX_PARAMETER_BYTES + FlightLimits.MAX_STATEMENT_BYTES) {
                throw new StatementException(SqlState.PROGRAM_LIMIT_EXCEEDED, "the parameters are too long");
            }
            if (command == null) {
                command = parseAny(FlightData.parseFrom(message).getFlightDescriptor().getCmd());
                if (command.is(CommandStatementUpdate.class)) {
                    CommandStatementUpdate update = unpack(command, CommandStatementUpdate.class);
                    rejectTransaction(update.hasTransactionId());
                    submitUpdate(checkLength(update.getQuery()));
                    return true;
                } else if (!command.is(CommandPreparedStatementUpdate.class)
                        && !command.is(CommandPreparedStatementQuery.class)) {
                    throw Statuses.unsupported("this command");
                }
            }
            messages.add(message);
            return false;
        }

        @Override
        public void onCompleted() {
            if (ended) {
                return;
            }
            ended = true;
            runGuarded(out, () -> {
                if (command == null) {
                    throw new StatementException(SqlState.PROTOCOL_VIOLATION, "the stream contains no command");
                }
                boolean query = command.is(CommandPreparedStatementQuery.class);
                ByteString handle = query
                        ? unpack(command, CommandPreparedStatementQuery.class).getPreparedStatementHandle()
                        : unpack(command, CommandPreparedStatementUpdate.class).getPreparedStatementHandle();
                PreparedStatements.Entry entry = preparedStatement(handle);
                if (entry.template.parameterCount() > 0) {
                    entry.bind(parameterLiterals());
                }
                if (query) {
                    out.onNext(PutResult.newBuilder().setAppMetadata(DoPutPreparedStatementResult.newBuilder()
                            .setPreparedStatementHandle(handle).build().toByteString()).build());
                    out.onCompleted();
                } else {
                    submitUpdate(checkLength(entry.sql()));
                }
            });
        }

        private List<String> parameterLiterals() throws StatementException, IOException {
            List<String> literals = new ArrayList<>();
            int[] rows = {0};
            StatementException[] conversionError = new StatementException[1];
            ipc.readBatches(messages, root -> {
                rows[0] += root.getRowCount();
                if (root.getRowCount() == 1 && rows[0] == 1) {
                    for (org.apache.arrow.vector.FieldVector vector : root.getFieldVectors()) {
                        try {
                            literals.add(SqlTemplate.toLiteral(vector.getObject(0)));
                        } catch (StatementException e) {
                            conversionError[0] = e;
                        }
                    }
                }
            });
            if (conversionError[0] != null) {
                throw conversionError[0];
            } else if (rows[0] != 1) {
                throw new StatementException(SqlState.FEATURE_NOT_SUPPORTED, "exactly one row of parameters is supported, received "
                        + rows[0]);
            }
            return literals;
        }

        private void submitUpdate(String sql) throws StatementException {
            Statement statement = parseStatement(sql);
            if (!statement.write) {
                throw new StatementException(SqlState.SYNTAX_ERROR, "the statement of an update must be a write");
            }
            submit(statement, new DoPutResponder(out, ipc), cancellation, out);
        }

        @Override
        public void onError(Throwable error) {
            ended = true;
        }
    }
}
