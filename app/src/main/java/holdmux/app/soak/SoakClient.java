package holdmux.app.soak;

import holdmux.app.demo.PgClient;
import holdmux.app.soak.FreshnessAudit.ReadAsked;
import holdmux.app.soak.SoakAudit.Asked;
import holdmux.standins.Fault;
import holdmux.standins.QuoteGroup;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** A client of one pooler: sends requests one after another in its own session, and sometimes disconnects before the answer. */
final class SoakClient implements Runnable {
    /** A request class of the configuration of {@code StandIns}, and the longest deadline that requests of it are given. */
    private enum Kind {
        RATE("rate-lookup", 1_200, 300), OWN("my-quotes", 1_000, UNBOUNDED), HISTORY("history", 1_500, UNBOUNDED),
        CHECK("quote-check", 2_000, 0), WRITE("save-quote", 3_000, UNBOUNDED);

        final String className;
        final int maxWaitMs;
        /** How old the data may be; 0 if the read must see everything, {@link #UNBOUNDED} if other checks or none apply. */
        final int boundMs;

        Kind(String className, int maxWaitMs, int boundMs) {
            this.className = className;
            this.maxWaitMs = maxWaitMs;
            this.boundMs = boundMs;
        }
    }

    private static final int UNBOUNDED = -1;
    /** The faults that are drawn for a request, and those of the role that its server states, which have draws of their own. */
    private static final List<Fault.Kind> FAULTS = Arrays.stream(Fault.Kind.values()).filter(kind -> !kind.affectsStatus()).toList();
    private static final List<Fault.Kind> STATUS_FAULTS = Arrays.stream(Fault.Kind.values()).filter(Fault.Kind::affectsStatus).toList();
    private static final int STATUS_FAULT_ONE_IN = 12, STATUS_FAULT_ONE_IN_IF_SPARSE = 3;
    /** Rests of clients that send few requests, so that a pooler hears little of its servers. */
    private static final int REST_ONE_IN = 2, MIN_REST_MS = 300, MAX_REST_MS = 1_200;
    private static final int PAUSE_MS = 25, MIN_WAIT_MS = 300, ABANDONED_ONE_IN = 15, FAULTY_ONE_IN = 20, COPIED_ONE_IN = 10,
            ANSWER_GRACE_MS = 1_500, COPY_TIMEOUT_MS = 200;

    private static final long NANOS_PER_MS = 1_000_000L;
    /** The SQLSTATE of a copy of a request that was read, and what stands for the answer of a copy that got none. */
    private static final String ID_IN_USE = "22023", NO_ANSWER = "none";

    private final SoakPooler pooler;
    private final boolean sparse;
    private final String name;
    private final QuoteGroup group;
    private final SoakAudit audit;
    private final SplittableRandom random, statusRandom;
    private final BooleanSupplier finished;
    private PgClient connection;
    /** Whether the connection has carried a request before, so that it was idle and the pooler may close it. */
    private boolean connectionReused;
    /** The session's last acknowledged write since its pooler started. Reads must return it or one of {@link #uncertain}. */
    private String acknowledged;
    /** Writes that may have run, or may still run late. */
    private final Set<String> uncertain = new HashSet<>();
    private int incarnation, kills;
    /** The incarnation that the connection was opened to; a rest may outlast it. */
    private int connectedTo;
    /** How many crowds the pooler had seen the end of when the connection carried its last answer. */
    private int crowdsAtLastUse;
    private int requestCount;

    SoakClient(SoakPooler pooler, int number, boolean sparse, QuoteGroup group, SoakAudit audit, long seed,
            BooleanSupplier finished) {
        this.pooler = pooler;
        this.sparse = sparse;
        name = pooler.name + "-" + number;
        this.group = group;
        this.audit = audit;
        random = new SplittableRandom(seed);
        statusRandom = new SplittableRandom(~seed);
        this.finished = finished;
    }

    @Override
    public void run() {
        try {
            while (!finished.getAsBoolean()) {
                sendNextRequest();
                Thread.sleep(random.nextInt(2 * PAUSE_MS));
                if (sparse && statusRandom.nextInt(REST_ONE_IN) == 0) {
                    rest(statusRandom.nextInt(MIN_REST_MS, MAX_REST_MS));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    /** Sends nothing for a while. While the process ends, clients use their connections without rest. */
    private void rest(long ms) throws InterruptedException {
        long endNs = System.nanoTime() + ms * NANOS_PER_MS;
        while (System.nanoTime() < endNs && !pooler.isTerminating() && !finished.getAsBoolean()) {
            Thread.sleep(PAUSE_MS);
        }
    }

    private void sendNextRequest() throws InterruptedException {
        if (incarnation != pooler.incarnation()) {
            incarnation = pooler.incarnation();
            acknowledged = null;
        }
        kills = pooler.kills();
        if (connection == null && !connect()) {
            return;
        }
        Kind kind = random.nextInt(4) == 0 ? Kind.WRITE : Kind.values()[random.nextInt(Kind.values().length - 1)];
        int waitMs = MIN_WAIT_MS + random.nextInt(kind.maxWaitMs - MIN_WAIT_MS);
        String id = name + "-" + ++requestCount;
        if (random.nextInt(FAULTY_ONE_IN) == 0) {
            Fault.Kind fault = FAULTS.get(random.nextInt(FAULTS.size()));
            boolean provesNoRun = fault == Fault.Kind.FULL || fault == Fault.Kind.MISS;
            group.planFaults(id, Fault.of(fault, provesNoRun || random.nextBoolean() ? Fault.Phase.BEFORE_RUN : Fault.Phase.AFTER_RUN));
        }
        planStatusFault(kind, id);
        if (kind.boundMs != UNBOUNDED) {
            audit.freshness().recordRead(new ReadAsked(id, pooler.name, System.nanoTime(), kind.boundMs * NANOS_PER_MS));
        }
        if (random.nextInt(ABANDONED_ONE_IN) == 0) {
            sendAndDisconnect(kind, id, waitMs);
        } else {
            sendAndAwaitAnswer(kind, id, waitMs);
        }
    }

    /** Plans a fault of the stated role; not while the process ends, which then takes as long as the last silent answer. */
    private void planStatusFault(Kind kind, String id) {
        boolean drawn = statusRandom.nextInt(sparse ? STATUS_FAULT_ONE_IN_IF_SPARSE : STATUS_FAULT_ONE_IN) == 0;
        if (drawn && kind != Kind.WRITE && !pooler.isTerminating()) {
            group.planFaults(id, Fault.of(STATUS_FAULTS.get(statusRandom.nextInt(STATUS_FAULTS.size())), Fault.Phase.AFTER_RUN));
        }
    }

    private boolean connect() throws InterruptedException {
        try {
            connection = new PgClient(pooler.port(), Kind.WRITE.maxWaitMs + ANSWER_GRACE_MS);
            connectionReused = false;
            connectedTo = pooler.incarnation();
            return true;
        } catch (IOException e) {
            Thread.sleep(PAUSE_MS);
            return false;
        }
    }

    private void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // closing failed: nothing else to release
        }
        connection = null;
    }

    /** Sends a request and closes the connection a little later, whether or not an answer has come. */
    private void sendAndDisconnect(Kind kind, String id, int waitMs) throws InterruptedException {
        long sent = System.nanoTime();
        try {
            connection.send(sql(kind, id, waitMs));
            Thread.sleep(random.nextInt(60));
        } catch (IOException e) {
            // the request may have been sent: it still counts as abandoned
        }
        disconnect();
        if (kind == Kind.WRITE) {
            uncertain.add(id);
        }
        audit.recordRequest(new Asked(id, pooler.name, kind == Kind.WRITE, sent, waitMs * 1_000_000L, 0, System.nanoTime(), false));
    }

    private void sendAndAwaitAnswer(Kind kind, String id, int waitMs) {
        boolean write = kind == Kind.WRITE;
        Map<String, String> rows = new HashMap<>();
        long sent = System.nanoTime();
        long answered = 0;
        boolean excused = false;
        String copyAnswer = null;
        try {
            connection.send(sql(kind, id, waitMs));
            if (random.nextInt(COPIED_ONE_IN) == 0) {
                copyAnswer = sendCopy(kind, id, waitMs, sent);
            }
            String sqlState = connection.receive(rows);
            answered = System.nanoTime();
            if (copyAnswer != null && copyAnswer.isEmpty() && sqlState.isEmpty()) {
                audit.reportViolation("copy: " + id + " was served twice");
            }
            connectionReused = true;
            crowdsAtLastUse = pooler.isCrowded() ? pooler.crowds() - 1 : pooler.crowds();
            if (write) {
                recordWriteResult(id, sqlState);
            } else if (kind == Kind.OWN && sqlState.isEmpty()) {
                checkRead(id, rows.get(PgClient.VALUE_COLUMN));
            }
        } catch (IOException e) {
            boolean copyMayHaveRun = copyAnswer != null && !copyAnswer.equals(ID_IN_USE);
            excused = !(e instanceof SocketTimeoutException) && isExcused(id, copyMayHaveRun);
            if (!excused) {
                audit.reportViolation("no answer: " + id + " after " + (System.nanoTime() - sent) / 1_000_000 + " ms: " + e);
            }
            disconnect();
            if (write) {
                uncertain.add(id);
            }
        }
        audit.recordRequest(new Asked(id, pooler.name, write, sent, waitMs * 1_000_000L, answered, 0, excused));
    }

    /**
     * Sends the id of a request that is open once more, over a connection of its own. The copy may run where the request was
     * refused, or was not read because its connection was being closed; so it has only the time that is left.
     *
     * @return the SQLSTATE of the answer, or an empty string if the copy was served, or {@link #NO_ANSWER}
     */
    private String sendCopy(Kind kind, String id, int waitMs, long sentAt) {
        uncertain.add(id);
        try (PgClient other = new PgClient(pooler.port(), COPY_TIMEOUT_MS)) {
            int elapsedMs = (int) ((System.nanoTime() - sentAt) / 1_000_000);
            return other.query(sql(kind, id, Math.max(1, waitMs - elapsedMs)), new HashMap<>());
        } catch (IOException e) {
            return NO_ANSWER; // the pooler is restarting or crowded
        }
    }

    /**
     * Returns whether a close without an answer is accepted: the pooler was killed, or it closed an idle connection while the
     * request was in flight. An arrival at a server shows that the request was read, unless it may be that of a copy.
     */
    private boolean isExcused(String id, boolean copyMayHaveRun) {
        boolean forwarded = !copyMayHaveRun && group.arrivals().stream().anyMatch(arrival -> arrival.id().equals(id));
        boolean sameIncarnation = pooler.process().isAlive() && connectedTo == pooler.incarnation();
        return pooler.isKilled() || killedSince() || !sameIncarnation && !forwarded
                || (pooler.isTerminating() || wasCrowdedSinceLastUse() && connectionReused) && !forwarded;
    }

    /** Whether the pooler had a reason to close the connection between this request and the one before. */
    private boolean wasCrowdedSinceLastUse() {
        return pooler.isCrowded() || pooler.crowds() != crowdsAtLastUse;
    }

    private boolean killedSince() {
        return kills != pooler.kills();
    }

    private void recordWriteResult(String id, String sqlState) {
        if (sqlState.isEmpty()) {
            acknowledged = id;
        } else if (!sqlState.equals("53300") && !sqlState.equals("57P03")) {
            uncertain.add(id);
        }
    }

    private void checkRead(String id, String value) {
        boolean sameIncarnation = incarnation == pooler.incarnation() && kills == pooler.kills();
        if (acknowledged != null && sameIncarnation && !value.equals(acknowledged) && !uncertain.contains(value)) {
            audit.reportViolation("stale: " + id + " read " + value + " where " + acknowledged + " or " + uncertain + " may be read");
        }
    }

    private String sql(Kind kind, String id, int waitMs) {
        String attributes = " /* id=" + id + ",c=" + kind.className + ",d=" + waitMs + ",cluster=1 */";
        if (kind == Kind.WRITE) {
            String value = HexFormat.of().formatHex(id.getBytes(StandardCharsets.UTF_8));
            return "INSERT INTO facts (code, data) VALUES ('" + name + "', '\\x" + value + "') RETURNING data" + attributes;
        }
        return "SELECT data FROM facts WHERE code = '" + name + "'" + attributes;
    }
}
