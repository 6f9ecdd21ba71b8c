package holdmux.flight;

import holdmux.decision.SplitterApi.Outcome;
import io.grpc.Status;

/**
 * Maps the gRPC status of a call to the outcome of an attempt; docs/flight-sql.md lists the mapping. A request counts as
 * never processed only where the status proves it. Does no I/O and reads no clock.
 */
final class StatusClassifier {
    /**
     * Descriptions by which the pinned gRPC version reports that a stream was not processed. HTTP/2 (RFC 9113, 6.8 and
     * 8.7) guarantees this for streams above a GOAWAY's last stream identifier and for streams reset with REFUSED_STREAM.
     * gRPC tracks it internally as RpcProgress.REFUSED and exposes it only in the description, so a test with
     * hand-written frames covers each of them.
     */
    private static final String ABOVE_LAST_STREAM = "Abrupt GOAWAY closed sent stream",
            UNSENT_STREAM = "Abrupt GOAWAY closed unsent stream", REFUSED_STREAM = "REFUSED_STREAM";

    private StatusClassifier() {}

    /** Whether the status was generated locally and proves that the server did not process the call. */
    static boolean neverProcessed(Status status, boolean fromServer) {
        String description = status.getDescription();
        return !fromServer && status.getCode() == Status.Code.UNAVAILABLE && description != null
                && (description.contains(ABOVE_LAST_STREAM) || description.contains(UNSENT_STREAM) || description.contains(REFUSED_STREAM));
    }

    /**
     * The outcome of a status sent by the server; null if the status was generated locally because the call broke, in
     * which case the outcome depends on how far the attempt got.
     */
    static Outcome outcome(Status status, boolean fromServer) {
        if (!fromServer) {
            return null;
        }
        return switch (status.getCode()) {
            case OK -> Outcome.OK;
            case RESOURCE_EXHAUSTED -> Outcome.FULL;
            case FAILED_PRECONDITION -> Outcome.MISS;
            default -> Outcome.ERROR;
        };
    }
}
