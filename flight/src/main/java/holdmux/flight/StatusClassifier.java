package holdmux.flight;

import holdmux.decision.SplitterApi.Outcome;
import io.grpc.Status;

/**
 * What a status says of an attempt, and with which proof; docs/flight-sql.md has it as a table. Only what proves that
 * nothing ran may say so. No I/O and no clock.
 */
final class StatusClassifier {
    /**
     * How the pinned gRPC words what the peer's frames prove: HTTP/2 (RFC 9113, 6.8 and 8.7) lets a client take streams
     * above a GOAWAY's last identifier, and those reset with REFUSED_STREAM, as never processed. gRPC knows that as its
     * internal progress REFUSED and tells it in the words alone, so a test with frames of our own guards each.
     */
    private static final String ABOVE_LAST_STREAM = "Abrupt GOAWAY closed sent stream",
            UNSENT_STREAM = "Abrupt GOAWAY closed unsent stream", REFUSED_STREAM = "REFUSED_STREAM";

    private StatusClassifier() {}

    /** Whether the status was made on this side and proves that the server took nothing of the call up. */
    static boolean neverProcessed(Status status, boolean fromServer) {
        String description = status.getDescription();
        return !fromServer && status.getCode() == Status.Code.UNAVAILABLE && description != null
                && (description.contains(ABOVE_LAST_STREAM) || description.contains(UNSENT_STREAM) || description.contains(REFUSED_STREAM));
    }

    /**
     * The outcome that a status tells which the server itself sent; null where it tells only that the call broke, which
     * means what the attempt has come to.
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
