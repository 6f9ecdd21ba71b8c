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
import holdmux.core.Reply;
import holdmux.core.ServerStatus;
import holdmux.core.Services;
import holdmux.core.Updated;
import holdmux.core.Upstream;
import holdmux.core.Value;
import holdmux.decision.SplitterApi.Outcome;
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
 * The servers that speak Arrow Flight SQL. A statement that gives rows is planned (GetFlightInfo) and fetched (DoGet) on
 * one connection, one that gives none is put (DoPut). A read of which a table is wanted counts as served from its first
 * batch; of a write, and where one value is wanted, all must have come within the attempt.
 */
final class FlightUpstream implements Upstream {
    /** The longest value of the other protocol, and the messages round it; what is larger is no cell. */
    private static final int MOST_HELD = 4 * 1024 * 1024 + 64 * 1024;
    private static final byte[] PROBE = "SHOW pressure".getBytes(StandardCharsets.US_ASCII);

    private final Services services;
    private final FlightLimits limits;
    private final Budget budget;
    private final Ipc ipc;
    private final EventLoopGroup loops;
    private final ServerStatus.Form form;
    private final IdleConnections<FlightConnection> idle;

    FlightUpstream(Services services, FlightLimits limits, Budget budget, Ipc ipc, EventLoopGroup loops) {
        this.services = services;
        this.limits = limits;
        this.budget = budget;
        this.ipc = ipc;
        this.loops = loops;
        form = ServerStatus.Form.of(services.balancer().deployment());
        idle = new IdleConnections<>(services.fleet(), services.clock(), services.deadlines(), services.counters(),
                services.slots(), () -> services.balancer().deployment().connIdleNs());
    }

    /** An answer that fits no form that was wanted: it has run, and cannot be told. */
    private static final class UnfitException extends Exception {
        private static final long serialVersionUID = 1L;

        UnfitException() {
            super("unfit", null, false, false);
        }
    }

    /** What one use of a connection works with. */
    private final class Use {
        final Attempt attempt;
        final FlightConnection connection;
        final ServerStatus told = new ServerStatus(form);
        /** Whether an earlier call of this attempt was answered: from then on a proof covers the later call alone. */
        boolean answered;
        boolean clean;
        boolean kept;

        Use(Attempt attempt, FlightConnection connection) {
            this.attempt = attempt;
            this.connection = connection;
        }

        <Q, A> ServerCall<Q, A> call(io.grpc.MethodDescriptor<Q, A> method, Q request,
                java.util.function.ToLongFunction<A> size) throws IOException {
            ServerCall<Q, A> call =
                    new ServerCall<>(connection.channel(), method, request, told, budget, size, attempt::written);
            if (!attempt.carriedBy(call::close)) {
                throw new IOException("cut off before it was sent");
            }
            Deadlines.Deadline timeOut = services.deadlines().after(
                    services.balancer().deployment().connectTimeoutNs(), () -> {
                        if (!call.created()) {
                            attempt.cut(Outcome.CONNECT_FAILED);
                        }
                    });
            timeOuts.add(timeOut);
            return call;
        }

        private final List<Deadlines.Deadline> timeOuts = new ArrayList<>(2);

        /** The one answer of a call that gives one message. */
        <Q, A> A one(ServerCall<Q, A> call) throws ServerCall.EndedException, ServerCall.NoRoomException,
                InterruptedException {
            A answer = call.next(0);
            call.passed(answer);
            awaitOk(call);
            answered = true;
            return answer;
        }

        /** Waits until a call of which all messages were read has ended well. */
        void awaitOk(ServerCall<?, ?> call) throws ServerCall.EndedException, ServerCall.NoRoomException,
                InterruptedException {
            try {
                call.next(0);
            } catch (ServerCall.EndedException e) {
                if (e.fromServer && e.status.isOk()) {
                    return;
                }
                throw e;
            }
            throw new ServerCall.EndedException(Status.INTERNAL.withDescription("more messages than one"), true);
        }

        void end() {
            timeOuts.forEach(services.deadlines()::cancel);
            if (!kept) {
                release(connection, clean);
            }
        }
    }

    private interface Work {
        Attempted run(Use use) throws ServerCall.EndedException, ServerCall.NoRoomException, UnfitException,
                IOException, InterruptedException;
    }

    @Override
    public Attempted attempt(Attempt attempt, Statement statement, Value.Form wanted) {
        String sql = sql(statement, Math.max(1, attempt.limitNs / Clock.MS));
        if (statement.write && !sql.toUpperCase(Locale.ROOT).contains("RETURNING")) {
            return use(attempt, use -> put(use, sql));
        }
        return use(attempt, use -> query(use, sql, statement.write, wanted));
    }

    private static String sql(Statement statement, long limitMs) {
        List<ByteBuffer> parts = statement.text(limitMs);
        ByteBuffer whole = ByteBuffer.allocate(parts.stream().mapToInt(ByteBuffer::remaining).sum());
        parts.forEach(whole::put);
        return new String(whole.array(), StandardCharsets.UTF_8);
    }

    /** One use of a connection to the attempt's server; blocks until it has ended one way or another. */
    private Attempted use(Attempt attempt, Work work) {
        FlightConnection connection = idle.take(attempt.store);
        if (connection != null) {
            services.counters().count(Counter.SERVER_REUSES);
        } else {
            connection = open(attempt.store);
            if (connection == null) {
                return ended(Reply.of(Outcome.MOOT)); // never sent, and the server is not to blame
            }
        }
        Use use = new Use(attempt, connection);
        try {
            if (!attempt.stands()) { // decided a while ago: a thread or a slot may have been waited for
                services.counters().count(Counter.SENDS_OUTDATED);
                use.clean = attempt.complete();
                return ended(Reply.of(Outcome.MOOT));
            }
            return work.run(use);
        } catch (ServerCall.EndedException e) {
            return ended(broken(use, e));
        } catch (ServerCall.NoRoomException e) {
            services.counters().count(Counter.OVER_CAPACITY);
            return ended(Reply.of(attempt.droppedHere()));
        } catch (UnfitException e) {
            attempt.complete();
            return ended(use.told.reply(Outcome.OK));
        } catch (IOException e) {
            return ended(Reply.of(attempt.broken()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ended(Reply.of(attempt.broken()));
        } finally {
            use.end();
        }
    }

    private static Attempted ended(Reply reply) {
        return new Attempted(reply, null);
    }

    /** What the end of a call means for its attempt. */
    private static Reply broken(Use use, ServerCall.EndedException e) {
        Outcome outcome = Proof.outcome(e.status, e.fromServer);
        if (outcome != null) {
            use.attempt.complete();
            use.clean = true;
            // OK here is an answer without what an answer must hold
            return use.told.reply(outcome == Outcome.OK ? Outcome.ERROR : outcome);
        }
        if (!use.answered && Proof.neverProcessed(e.status, e.fromServer)) {
            return Reply.of(use.attempt.provenUnrun());
        }
        return Reply.of(use.attempt.broken());
    }

    private FlightConnection open(long store) {
        InetSocketAddress address = services.fleet().address(store);
        if (address == null || !idle.reserve()) {
            return null;
        }
        services.counters().count(Counter.SERVER_CONNECTS);
        return new FlightConnection(store, address, loops, services.balancer().deployment().connectTimeoutNs(),
                limits.messageBytes());
    }

    private void release(FlightConnection connection, boolean clean) {
        if (clean) {
            idle.keep(connection);
        } else {
            idle.discard(connection);
        }
    }

    /** A statement that gives no rows. */
    private Attempted put(Use use, String sql) throws ServerCall.EndedException, ServerCall.NoRoomException,
            IOException, InterruptedException {
        Any command = Any.pack(CommandStatementUpdate.newBuilder().setQuery(sql).build());
        byte[] request = org.apache.arrow.flight.impl.Flight.FlightData.newBuilder()
                .setFlightDescriptor(descriptor(command)).build().toByteArray();
        ServerCall<byte[], PutResult> call = use.call(Raw.DO_PUT, request, PutResult::getSerializedSize);
        PutResult result = use.one(call);
        use.attempt.complete();
        use.clean = true;
        try {
            long rows = DoPutUpdateResult.parseFrom(result.getAppMetadata()).getRecordCount();
            return new Attempted(use.told.reply(Outcome.OK), new Updated(rows));
        } catch (InvalidProtocolBufferException e) {
            return ended(Reply.of(Outcome.RESET)); // spoilt: it may have run
        }
    }

    private Attempted query(Use use, String sql, boolean write, Value.Form wanted) throws ServerCall.EndedException,
            ServerCall.NoRoomException, UnfitException, IOException, InterruptedException {
        FlightInfo plan = use.one(use.call(FlightServiceGrpc.getGetFlightInfoMethod(),
                descriptor(Any.pack(CommandStatementQuery.newBuilder().setQuery(sql).build())),
                FlightInfo::getSerializedSize));
        if (plan.getEndpointCount() != 1 || plan.getEndpoint(0).getLocationCount() > 0) {
            throw new UnfitException(); // a table in several places is not this server's own answer
        }
        if (!write && !use.attempt.stands()) { // the plan brought the connection up, which may have taken long
            services.counters().count(Counter.SENDS_OUTDATED);
            use.attempt.complete();
            use.clean = true;
            return ended(use.told.reply(Outcome.RESET)); // a plan is no proof that nothing ran
        }
        Ticket ticket = plan.getEndpoint(0).getTicket();
        ServerCall<Ticket, byte[]> call = use.call(Raw.DO_GET, ticket, message -> message.length);
        List<byte[]> frames = new ArrayList<>();
        boolean passes = false;
        try {
            frames.add(call.next(0));
            Ipc.schema(frames.get(0)); // what does not begin with a schema is spoilt
            boolean hold = write || wanted == Value.Form.CELL;
            boolean whole = hold ? hold(call, frames) : begin(call, frames);
            if (!use.attempt.complete()) {
                return ended(Reply.of(use.attempt.broken()));
            }
            Reply reply = use.told.reply(Outcome.OK);
            if (whole) {
                use.clean = true;
                if (wanted == Value.Form.CELL) {
                    return new Attempted(reply, ipc.cell(frames));
                }
                passes = true; // its messages count for the budget until it is passed on
                return new Attempted(reply, new Table(frames, null, ended -> frames.forEach(call::passed)));
            }
            passes = true;
            use.kept = true;
            return new Attempted(reply, new Table(frames, call, ended -> release(use.connection, ended)));
        } finally {
            if (!passes) {
                frames.forEach(call::passed);
                call.close();
            }
        }
    }

    /** Reads a stream to its end; it must be short. */
    private static boolean hold(ServerCall<?, byte[]> call, List<byte[]> frames) throws ServerCall.EndedException,
            ServerCall.NoRoomException, UnfitException, IOException, InterruptedException {
        int held = 0;
        while (true) {
            try {
                byte[] frame = call.next(0);
                frames.add(frame);
                Ipc.check(frame);
                held += frame.length;
                if (held > MOST_HELD) {
                    throw new UnfitException();
                }
            } catch (ServerCall.EndedException e) {
                if (e.fromServer && e.status.isOk()) {
                    return true;
                }
                throw e;
            }
        }
    }

    /** Reads a stream up to its first batch; whether it has ended well with that, as far as is known now. */
    private static boolean begin(ServerCall<?, byte[]> call, List<byte[]> frames) throws ServerCall.EndedException,
            ServerCall.NoRoomException, IOException, InterruptedException {
        while (true) {
            try {
                frames.add(call.next(0));
            } catch (ServerCall.EndedException e) {
                if (e.fromServer && e.status.isOk()) {
                    return true; // a table without rows
                }
                throw e;
            }
            if (Ipc.check(frames.get(frames.size() - 1)) == MessageHeader.RecordBatch) {
                if (!call.ended()) {
                    return false;
                }
                ServerCall.EndedException end = call.end();
                if (end.fromServer && end.status.isOk()) {
                    return true;
                }
                throw end; // cut off before anything was passed on
            }
        }
    }

    private static FlightDescriptor descriptor(Any command) {
        return FlightDescriptor.newBuilder().setType(FlightDescriptor.DescriptorType.CMD)
                .setCmd(command.toByteString()).build();
    }

    /** A plan of the statement that shows the load: one short call, whose headers or trailers tell it. */
    @Override
    public Reply probe(Attempt attempt) {
        return use(attempt, use -> {
            use.one(use.call(FlightServiceGrpc.getGetFlightInfoMethod(), descriptor(Any.pack(CommandStatementQuery
                    .newBuilder().setQueryBytes(ByteString.copyFrom(PROBE)).build())), FlightInfo::getSerializedSize));
            use.attempt.complete();
            use.clean = true;
            return ended(use.told.reply(use.told.hasReport() ? Outcome.OK : Outcome.ERROR));
        }).reply();
    }

    @Override
    public void closeIdle(long store) {
        idle.closeAll(store);
    }
}
