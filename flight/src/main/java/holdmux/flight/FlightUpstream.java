package holdmux.flight;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import holdmux.core.Attempt;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Deadlines;
import holdmux.core.IdleConnections;
import holdmux.core.QueryResult;
import holdmux.core.Reply;
import holdmux.core.ServerStatus;
import holdmux.core.Services;
import holdmux.core.UpdateResult;
import holdmux.core.Upstream;
import holdmux.decision.SplitterApi.Outcome;
import holdmux.decision.SplitterApi.Role;
import holdmux.statement.Statement;
import io.grpc.Status;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.arrow.flatbuf.MessageHeader;
import org.apache.arrow.flight.impl.Flight.FlightDescriptor;
import org.apache.arrow.flight.impl.Flight.FlightInfo;
import org.apache.arrow.flight.impl.Flight.PutResult;
import org.apache.arrow.flight.impl.Flight.Ticket;
import org.apache.arrow.flight.impl.FlightServiceGrpc;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandStatementQuery;
import org.apache.arrow.flight.sql.impl.FlightSql.CommandStatementUpdate;
import org.apache.arrow.flight.sql.impl.FlightSql.DoPutUpdateResult;

/**
 * Runs attempts on servers that speak Arrow Flight SQL. A statement that returns rows is planned (GetFlightInfo) and
 * fetched (DoGet) on one connection; one that returns none is sent with DoPut. A read for a client that accepts tables
 * succeeds with its first batch. For writes, and where a single value is expected, the whole answer must arrive within
 * the attempt.
 */
final class FlightUpstream implements Upstream {
    /** The longest value allowed over PostgreSQL (4 MiB) plus message overhead; a larger answer is no single value. */
    private static final int MAX_BUFFERED_BYTES = 4 * 1024 * 1024 + 64 * 1024;
    private static final byte[] PROBE_SQL = "SHOW pressure".getBytes(StandardCharsets.US_ASCII);

    private final Services services;
    private final FlightLimits limits;
    private final MemoryBudget budget;
    private final ArrowIpc ipc;
    private final EventLoopGroup eventLoops;
    private final ServerStatus.ReportFormat statusForm;
    private final IdleConnections<FlightConnection> idleConnections;

    FlightUpstream(Services services, FlightLimits limits, MemoryBudget budget, ArrowIpc ipc, EventLoopGroup eventLoops) {
        this.services = services;
        this.limits = limits;
        this.budget = budget;
        this.ipc = ipc;
        this.eventLoops = eventLoops;
        statusForm = ServerStatus.ReportFormat.of(services.balancer().deployment());
        idleConnections = new IdleConnections<>(services.registry(), services.clock(), services.deadlines(), services.counters(),
                services.slots(), () -> services.balancer().deployment().connIdleNs());
    }

    /** The answer does not have the shape that the client accepts: the statement has run, but its result cannot be returned. */
    private static final class UnsupportedResultException extends Exception {
        private static final long serialVersionUID = 1L;

        UnsupportedResultException() {
            super("unfit", null, false, false);
        }
    }

    /** The state of one use of a connection, on behalf of one attempt. */
    private final class Exchange {
        final Attempt attempt;
        final FlightConnection connection;
        final ServerStatus serverStatus = new ServerStatus(statusForm);
        /** Whether an earlier call of this attempt was answered; a later proof of non-processing then covers only the later call. */
        boolean callAnswered;
        boolean reusable;
        boolean ownedByTable;

        Exchange(Attempt attempt, FlightConnection connection) {
            this.attempt = attempt;
            this.connection = connection;
        }

        <Q, A> UpstreamCall<Q, A> startCall(io.grpc.MethodDescriptor<Q, A> method, Q request,
                java.util.function.ToLongFunction<A> sizeOf) throws IOException {
            UpstreamCall<Q, A> call =
                    new UpstreamCall<>(connection.channel(), method, request, serverStatus, budget, sizeOf, attempt::markWritten);
            if (!attempt.attachConnection(call::close)) {
                throw new IOException("aborted before the request was sent");
            }
            Deadlines.Deadline timeout = services.deadlines().after(
                    services.balancer().deployment().connectTimeoutNs(), () -> {
                        if (!call.streamCreated()) {
                            attempt.abort(Outcome.CONNECT_FAILED);
                        }
                    });
            timeouts.add(timeout);
            return call;
        }

        private final List<Deadlines.Deadline> timeouts = new ArrayList<>(2);

        /** Reads the answer of a call that returns exactly one message. */
        <Q, A> A readSingle(UpstreamCall<Q, A> call) throws UpstreamCall.EndedException, UpstreamCall.BudgetExceededException,
                InterruptedException {
            A answer = call.next(0);
            call.release(answer);
            awaitOk(call);
            callAnswered = true;
            return answer;
        }

        /** Waits for status OK from a call whose messages have all been read. */
        void awaitOk(UpstreamCall<?, ?> call) throws UpstreamCall.EndedException, UpstreamCall.BudgetExceededException,
                InterruptedException {
            try {
                call.next(0);
            } catch (UpstreamCall.EndedException e) {
                if (e.fromServer && e.status.isOk()) {
                    return;
                }
                throw e;
            }
            throw new UpstreamCall.EndedException(Status.INTERNAL.withDescription("more than one message received"), true);
        }

        void finish() {
            timeouts.forEach(services.deadlines()::cancel);
            if (!ownedByTable) {
                reportLostStatus();
                releaseConnection(connection, reusable);
            }
        }

        /** Reports what the server has stated so far; returns whether it has stated its role. */
        boolean reportStatus() {
            Reply status = serverStatus.toReply(Outcome.OK);
            if (status.role() == Role.UNKNOWN) {
                return false;
            }
            services.balancer().statusListener().stated(attempt.serverId, attempt.startedAt, status);
            return true;
        }

        /** Reports what the server stated in an answer that was not read to its end, or that it may have stated something. */
        private void reportLostStatus() {
            if (!reusable && !reportStatus() && attempt.isWritten()) {
                services.balancer().statusListener().missed(attempt.serverId);
            }
        }
    }

    /** What is done on a connection; exceptions become the attempt's reply. */
    private interface Operation {
        AttemptResult run(Exchange exchange) throws UpstreamCall.EndedException, UpstreamCall.BudgetExceededException,
                UnsupportedResultException, IOException, InterruptedException;
    }

    @Override
    public AttemptResult attempt(Attempt attempt, Statement statement, QueryResult.Shape shape) {
        String sql = statementText(statement, Math.max(1, attempt.timeoutNs / Clock.MS));
        if (statement.write && !sql.toUpperCase(Locale.ROOT).contains("RETURNING")) {
            return withConnection(attempt, exchange -> executeUpdate(exchange, sql));
        }
        return withConnection(attempt, exchange -> executeQuery(exchange, sql, statement.write, shape));
    }

    private static String statementText(Statement statement, long timeoutMs) {
        List<ByteBuffer> parts = statement.text(timeoutMs);
        ByteBuffer buffer = ByteBuffer.allocate(parts.stream().mapToInt(ByteBuffer::remaining).sum());
        parts.forEach(buffer::put);
        return new String(buffer.array(), StandardCharsets.UTF_8);
    }

    /** Runs an operation on a connection to the attempt's server; blocks until it has ended. */
    private AttemptResult withConnection(Attempt attempt, Operation operation) {
        FlightConnection connection = idleConnections.take(attempt.serverId);
        if (connection != null) {
            services.counters().count(Counter.SERVER_REUSES);
        } else {
            connection = openConnection(attempt.serverId);
            if (connection == null) {
                return withoutResult(Reply.of(Outcome.MOOT)); // nothing was sent, and the server is not at fault
            }
        }
        Exchange exchange = new Exchange(attempt, connection);
        try {
            if (!attempt.mayWrite()) { // waiting for a thread or a connection slot may have outdated the decision
                services.counters().count(Counter.SENDS_OUTDATED);
                exchange.reusable = attempt.complete();
                return withoutResult(Reply.of(Outcome.MOOT));
            }
            return operation.run(exchange);
        } catch (UpstreamCall.EndedException e) {
            return withoutResult(replyToEndedCall(exchange, e));
        } catch (UpstreamCall.BudgetExceededException e) {
            services.counters().count(Counter.OVER_CAPACITY);
            return withoutResult(Reply.of(attempt.failLocally()));
        } catch (UnsupportedResultException e) {
            attempt.complete();
            return withoutResult(exchange.serverStatus.toReply(Outcome.OK));
        } catch (IOException e) {
            return withoutResult(Reply.of(attempt.failDisconnected()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return withoutResult(Reply.of(attempt.failDisconnected()));
        } finally {
            exchange.finish();
        }
    }

    private static AttemptResult withoutResult(Reply reply) {
        return new AttemptResult(reply, null);
    }

    /** Derives the attempt's reply from how a call ended. */
    private static Reply replyToEndedCall(Exchange exchange, UpstreamCall.EndedException e) {
        Outcome outcome = StatusClassifier.outcome(e.status, e.fromServer);
        if (outcome != null) {
            exchange.attempt.complete();
            exchange.reusable = true;
            // OK at this point means that the answer lacked a required message
            return exchange.serverStatus.toReply(outcome == Outcome.OK ? Outcome.ERROR : outcome);
        }
        if (!exchange.callAnswered && StatusClassifier.neverProcessed(e.status, e.fromServer)) {
            return Reply.of(exchange.attempt.failUnprocessed());
        }
        return Reply.of(exchange.attempt.failDisconnected());
    }

    private FlightConnection openConnection(long serverId) {
        InetSocketAddress address = services.registry().address(serverId);
        if (address == null || !idleConnections.reserve()) {
            return null;
        }
        services.counters().count(Counter.SERVER_CONNECTS);
        return new FlightConnection(serverId, address, eventLoops, services.balancer().deployment().connectTimeoutNs(),
                limits.maxMessageBytes());
    }

    private void releaseConnection(FlightConnection connection, boolean reusable) {
        if (reusable) {
            idleConnections.keep(connection);
        } else {
            idleConnections.discard(connection);
        }
    }

    /** Runs a statement that returns no rows. */
    private AttemptResult executeUpdate(Exchange exchange, String sql) throws UpstreamCall.EndedException,
            UpstreamCall.BudgetExceededException, IOException, InterruptedException {
        Any command = Any.pack(CommandStatementUpdate.newBuilder().setQuery(sql).build());
        byte[] request = org.apache.arrow.flight.impl.Flight.FlightData.newBuilder()
                .setFlightDescriptor(descriptor(command)).build().toByteArray();
        UpstreamCall<byte[], PutResult> call = exchange.startCall(RawMethods.DO_PUT, request, PutResult::getSerializedSize);
        PutResult result = exchange.readSingle(call);
        exchange.attempt.complete();
        exchange.reusable = true;
        try {
            long rows = DoPutUpdateResult.parseFrom(result.getAppMetadata()).getRecordCount();
            return new AttemptResult(exchange.serverStatus.toReply(Outcome.OK), new UpdateResult(rows));
        } catch (InvalidProtocolBufferException e) {
            return withoutResult(Reply.of(Outcome.RESET)); // malformed answer: the statement may have run
        }
    }

    /** Runs a statement that returns rows. */
    private AttemptResult executeQuery(Exchange exchange, String sql, boolean write, QueryResult.Shape shape)
            throws UpstreamCall.EndedException, UpstreamCall.BudgetExceededException, UnsupportedResultException, IOException,
            InterruptedException {
        FlightInfo info = exchange.readSingle(exchange.startCall(FlightServiceGrpc.getGetFlightInfoMethod(),
                descriptor(Any.pack(CommandStatementQuery.newBuilder().setQuery(sql).build())),
                FlightInfo::getSerializedSize));
        if (info.getEndpointCount() != 1 || info.getEndpoint(0).getLocationCount() > 0) {
            throw new UnsupportedResultException(); // a table at other locations is not an answer of this server
        }
        exchange.reportStatus(); // what the plan states of the role counts for the check below
        if (!write && !exchange.attempt.mayWrite()) { // planning established the connection, which may have taken long
            services.counters().count(Counter.SENDS_OUTDATED);
            exchange.attempt.complete();
            exchange.reusable = true;
            return withoutResult(exchange.serverStatus.toReply(Outcome.RESET)); // an answered plan does not prove that nothing ran
        }
        Ticket ticket = info.getEndpoint(0).getTicket();
        UpstreamCall<Ticket, byte[]> call = exchange.startCall(RawMethods.DO_GET, ticket, message -> message.length);
        List<byte[]> messages = new ArrayList<>();
        boolean handedOver = false;
        try {
            messages.add(call.next(0));
            ArrowIpc.readSchema(messages.get(0)); // rejects a stream that does not begin with a schema
            boolean bufferAll = write || shape == QueryResult.Shape.CELL;
            boolean allReceived = bufferAll ? readAll(call, messages) : readFirstBatch(call, messages);
            if (!exchange.attempt.complete()) {
                return withoutResult(Reply.of(exchange.attempt.failDisconnected()));
            }
            Reply reply = exchange.serverStatus.toReply(Outcome.OK);
            if (allReceived) {
                exchange.reusable = true;
                if (shape == QueryResult.Shape.CELL) {
                    return new AttemptResult(reply, ipc.readScalar(messages));
                }
                handedOver = true; // its messages stay in the memory budget until the table is closed
                return new AttemptResult(reply, TableResult.received(messages, complete -> messages.forEach(call::release)));
            }
            handedOver = true;
            exchange.ownedByTable = true;
            return new AttemptResult(reply, new TableResult(messages, call,
                    () -> exchange.serverStatus.toReply(Outcome.OK), complete -> releaseConnection(exchange.connection, complete)));
        } finally {
            if (!handedOver) {
                messages.forEach(call::release);
                call.close();
            }
        }
    }

    /** Reads a stream to its end; fails if it exceeds {@link #MAX_BUFFERED_BYTES}. */
    private static boolean readAll(UpstreamCall<?, byte[]> call, List<byte[]> messages) throws UpstreamCall.EndedException,
            UpstreamCall.BudgetExceededException, UnsupportedResultException, IOException, InterruptedException {
        int bufferedBytes = 0;
        while (true) {
            try {
                byte[] message = call.next(0);
                messages.add(message);
                ArrowIpc.validate(message);
                bufferedBytes += message.length;
                if (bufferedBytes > MAX_BUFFERED_BYTES) {
                    throw new UnsupportedResultException();
                }
            } catch (UpstreamCall.EndedException e) {
                if (e.fromServer && e.status.isOk()) {
                    return true;
                }
                throw e;
            }
        }
    }

    /** Reads a stream up to its first batch; true if the stream is already known to have ended successfully. */
    private static boolean readFirstBatch(UpstreamCall<?, byte[]> call, List<byte[]> messages) throws UpstreamCall.EndedException,
            UpstreamCall.BudgetExceededException, IOException, InterruptedException {
        while (true) {
            try {
                messages.add(call.next(0));
            } catch (UpstreamCall.EndedException e) {
                if (e.fromServer && e.status.isOk()) {
                    return true; // a table without rows
                }
                throw e;
            }
            if (ArrowIpc.validate(messages.get(messages.size() - 1)) == MessageHeader.RecordBatch) {
                if (!call.ended()) {
                    return false;
                }
                UpstreamCall.EndedException end = call.endException();
                if (end.fromServer && end.status.isOk()) {
                    return true;
                }
                throw end; // failed before anything was relayed to the client
            }
        }
    }

    private static FlightDescriptor descriptor(Any command) {
        return FlightDescriptor.newBuilder().setType(FlightDescriptor.DescriptorType.CMD)
                .setCmd(command.toByteString()).build();
    }

    /** Plans the statement {@code SHOW pressure}: one short call whose headers or trailers carry the load report. */
    @Override
    public Reply probe(Attempt attempt) {
        return withConnection(attempt, exchange -> {
            exchange.readSingle(exchange.startCall(FlightServiceGrpc.getGetFlightInfoMethod(), descriptor(Any.pack(CommandStatementQuery
                    .newBuilder().setQueryBytes(ByteString.copyFrom(PROBE_SQL)).build())), FlightInfo::getSerializedSize));
            exchange.attempt.complete();
            exchange.reusable = true;
            return withoutResult(exchange.serverStatus.toReply(exchange.serverStatus.hasReport() ? Outcome.OK : Outcome.ERROR));
        }).reply();
    }

    @Override
    public void closeIdle(long serverId) {
        idleConnections.closeAll(serverId);
    }
}
