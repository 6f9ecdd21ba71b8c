package holdmux.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The shared state of one group of quote servers: the log of writes, how far each member has applied it, which member is
 * primary, the planned faults, and how often each request ran. The servers of both protocols use it.
 */
public final class QuoteGroup {
    private static final Pattern ID_PATTERN = Pattern.compile("\\bid=([^,*\\s]+)");
    private static final Pattern DEADLINE_PATTERN = Pattern.compile("\\bd=(\\d+)");
    private static final Pattern LITERAL_PATTERN = Pattern.compile("'((?:[^']|'')*)'");

    /** One server of the group; {@code lagMs} is its replication lag. */
    public static final class Member {
        public final String name;
        volatile long lagMs;
        volatile boolean draining;
        /** The highest position that it had; a position never goes back. */
        private long reachedMs;
        /** Its last load report, and when that is renewed. */
        private String report = "";
        private long reportExpiresAtMs;
        private volatile int inFlight;

        Member(String name) {
            this.name = name;
        }
    }

    /** One committed write; {@code commitMs} is Unix time in milliseconds. */
    private record LogEntry(long commitMs, String key, byte[] value) {}

    /** A parsed SQL statement: its request id, whether it writes, and its key and value literals. */
    record Statement(String id, boolean write, String key, byte[] value, boolean returning) {
        static Statement parse(String sql) {
            Matcher id = ID_PATTERN.matcher(sql);
            Matcher literal = LITERAL_PATTERN.matcher(sql);
            String key = literal.find() ? literal.group(1).replace("''", "'") : "";
            String value = literal.find() ? literal.group(1) : "";
            byte[] bytes = value.startsWith("\\x") ? HexFormat.of().parseHex(value.substring(2))
                    : value.getBytes(StandardCharsets.UTF_8);
            String upper = sql.stripLeading().toUpperCase(java.util.Locale.ROOT);
            return new Statement(id.find() ? id.group(1) : "", upper.startsWith("INSERT"), key, bytes,
                    upper.contains("RETURNING"));
        }
    }

    /** The complete arrival of a request at a server, at a time of {@link System#nanoTime}; {@code waitMs} is its deadline attribute. */
    public record Arrival(String server, String id, long atNs, long waitMs) {}

    /** A write reached a server that is not the primary; it has not run. */
    static final class ReadOnlyServerException extends Exception {
        private static final long serialVersionUID = 1L;

        ReadOnlyServerException() {
            super("cannot execute INSERT in a read-only transaction");
        }
    }

    private final Map<String, Member> members = new HashMap<>();
    private final List<LogEntry> log = new ArrayList<>();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private final Map<String, List<String>> executedOn = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<String, Deque<Fault>> plannedFaults = new HashMap<>();
    private final ServingLog servingLog = new ServingLog();
    private String primary;
    private long lastCommitMs;
    private long reportIntervalMs;
    private volatile boolean statusInEveryAnswer;
    private volatile long workMs;

    /** Adds a member; the first one becomes the primary. */
    public synchronized Member add(String name) {
        Member member = new Member(name);
        members.put(name, member);
        if (primary == null) {
            promote(name);
        }
        return member;
    }

    /** Makes another member the primary; the former one keeps its position until its lag has passed. */
    public synchronized void promote(String name) {
        if (primary != null) {
            positionMs(member(primary));
        }
        primary = name;
        servingLog.add(new ServingLog.Promotion(name, System.nanoTime()));
    }

    /** Returns what the servers served and stated. */
    public ServingLog servingLog() {
        return servingLog;
    }

    /** Sets how long a server's load report is repeated before it is renewed; 0, the default, renews it for each answer. */
    public synchronized void setReportInterval(long ms) {
        reportIntervalMs = ms;
    }

    /** Sets whether servers state their role and position in answers to probes and to commands without effect too, and at the start. */
    public void setStatusInEveryAnswer(boolean value) {
        statusInEveryAnswer = value;
    }

    /** Sets how long a PostgreSQL server takes over each request; 0 by default. */
    public void setWork(long ms) {
        workMs = ms;
    }

    long workMs() {
        return workMs;
    }

    boolean isStatusInEveryAnswer() {
        return statusInEveryAnswer;
    }

    /** Returns whether a member is the primary. */
    public synchronized boolean isPrimary(Member member) {
        return member.name.equals(primary);
    }

    /** Sets the replication lag of a replica. */
    public void setLag(String name, long ms) {
        member(name).lagMs = ms;
    }

    synchronized Member member(String name) {
        return members.get(name);
    }

    /** Plans faults for the next attempts of a request, one for each attempt, on whichever server it arrives. */
    public synchronized void planFaults(String id, Fault... planned) {
        plannedFaults.computeIfAbsent(id, i -> new ArrayDeque<>()).addAll(List.of(planned));
    }

    /** Takes the next planned fault of a request that arrived at a server; null if there is none. */
    synchronized Fault nextFault(String id) {
        Deque<Fault> planned = plannedFaults.get(id);
        return planned == null ? null : planned.poll();
    }

    /**
     * Runs a request and returns its result.
     *
     * @throws ReadOnlyServerException if it writes and the member is not the primary; it has not run then
     */
    byte[] run(Member member, Statement statement) throws ReadOnlyServerException {
        synchronized (this) {
            if (statement.write() && !isPrimary(member)) {
                throw new ReadOnlyServerException();
            }
            runCounts.merge(statement.id(), 1, Integer::sum);
            executedOn.computeIfAbsent(statement.id(), i -> new ArrayList<>()).add(member.name);
            if (statement.write()) {
                lastCommitMs = Math.max(lastCommitMs + 1, System.currentTimeMillis());
                log.add(new LogEntry(lastCommitMs, statement.key(), statement.value()));
                return statement.value();
            }
            long appliedMs = positionMs(member);
            for (int i = log.size() - 1; i >= 0; i--) {
                if (log.get(i).key().equals(statement.key()) && log.get(i).commitMs() <= appliedMs) {
                    return log.get(i).value();
                }
            }
            return ("quote " + statement.key()).getBytes(StandardCharsets.UTF_8);
        }
    }

    /** Returns the log position of a member as Unix time in milliseconds; on the primary never before the last commit. */
    synchronized long positionMs(Member member) {
        long now = System.currentTimeMillis();
        long position = isPrimary(member) ? Math.max(now, lastCommitMs) : now - member.lagMs;
        member.reachedMs = Math.max(member.reachedMs, position);
        return member.reachedMs;
    }

    /** Records a read that arrived completely and runs. */
    void recordRead(Member member, Statement statement, long connection, long atNs) {
        long ageMs = isPrimary(member) ? 0 : Math.max(0, System.currentTimeMillis() - positionMs(member));
        servingLog.add(new ServingLog.ServedRead(member.name, statement.id(), connection, atNs, ageMs * 1_000_000L));
    }

    /** Returns the load report of a member in its wire format. */
    synchronized String loadReport(Member member) {
        long now = System.currentTimeMillis();
        if (now >= member.reportExpiresAtMs) {
            member.report = newReport(member);
            member.reportExpiresAtMs = now + reportIntervalMs;
        }
        return member.report;
    }

    private String newReport(Member member) {
        return "x0=" + positionMs(member) / 1000.0 + ",x1=" + (isPrimary(member) ? 1 : 0) + ",inflight=" + member.inFlight
                + ",util=" + Math.min(1, member.inFlight / 4.0);
    }

    /** Returns the replication role of a member as reported on the wire. */
    String role(Member member) {
        return isPrimary(member) ? "primary" : "standby";
    }

    /** Counts a request in, for the load report. */
    void requestStarted(Member member) {
        synchronized (member) {
            member.inFlight++;
        }
    }

    /** Counts a request out, for the load report. */
    void requestEnded(Member member) {
        synchronized (member) {
            member.inFlight--;
        }
    }

    /** Records that a request arrived completely at a server, regardless of its outcome. */
    synchronized void recordArrival(Member member, String sql) {
        Matcher id = ID_PATTERN.matcher(sql);
        Matcher wait = DEADLINE_PATTERN.matcher(sql);
        arrivals.add(new Arrival(member.name, id.find() ? id.group(1) : "", System.nanoTime(),
                wait.find() ? Long.parseLong(wait.group(1)) : 0));
    }

    /** Returns the arrivals of all requests at servers, in order. */
    public synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Returns how often each request ran, by id. */
    public synchronized Map<String, Integer> runCounts() {
        return Map.copyOf(runCounts);
    }

    /** Returns the servers that ran a request, in order. */
    public synchronized List<String> executedOn(String id) {
        return List.copyOf(executedOn.getOrDefault(id, List.of()));
    }

    /** Returns how many writes of a key are in the log. */
    public synchronized long writeCount(String key) {
        return log.stream().filter(entry -> entry.key().equals(key)).count();
    }
}
