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
 * One group of quote servers as data: a log of writes, members that have applied it up to some place, who is primary,
 * faults waiting for requests, and how often each request ran. Servers of either protocol play it.
 */
public final class QuoteGroup {
    private static final Pattern ID_PATTERN = Pattern.compile("\\bid=([^,*\\s]+)");
    private static final Pattern DEADLINE_PATTERN = Pattern.compile("\\bd=(\\d+)");
    private static final Pattern LITERAL_PATTERN = Pattern.compile("'((?:[^']|'')*)'");

    /** One server of the group; {@code lagMs} is how far its data is behind. */
    public static final class Member {
        public final String name;
        volatile long lagMs;
        volatile boolean draining;
        private volatile int inFlight;

        Member(String name) {
            this.name = name;
        }
    }

    /** One write in the log: its commit as Unix time in milliseconds. */
    private record LogEntry(long commitMs, String key, byte[] value) {}

    /** A statement as a server reads it. */
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

    /** A request that has come whole to a server, when on {@link System#nanoTime}, and how long it says its client waits. */
    public record Arrival(String server, String id, long atNs, long waitMs) {}

    /** The wrong server for this request: no primary for a write. */
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
    private String primary;
    private long lastCommitMs;

    /** Adds a member; the first is the primary. */
    public synchronized Member add(String name) {
        Member member = new Member(name);
        members.put(name, member);
        primary = primary == null ? name : primary;
        return member;
    }

    /** Makes another member the primary. */
    public synchronized void promote(String name) {
        primary = name;
    }

    public synchronized boolean isPrimary(Member member) {
        return member.name.equals(primary);
    }

    /** Lets a replica's data be so far behind. */
    public void setLag(String name, long ms) {
        member(name).lagMs = ms;
    }

    synchronized Member member(String name) {
        return members.get(name);
    }

    /** The next runs of this request meet these faults, one each, whichever server they come to. */
    public synchronized void planFaults(String id, Fault... planned) {
        plannedFaults.computeIfAbsent(id, i -> new ArrayDeque<>()).addAll(List.of(planned));
    }

    /** What a request meets that has come whole to a server; null for nothing. */
    synchronized Fault nextFault(String id) {
        Deque<Fault> planned = plannedFaults.get(id);
        return planned == null ? null : planned.poll();
    }

    /** Runs a request: what it gives, or that this server may not take it, by which it has not run. */
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

    /** Up to where a member has the log, as Unix time in milliseconds; of the primary never before its last commit. */
    synchronized long positionMs(Member member) {
        long now = System.currentTimeMillis();
        return isPrimary(member) ? Math.max(now, lastCommitMs) : now - member.lagMs;
    }

    /** A load report in the form of the wire. */
    String loadReport(Member member) {
        return "x0=" + positionMs(member) / 1000.0 + ",x1=" + (isPrimary(member) ? 1 : 0) + ",inflight=" + member.inFlight
                + ",util=" + Math.min(1, member.inFlight / 4.0);
    }

    String role(Member member) {
        return isPrimary(member) ? "primary" : "standby";
    }

    void requestStarted(Member member) {
        synchronized (member) {
            member.inFlight++;
        }
    }

    void requestEnded(Member member) {
        synchronized (member) {
            member.inFlight--;
        }
    }

    /** Notes that a request has come whole to a server, whatever becomes of it. */
    synchronized void recordArrival(Member member, String sql) {
        Matcher id = ID_PATTERN.matcher(sql);
        Matcher wait = DEADLINE_PATTERN.matcher(sql);
        arrivals.add(new Arrival(member.name, id.find() ? id.group(1) : "", System.nanoTime(),
                wait.find() ? Long.parseLong(wait.group(1)) : 0));
    }

    /** All requests that came to a server, in order. */
    public synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** How often each request ran, by id. */
    public synchronized Map<String, Integer> runCounts() {
        return Map.copyOf(runCounts);
    }

    /** The servers that ran a request, in order. */
    public synchronized List<String> executedOn(String id) {
        return List.copyOf(executedOn.getOrDefault(id, List.of()));
    }

    /** How many writes the log holds under a key. */
    public synchronized long writeCount(String key) {
        return log.stream().filter(entry -> entry.key().equals(key)).count();
    }
}
