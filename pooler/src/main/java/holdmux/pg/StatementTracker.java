package holdmux.pg;

import holdmux.core.Reply;
import holdmux.core.StatusListener;
import holdmux.decision.SplitterApi.Role;

/**
 * Follows one exchange with a server, so that a role stated in it counts when it is read, and one that may have been lost is
 * noted: servers' statements count from when they were written, whatever becomes of the rest of their answer. Used by one thread.
 */
final class StatementTracker {
    private final StatusListener listener;
    private final long serverId, askedAt;
    private boolean written, settled;

    /** Creates a tracker for an exchange that began at {@code askedAt}, on the clock of the pooler. */
    StatementTracker(StatusListener listener, long serverId, long askedAt) {
        this.listener = listener;
        this.serverId = serverId;
        this.askedAt = askedAt;
    }

    /** The query is written: from now on the server may state something. */
    void queryWritten() {
        written = true;
    }

    /** What has been read of an answer that is not complete yet. */
    void partlyRead(Reply status) {
        if (!settled && status.role() != Role.UNKNOWN) {
            settled = true;
            listener.stated(serverId, askedAt, status);
        }
    }

    /** The answer was read to its end, or its status is awaited by whoever streams it. */
    void answerTaken() {
        settled = true;
    }

    /** The exchange is over. */
    void end() {
        if (written && !settled) {
            listener.missed(serverId);
        }
    }
}
