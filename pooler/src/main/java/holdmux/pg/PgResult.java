package holdmux.pg;

import holdmux.core.ScalarResult;
import java.io.IOException;
import java.io.OutputStream;

/** A served answer of a PostgreSQL server; to a client of the same protocol its messages pass on as they came. */
final class PgResult implements ScalarResult {
    private final Answer answer;
    private final ServerPool servers;

    PgResult(Answer answer, ServerPool servers) {
        this.answer = answer;
        this.servers = servers;
    }

    /** Whether it comes in pieces. */
    boolean isStreamed() {
        return answer.isStreaming();
    }

    /** Passes on the messages, ReadyForQuery with them. */
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
