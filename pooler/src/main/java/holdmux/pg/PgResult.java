package holdmux.pg;

import holdmux.core.Reply;
import holdmux.core.ScalarResult;
import java.io.IOException;
import java.io.OutputStream;

/** A served answer from a PostgreSQL server; its messages are forwarded unchanged to clients of the same protocol. */
final class PgResult implements ScalarResult {
    private final Answer answer;
    private final ServerPool servers;
    private final boolean wasStreamed;

    PgResult(Answer answer, ServerPool servers) {
        this.answer = answer;
        this.servers = servers;
        wasStreamed = answer.isStreaming();
    }

    /** Whether the value is streamed from the server instead of being buffered. */
    boolean isStreamed() {
        return answer.isStreaming();
    }

    @Override
    public boolean isStatusPending() {
        return answer.isStreaming();
    }

    @Override
    public Reply statusBehind() {
        return wasStreamed && answer.isServed() ? answer.reply() : null;
    }

    /** Forwards the messages, including ReadyForQuery. */
    void relayTo(OutputStream out) throws IOException {
        if (answer.isStreaming()) {
            servers.relay(answer, out, true);
        } else {
            answer.writeTo(out);
        }
    }

    @Override
    public String column() {
        return answer.columnName();
    }

    @Override
    public int length() {
        return answer.valueLength();
    }

    @Override
    public void writeTo(OutputStream out) throws IOException {
        if (answer.isStreaming()) {
            servers.relay(answer, out, false);
        } else {
            answer.writeValueTo(out);
        }
    }

    @Override
    public void close() {
        servers.releaseAnswer(answer);
    }
}
