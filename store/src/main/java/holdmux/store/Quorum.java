package holdmux.store;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Determines, from the answers of individual members, up to which time a pooler knows every committed activation. An
 * activation committed before time T is in the logs of a majority by then. A member that is in that majority and had applied
 * its whole log when asked at or after T reports it, and any two majorities share a member. So once a majority has answered
 * requests sent at or after T, every activation committed before T is known here, regardless of leadership, clocks, pauses
 * and partitions. The leader's answer alone does not suffice, as a paused leader may not know that it was replaced. Reads no
 * clock; times are passed in. Not thread-safe.
 */
public final class Quorum {
    private final Map<String, Long> lastAskedNs = new HashMap<>();

    /** Records an answer to a request sent at {@code askedNs} by a member that had applied its whole log. */
    public void answered(String member, long askedNs) {
        lastAskedNs.merge(member, askedNs, (a, b) -> b - a > 0 ? b : a);
    }

    /** Whether a majority of these members has answered at least once. */
    public boolean isMajority(Collection<String> members) {
        return 2 * members.stream().filter(lastAskedNs::containsKey).count() > members.size();
    }

    /** The latest time at or after which a majority was asked and has answered; requires {@link #isMajority}. */
    public long confirmedNs(Collection<String> members) {
        long[] asked = members.stream().filter(lastAskedNs::containsKey).mapToLong(lastAskedNs::get).toArray();
        Arrays.sort(asked);
        return asked[asked.length - (members.size() / 2 + 1)];
    }
}
