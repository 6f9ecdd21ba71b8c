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
    record Look(String pooler, long beganMs, long endedMs, long version, boolean closed) {}

    /** One activation: asked for, and surely in the log, at the latest, at these moments. */
    private record Change(long version, long askedMs, long doneMs, long delayMs) {}

    /** What was seen longer ago says nothing of now: the pooler may be down. */
    private static final long FRESH_MS = 500;

    private final long boundMs;
    private final List<Change> changes = new ArrayList<>();
    private final List<Look> looks = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();

    Audit(long boundMs) {
        this.boundMs = boundMs;
    }

    /** Version 0 stands for none: nobody is to serve under it. */
    void changed(long version, long askedMs, long doneMs, long delayMs) {
        changes.add(new Change(version, askedMs, doneMs, delayMs));
    }

    void looked(Look look) {
        looks.add(look);
    }

    void broken(String words) {
        broken.add(words);
    }

    int looks() {
        return looks.size();
    }

    /** All that was wrong, in words; judged once every change of which the outcome was unknown has been told. */
    List<String> verdict() {
        List<String> all = new ArrayList<>(broken);
        for (Look look : looks) {
            if (!look.closed() && !allowed(look)) {
                all.add(look.pooler() + " served under version " + look.version() + " at " + look.beganMs() + " to "
                        + look.endedMs() + " ms; changes were " + changes);
            }
        }
        return all;
    }

    /** Whether the look's version was in force at some moment that the rules let it be served from. */
    private boolean allowed(Look look) {
        for (int i = 0; i < changes.size(); i++) {
            Change change = changes.get(i);
            boolean begun = change.askedMs() <= look.endedMs();
            // the next change counts from when it was surely in the log
            boolean over = i + 1 < changes.size()
                    && look.beganMs() > changes.get(i + 1).doneMs() + boundMs + changes.get(i + 1).delayMs();
            if (change.version() == look.version() && begun && !over) {
                return true;
            }
        }
        return false;
    }

    /** The longest that two poolers were seen to serve different versions at once, in milliseconds. */
    long longestMixed() {
        TreeMap<Long, List<Look>> byTime = new TreeMap<>();
        looks.forEach(look -> byTime.computeIfAbsent(look.endedMs(), t -> new ArrayList<>()).add(look));
        Map<String, Look> last = new TreeMap<>();
        long since = -1;
        long longest = 0;
        for (Map.Entry<Long, List<Look>> at : byTime.entrySet()) {
            at.getValue().forEach(look -> last.put(look.pooler(), look));
            long versions = last.values().stream().filter(l -> !l.closed() && at.getKey() - l.endedMs() <= FRESH_MS)
                    .mapToLong(Look::version).distinct().count();
            longest = since < 0 ? longest : Math.max(longest, at.getKey() - since);
            since = versions <= 1 ? -1 : since < 0 ? at.getKey() : since;
        }
        return longest;
    }
}
