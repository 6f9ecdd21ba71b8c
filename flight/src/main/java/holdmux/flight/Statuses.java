package holdmux.flight;

import com.google.protobuf.Any;
import com.google.protobuf.util.Durations;
import com.google.rpc.Code;
import com.google.rpc.ErrorInfo;
import com.google.rpc.RetryInfo;
import holdmux.core.Clock;
import holdmux.statement.SqlState;
import holdmux.statement.StatementException;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;

/**
 * Builds the gRPC statuses of failed requests. Clients can distinguish them without parsing the message: with a
 * {@link RetryInfo} nothing ran and a retry after its delay is safe; with UNKNOWN the request may have run; any other
 * status reports a client error. {@link ErrorInfo} gives the reason.
 */
final class Statuses {
    static final String DOMAIN = "holdmux";

    private Statuses() {}

    /** Refused: nothing ran. {@code retryDelayNs} is the advised delay before a retry, 0 for no advice. */
    static StatusRuntimeException refused(String message, long retryDelayNs) {
        return status(Code.RESOURCE_EXHAUSTED, "REFUSED", message, retryDelayNs);
    }

    /** The pooler is shutting down: nothing ran, and another pooler can serve the request. */
    static StatusRuntimeException shuttingDown() {
        return status(Code.UNAVAILABLE, "ENDING", "the pooler is shutting down", 0);
    }

    /** The pooler currently accepts no requests, for this reason: nothing ran, and another pooler can serve the request. */
    static StatusRuntimeException closed(String reason) {
        return status(Code.UNAVAILABLE, "CLOSED", reason, 0);
    }

    /** Failed: the request may have taken effect. */
    static StatusRuntimeException failed(String message) {
        return status(Code.UNKNOWN, "FAILED", message, -1);
    }

    /** Invalid input: the request reached no server, and a retry would fail again, except for lack of room. */
    static StatusRuntimeException badInput(StatementException e) {
        if (e.sqlState.equals(SqlState.TOO_MANY_CONNECTIONS)) {
            return refused(e.getMessage(), 0);
        }
        return status(Code.INVALID_ARGUMENT, e.sqlState, e.getMessage(), -1);
    }

    /** Invalid input that is not about a statement. */
    static StatusRuntimeException badInput(String message) {
        return status(Code.INVALID_ARGUMENT, "BAD_INPUT", message, -1);
    }

    /** A ticket that cannot be redeemed; says nothing about the request it was issued for. */
    static StatusRuntimeException badTicket(Tickets.InvalidTicketException e) {
        return status(e.reason == Tickets.RejectReason.FORGED ? Code.INVALID_ARGUMENT : Code.NOT_FOUND,
                "TICKET_" + e.reason, e.getMessage(), -1);
    }

    /** A part of Flight SQL that this server does not implement. */
    static StatusRuntimeException unsupported(String feature) {
        return status(Code.UNIMPLEMENTED, "NOT_OFFERED", feature + " is not supported", -1);
    }

    private static StatusRuntimeException status(Code code, String reason, String message, long retryDelayNs) {
        com.google.rpc.Status.Builder status = com.google.rpc.Status.newBuilder().setCode(code.getNumber())
                .setMessage(message)
                .addDetails(Any.pack(ErrorInfo.newBuilder().setReason(reason).setDomain(DOMAIN).build()));
        if (retryDelayNs >= 0) {
            long retryDelayMs = (retryDelayNs + Clock.MS - 1) / Clock.MS;
            status.addDetails(Any.pack(RetryInfo.newBuilder().setRetryDelay(Durations.fromMillis(retryDelayMs)).build()));
        }
        return StatusProto.toStatusRuntimeException(status.build());
    }
}
