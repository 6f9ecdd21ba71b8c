package holdmux.core;

import holdmux.decision.EndReason;
import holdmux.decision.Permission;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;

/** Counters of what the program accepts, sends and answers; docs/oncall.md says what each one means. */
public final class Counters {
    /** One counter; it is published under its own name in lower case. */
    public enum Counter {
        CLIENTS_ACCEPTED, CLIENTS_TURNED_AWAY, CLIENTS_CLOSED, EMPTY_QUERIES, REQUESTS_TAKEN, BAD_INPUT, IDS_REUSED,
        SERVED, LONG_ANSWERS, VALUES_UNFIT, REFUSED, FAILED, CLIENTS_LEFT, QUERIES_CANCELED, ANSWERS_UNDELIVERED, OVER_CAPACITY,
        QUERIES_WITHOUT_BUFFER,
        ATTEMPTS, ATTEMPT_OK, ATTEMPT_ERROR, ATTEMPT_FULL, ATTEMPT_TIMEOUT, ATTEMPT_CONNECT_FAILED, ATTEMPT_RESET,
        ATTEMPT_CANCELLED, ATTEMPT_MOOT, ATTEMPT_MISS,
        RETRIES, ENDED_NO_SERVER, ENDED_TIME_OVER, ENDED_NOT_REPEATABLE, ENDED_SERVERS_FAILED, ENDED_PROCESS_ENDS,
        ENDED_CLIENT_UNCERTAIN,
        ENDED_CLASS_DROPPED, ENDED_INTERNAL_ERROR,
        PROBES, PROBES_FAILED, PROBES_WITHHELD, SENDS_OUTDATED, WITHHELD_REQUEST_OVER, WITHHELD_CLIENT_UNCERTAIN, WITHHELD_NOT_REPEATABLE,
        WITHHELD_TIME_OVER, WITHHELD_LIST_UNCONFIRMED,
        WITHHELD_SERVER_DRAINING,
        WITHHELD_SERVER_GONE, WITHHELD_DATA_TOO_OLD, WITHHELD_OUT_OF_SCOPE,
        READS_BY_POSITION, READS_BY_CURRENT, READS_BY_LEASE, READS_BY_ROLE, READS_TOO_OLD, ROLE_CHANGES, STATUSES_MISSED,
        GATE_DISAGREEMENTS, WRITES_HELD_UP, WRITES_GIVEN_UP, VIOLATIONS_UNPERMITTED, VIOLATIONS_DRAIN, VIOLATIONS_CLIENT_GONE,
        VIOLATIONS_REPEAT, VIOLATIONS_NO_ANSWER,
        SERVER_CONNECTS, SERVER_REUSES, SERVER_IDLE_CLOSES, SERVER_STALE_CLOSES, SERVER_SURPLUS_CLOSES,
        LISTS_TAKEN, LISTS_REFUSED, ENTRIES_REFUSED, STALE_ENTRIES, DRAINS_TOLD, REMOVALS_TOLD,
        WATCH_CALLS, WATCH_FAILURES, WATCH_OVERDUE, WHOLE_LISTS_ASKED, LONG_SILENCES, LISTS_DISTRUSTED,
        ANSWERS_BEHIND, EMPTY_ADVANCES, THREAD_RESTARTS, RELOADS, RELOADS_REFUSED, RELOAD_RETRIES,
        MANAGEMENT_CALLS, MANAGEMENT_REFUSED, UPGRADE_WORDS_MISSED, CALLS, CALLS_TURNED_AWAY, TICKETS_ISSUED,
        TICKETS_REFUSED, READERS_CUT,
        POLICY_SWITCHES, POLICY_UNFIT, POLICY_POLLS_FAILED, POLICY_CLOSED, REFUSED_UNCONFIRMED, INTERNAL_ERRORS;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns the counter of requests that ended for this reason. */
        public static Counter forEndReason(EndReason reason) {
            return valueOf("ENDED_" + reason.name());
        }

        /** Returns the counter of sends that were withheld for this reason; {@link Permission#ALLOWED} has none. */
        public static Counter forWithheldSend(Permission denied) {
            return valueOf("WITHHELD_" + denied.name());
        }
    }

    private final Map<Counter, LongAdder> counts = new EnumMap<>(Counter.class);
    /** Values computed on demand, by name. Copied on each change; changes come only at start-up. */
    private volatile Map<String, Supplier<String>> computedStats = Map.of();

    /** Creates all counters at 0. */
    public Counters() {
        for (Counter counter : Counter.values()) {
            counts.put(counter, new LongAdder());
        }
        addStat("log_lines_dropped", () -> Long.toString(Log.dropped()));
    }

    /** Increments a counter by one. */
    public void count(Counter counter) {
        counts.get(counter).increment();
    }

    /** Increments a counter by {@code delta}. */
    public void add(Counter counter, long delta) {
        counts.get(counter).add(delta);
    }

    /** Returns a counter's current value. */
    public long get(Counter counter) {
        return counts.get(counter).sum();
    }

    /** Adds a value that is computed whenever the counters are read. */
    public synchronized void addStat(String name, Supplier<String> value) {
        Map<String, Supplier<String>> extended = new LinkedHashMap<>(computedStats);
        extended.put(name, value);
        computedStats = extended;
    }

    /** Returns the current values of all counters and computed values by name. */
    public Map<String, String> snapshot() {
        Map<String, String> all = new LinkedHashMap<>();
        counts.forEach((counter, figure) -> all.put(counter.toString(), Long.toString(figure.sum())));
        computedStats.forEach((name, value) -> all.put(name, value.get()));
        return all;
    }

    /** Returns all values as name=value, in one line. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder();
        snapshot().forEach((name, value) -> line.append(line.isEmpty() ? "" : " ").append(name).append('=').append(value));
        return line.toString();
    }
}
