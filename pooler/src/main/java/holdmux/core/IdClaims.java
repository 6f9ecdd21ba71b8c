package holdmux.core;

import holdmux.core.Counters.Counter;
import holdmux.core.RequestIds.Verdict;
import holdmux.decision.SplitterApi.Effect;
import holdmux.statement.SqlState;
import holdmux.statement.Statement;
import holdmux.statement.StatementException;

/** Lets every front use each request id once, together with the other process of this pooler. */
public final class IdClaims {
    /** Only one in this many copies is logged. */
    private static final int COPIES_PER_LOG_LINE = 100;

    /** The id of one request while that is queued or open. */
    public final class Claim {
        private final RequestId id;
        private boolean ended;

        private Claim(RequestId id) {
            this.id = id;
        }

        /** Ends the claim; only the first call counts. A request that certainly never ran gives its id back. */
        public synchronized void end(boolean mayHaveRun) {
            if (ended) {
                return;
            }
            ended = true;
            if (mayHaveRun) {
                ids.retain(id, clock.now());
            } else {
                ids.release(id);
                peer.released(id);
            }
        }
    }

    private final RequestIds ids = new RequestIds();
    private final Clock clock;
    private final Counters counters;
    private volatile IdPeer peer = IdPeer.NONE;

    /** Creates an empty set of claims. */
    public IdClaims(Clock clock, Counters counters) {
        this.clock = clock;
        this.counters = counters;
    }

    /** Sets the other process to confirm ids with. */
    public void setPeer(IdPeer peer) {
        this.peer = peer;
    }

    /** Returns the ids known here. */
    public RequestIds ids() {
        return ids;
    }

    /**
     * Claims the id of a statement that was read. While another process of this pooler serves, this may block for a short
     * time.
     *
     * @throws StatementException if the id was used by another request, or cannot be checked
     */
    public Claim claim(Statement statement, Effect effect) throws StatementException {
        RequestId id = RequestId.of(statement.id);
        boolean repeatable = effect != Effect.AT_MOST_ONCE;
        Verdict verdict = ids.claim(id, repeatable, clock.now());
        if (verdict == Verdict.GRANTED) {
            verdict = confirmWithPeer(id, repeatable);
        }
        return switch (verdict) {
            case GRANTED -> new Claim(id);
            case IN_USE -> throw copied(statement);
            case FULL -> throw new StatementException(SqlState.TOO_MANY_CONNECTIONS, "the id of the request cannot be checked now");
        };
    }

    private Verdict confirmWithPeer(RequestId id, boolean repeatable) {
        Verdict verdict = peer.confirm(id, repeatable);
        if (verdict == null) {
            counters.count(Counter.UPGRADE_WORDS_MISSED);
            verdict = repeatable ? Verdict.GRANTED : Verdict.FULL;
        }
        if (verdict == Verdict.IN_USE) {
            ids.retain(id, clock.now());
        } else if (verdict == Verdict.FULL) {
            ids.release(id);
            peer.released(id); // its answer may only be late
        }
        return verdict;
    }

    private StatementException copied(Statement statement) {
        counters.count(Counter.IDS_REUSED);
        if (counters.get(Counter.IDS_REUSED) % COPIES_PER_LOG_LINE == 1) {
            Log.warn("a request has the id " + statement.id + " of another request");
        }
        return new StatementException(SqlState.INVALID_PARAMETER_VALUE, "another request has this id");
    }
}
