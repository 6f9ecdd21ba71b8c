package holdmux.flight;

import com.google.protobuf.Any;
import com.google.protobuf.util.Durations;
import com.google.rpc.Code;
import com.google.rpc.ErrorInfo;
import com.google.rpc.RetryInfo;
import holdmux.core.Clock;
import holdmux.statement.StatementException;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;

/**
 * Final answers as gRPC statuses. A client tells them apart without reading words: with a {@link RetryInfo} nothing ran
 * and trying again is harmless, and its delay is the time to come again; UNKNOWN may have run; the rest is the client's
 * own fault. {@link ErrorInfo} names the reason.
 */
final class Statuses {
    static final String DOMAIN = "holdmux";

    private Statuses() {}

    /** Refused: nothing ran; {@code waitNs}: come again after so long, 0 for no advice. */
    static StatusRuntimeException refused(String message, long retryDelayNs) {
        return status(Code.RESOURCE_EXHAUSTED, "REFUSED", message, retryDelayNs);
    }

    /** This pooler is about to end or sends its clients away: nothing ran, another can take it. */
    static StatusRuntimeException shuttingDown() {
        return status(Code.UNAVAILABLE, "ENDING", "this pooler is about to end", 0);
    }

    /** This pooler takes nothing now, for this reason: nothing ran, another can take it. */
    static StatusRuntimeException closed(String reason) {
        return status(Code.UNAVAILABLE, "CLOSED", reason, 0);
    }

    /** Failed: it may have taken effect. */
    static StatusRuntimeException failed(String message) {
        return status(Code.UNKNOWN, "FAILED", message, -1);
    }

    /** Bad input: it reached no server, and would not the next time. */
    static StatusRuntimeException badInput(StatementException e) {
        return status(Code.INVALID_ARGUMENT, e.sqlState, e.getMessage(), -1);
    }

    static StatusRuntimeException badInput(String message) {
        return status(Code.INVALID_ARGUMENT, "BAD_INPUT", message, -1);
    }

    /** A ticket that cannot be redeemed; says nothing of the request that it stood for. */
    static StatusRuntimeException badTicket(Tickets.InvalidTicketException e) {
        return status(e.reason == Tickets.RejectReason.FORGED ? Code.INVALID_ARGUMENT : Code.NOT_FOUND,
                "TICKET_" + e.reason, e.getMessage(), -1);
    }

    static StatusRuntimeException unsupported(String feature) {
        return status(Code.UNIMPLEMENTED, "NOT_OFFERED", feature + " is not offered here", -1);
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
