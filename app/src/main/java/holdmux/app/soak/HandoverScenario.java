package holdmux.app.soak;

import holdmux.app.demo.PgClient;
import holdmux.app.drill.PoolerProcess;
import holdmux.app.soak.FreshnessAudit.ReadAsked;
import holdmux.standins.Fault;
import holdmux.standins.QuoteGroup;
import holdmux.standins.StandIns;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;

/**
 * Hands the primary role to another server while the statement of the former primary, that it is a standby now, gets lost in
 * one of several ways on its way to a pooler process. After a quiet time reads follow. {@link FreshnessAudit} judges them.
 */
public final class HandoverScenario {
    /** How the former primary's statement of its role reaches the pooler, or does not. */
    public enum StatementLoss {
        /** It arrives behind its row. */
        NONE(null),
        /** It follows 80 ms behind its row. */
        LATE(Fault.Kind.LATE_STATUS),
        /** It is read, and the row behind it never comes: the attempt is given up. */
        GIVEN_UP(Fault.Kind.STATUS_ONLY),
        /** The whole answer is written, and held up on its way beyond the reads that follow. */
        HELD_UP(Fault.Kind.HELD_UP),
        /** As {@link #HELD_UP}, and the client leaves meanwhile. */
        CLIENT_LEAVES(Fault.Kind.HELD_UP);

        private final Fault.Kind fault;

        StatementLoss(Fault.Kind fault) {
            this.fault = fault;
        }
    }

    /**
     * Result of one scenario.
     *
     * @param loss what became of the statement
     * @param served reads that were served after the quiet time
     * @param violations reads that were served from data older than allowed
     */
    public record Result(StatementLoss loss, long served, List<String> violations) {
        /** Returns whether reads were served and none from data that are too old. */
        public boolean isPassed() {
            return served > 0 && violations.isEmpty();
        }
    }

    private static final long NANOS_PER_MS = 1_000_000L;
    private static final int MEMORY_MB = 192, SOCKETS = 1_024, CLIENT_TIMEOUT_MS = 3_000;
    private static final int WARM_UP_READS = 20, FOLLOWING_READS = 12;
    private static final long LAG_MS = 5_000, READ_INTERVAL_MS = 15, QUIET_MS = 450;
    /** How long servers take over a request, when in that time the role changes, and how long after its start the client leaves. */
    private static final long WORK_MS = 60, HAND_OVER_AFTER_MS = 30, CLIENT_LEAVES_AFTER_MS = 100;
    /** How long a load report is repeated before it is renewed. */
    private static final long REPORT_INTERVAL_MS = 230;
    private static final long IN_FLIGHT_NS = 50 * NANOS_PER_MS, RATE_BOUND_NS = 300 * NANOS_PER_MS;
    /** The longest wait for the answer to the read that carries the statement. */
    private static final int CARRIER_WAIT_MS = 400, READ_WAIT_MS = 1_200;
    private static final String POOLER = "p", FORMER_PRIMARY = "s-1", NEW_PRIMARY = "s-2";
    private static final List<String> SERVERS = List.of(FORMER_PRIMARY, NEW_PRIMARY, "s-3", "s-4");

    private final StatementLoss loss;
    private final boolean statusInEveryAnswer;
    private final Path folder;
    private final StandIns standIns;
    private final FreshnessAudit audit = new FreshnessAudit(IN_FLIGHT_NS);
    private PoolerProcess pooler;
    private int lastId;

    private HandoverScenario(StatementLoss loss, boolean statusInEveryAnswer, Path folder, StandIns standIns) {
        this.loss = loss;
        this.statusInEveryAnswer = statusInEveryAnswer;
        this.folder = folder;
        this.standIns = standIns;
    }

    /**
     * Runs one scenario.
     *
     * @param statusInEveryAnswer whether servers state their role in answers to probes and the like too
     * @param folder where the pooler writes its files
     */
    public static Result runScenario(StatementLoss loss, boolean statusInEveryAnswer, Path folder) throws Exception {
        try (StandIns standIns = new StandIns()) {
            for (String server : SERVERS) {
                standIns.start(server, StandIns.PG_KIND);
                standIns.group().setLag(server, LAG_MS);
            }
            HandoverScenario scenario = new HandoverScenario(loss, statusInEveryAnswer, folder, standIns);
            try {
                return scenario.run();
            } finally {
                scenario.stop();
            }
        }
    }

    private Result run() throws Exception {
        QuoteGroup group = standIns.group();
        group.setReportInterval(REPORT_INTERVAL_MS);
        group.setWork(WORK_MS);
        group.setStatusInEveryAnswer(statusInEveryAnswer);
        int port = StandIns.freePort();
        pooler = new PoolerProcess(POOLER, port, folder, standIns.config(port, MEMORY_MB, SOCKETS), List.of());
        pooler.start();
        pooler.awaitListening();
        sendReads(WARM_UP_READS);
        handOver();
        Thread.sleep(QUIET_MS);
        long served = sendReads(FOLLOWING_READS);
        return new Result(loss, served, audit.verdict(group.servingLog()));
    }

    /** Changes the primary while it works on a read, in whose answer it states its new role. */
    private void handOver() throws Exception {
        String id = nextId();
        if (loss.fault != null) {
            standIns.group().planFaults(id, Fault.of(loss.fault, Fault.Phase.AFTER_RUN));
        }
        try (PgClient client = new PgClient(port(), CLIENT_TIMEOUT_MS)) {
            client.send(sql(id, RATE_BOUND_NS, CARRIER_WAIT_MS));
            Thread.sleep(HAND_OVER_AFTER_MS);
            standIns.group().promote(NEW_PRIMARY);
            if (loss == StatementLoss.CLIENT_LEAVES || loss == StatementLoss.HELD_UP) {
                Thread.sleep(CLIENT_LEAVES_AFTER_MS - HAND_OVER_AFTER_MS);
            }
            if (loss == StatementLoss.HELD_UP) {
                Thread.sleep(QUIET_MS);
                sendReads(FOLLOWING_READS);
            }
            if (loss != StatementLoss.CLIENT_LEAVES) {
                client.receive(new HashMap<>());
            }
        }
    }

    private int port() {
        return pooler.port;
    }

    private String nextId() {
        return POOLER + "-" + ++lastId;
    }

    /** Sends reads of both kinds in turn, each on a connection of its own; returns how many were served. */
    private long sendReads(int count) throws Exception {
        long served = 0;
        for (int i = 0; i < count; i++) {
            try (PgClient client = new PgClient(port(), CLIENT_TIMEOUT_MS)) {
                String sql = sql(nextId(), i % 2 == 0 ? RATE_BOUND_NS : 0, READ_WAIT_MS);
                served += client.query(sql, new HashMap<>()).isEmpty() ? 1 : 0;
            } catch (IOException e) {
                throw new IOException("a read was not answered; log: " + pooler.log(), e);
            }
            Thread.sleep(READ_INTERVAL_MS);
        }
        return served;
    }

    private String sql(String id, long boundNs, int waitMs) {
        audit.recordRead(new ReadAsked(id, POOLER, System.nanoTime(), boundNs));
        return "SELECT data FROM facts WHERE code = 'k' /* id=" + id + ",c=" + (boundNs > 0 ? "rate-lookup" : "quote-check") + ",d="
                + waitMs + ",cluster=1 */";
    }

    private void stop() {
        if (pooler != null) {
            pooler.kill();
        }
    }
}
