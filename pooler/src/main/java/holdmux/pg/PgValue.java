package holdmux.pg;

import holdmux.core.Cell;
import java.io.IOException;
import java.io.OutputStream;

/** A served answer of a PostgreSQL server; to a client of the same protocol its messages pass on as they came. */
final class PgValue implements Cell {
    private final Answer answer;
    private final ServerPool servers;

    PgValue(Answer answer, ServerPool servers) {
        this.answer = answer;
        this.servers = servers;
    }

    /** Whether it comes in pieces. */
    boolean isLong() {
        return answer.begun();
    }

    /** Passes on the messages, ReadyForQuery with them. */
    void relayTo(OutputStream out) throws IOException {
        if (answer.begun()) {
            servers.relay(answer, out, true);
        } else {
            answer.writeTo(out);
        }
    }

    @Override
    public String column() {
        return answer.column();
    }

    @Override
    public int length() {
        return answer.valueLength();
    }

    @Override
    public void writeTo(OutputStream out) throws IOException {
        if (answer.begun()) {
            servers.relay(answer, out, false);
        } else {
            answer.writeValueTo(out);
        }
    }

    @Override
    public void close() {
        servers.giveBack(answer);
    }
}
