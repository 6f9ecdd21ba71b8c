package holdmux.app.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges what poolers were seen to serve under against what was put in force when. No clock and no I/O: all times are the
 * watcher's, in milliseconds. The rules: nobody serves a version before it was asked to be put in force, nor one that was
 * followed by another for longer than the bound and the delay.
 */
final class Audit {
    /** One look at one pooler: what it said between these two moments. */
    record Observation(String pooler, long startMs, long endMs, long version, boolean closed) {}

    /** One activation: asked for, and surely in the log, at the latest, at these moments. */
    private record Change(long version, long askedMs, long doneMs, long delayMs) {}

    /** What was seen longer ago says nothing of now: the pooler may be down. */
    private static final long MAX_OBSERVATION_AGE_MS = 500;

    private final long boundMs;
    private final List<Change> changes = new ArrayList<>();
    private final List<Observation> observations = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    Audit(long boundMs) {
        this.boundMs = boundMs;
    }

    /** Version 0 stands for none: nobody is to serve under it. */
    void recordActivation(long version, long askedMs, long doneMs, long delayMs) {
        changes.add(new Change(version, askedMs, doneMs, delayMs));
    }

    void recordObservation(Observation observation) {
        observations.add(observation);
    }

    void recordViolation(String violation) {
        violations.add(violation);
    }

    int observationCount() {
        return observations.size();
    }

    /** All that was wrong, in words; judged once every change of which the outcome was unknown has been told. */
    List<String> findViolations() {
        List<String> found = new ArrayList<>(violations);
        for (Observation observation : observations) {
            if (!observation.closed() && !isAllowed(observation)) {
                found.add(observation.pooler() + " served under version " + observation.version() + " at " + observation.startMs() + " to "
                        + observation.endMs() + " ms; changes were " + changes);
            }
        }
        return found;
    }

    /** Whether the look's version was in force at some moment that the rules let it be served from. */
    private boolean isAllowed(Observation observation) {
        for (int i = 0; i < changes.size(); i++) {
            Change change = changes.get(i);
            boolean started = change.askedMs() <= observation.endMs();
            // the next change counts from when it was surely in the log
            boolean superseded = i + 1 < changes.size()
                    && observation.startMs() > changes.get(i + 1).doneMs() + boundMs + changes.get(i + 1).delayMs();
            if (change.version() == observation.version() && started && !superseded) {
                return true;
            }
        }
        return false;
    }

    /** The longest that two poolers were seen to serve different versions at once, in milliseconds. */
    long longestMixedMs() {
        TreeMap<Long, List<Observation>> byTime = new TreeMap<>();
        observations.forEach(observation -> byTime.computeIfAbsent(observation.endMs(), t -> new ArrayList<>()).add(observation));
        Map<String, Observation> latest = new TreeMap<>();
        long mixedSince = -1;
        long longest = 0;
        for (Map.Entry<Long, List<Observation>> entry : byTime.entrySet()) {
            entry.getValue().forEach(observation -> latest.put(observation.pooler(), observation));
            long versions = latest.values().stream().filter(l -> !l.closed() && entry.getKey() - l.endMs() <= MAX_OBSERVATION_AGE_MS)
                    .mapToLong(Observation::version).distinct().count();
            longest = mixedSince < 0 ? longest : Math.max(longest, entry.getKey() - mixedSince);
            mixedSince = versions <= 1 ? -1 : mixedSince < 0 ? entry.getKey() : mixedSince;
        }
        return longest;
    }
}
