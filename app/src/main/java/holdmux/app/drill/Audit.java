package holdmux.app.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the policy versions that poolers were observed to serve against the activations of those versions. Has no clock and
 * does no I/O: all times are the observer's, in milliseconds. A pooler must not serve a version before its activation was
 * requested, nor for longer than the staleness bound plus the activation's delay after the next activation.
 */
final class Audit {
    /** The state that a pooler reported at some moment between the start and the end of one query. */
    record Observation(String pooler, long startMs, long endMs, long version, boolean closed) {}

    /** An activation: when it was requested, and the time by which it was certainly in the log. */
    private record Change(long version, long askedMs, long doneMs, long delayMs) {}

    /** An older observation says nothing about the present, because the pooler may be down. */
    private static final long MAX_OBSERVATION_AGE_MS = 500;

    private final long boundMs;
    private final List<Change> changes = new ArrayList<>();
    private final List<Observation> observations = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /** {@code boundMs}: how long a pooler may serve a version that has been superseded. */
    Audit(long boundMs) {
        this.boundMs = boundMs;
    }

    /** Records an activation. Version 0 stands for none; no pooler may serve under it. */
    void recordActivation(long version, long askedMs, long doneMs, long delayMs) {
        changes.add(new Change(version, askedMs, doneMs, delayMs));
    }

    /** Records the observation of a pooler. */
    void recordObservation(Observation observation) {
        observations.add(observation);
    }

    /** Records a violation that was found elsewhere, described as text. */
    void recordViolation(String violation) {
        violations.add(violation);
    }

    /** The number of observations recorded. */
    int observationCount() {
        return observations.size();
    }

    /** Describes all violations. To be called once the outcome of every activation is known and recorded. */
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

    /** Whether some activation of the observed version permits serving it at the time of the observation. */
    private boolean isAllowed(Observation observation) {
        for (int i = 0; i < changes.size(); i++) {
            Change change = changes.get(i);
            boolean started = change.askedMs() <= observation.endMs();
            // the next activation supersedes this one from when it was certainly in the log
            boolean superseded = i + 1 < changes.size()
                    && observation.startMs() > changes.get(i + 1).doneMs() + boundMs + changes.get(i + 1).delayMs();
            if (change.version() == observation.version() && started && !superseded) {
                return true;
            }
        }
        return false;
    }

    /** The longest period during which poolers were observed to serve different versions, in milliseconds. */
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
