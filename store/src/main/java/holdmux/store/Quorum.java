package holdmux.store;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Up to when a pooler knows what is in force, from the answers of single members. What was put in force before a moment is
 * in the logs of a majority by then. A member that had applied all of its log when it was asked after that moment tells
 * it if it is one of them, and any majority has one of them. So once a majority has answered questions asked at or after
 * a moment, nothing put in force before it is unknown here, whoever leads, and whatever clocks, pauses and partitions do:
 * no leader is asked, since one that was stopped for a minute still believes that it leads. No clock: times are passed in.
 * Not thread-safe.
 */
public final class Quorum {
    private final Map<String, Long> lastAskedNs = new HashMap<>();

    /** This member answered a question asked then, having applied all of its log. */
    public void answered(String member, long askedNs) {
        lastAskedNs.merge(member, askedNs, (a, b) -> b - a > 0 ? b : a);
    }

    /** Whether a majority of these has answered at all. */
    public boolean isMajority(Collection<String> members) {
        return 2 * members.stream().filter(lastAskedNs::containsKey).count() > members.size();
    }

    /** The latest moment at or after which a majority of these members was asked and answered; they must be one. */
    public long confirmedNs(Collection<String> members) {
        long[] asked = members.stream().filter(lastAskedNs::containsKey).mapToLong(lastAskedNs::get).toArray();
        Arrays.sort(asked);
        return asked[asked.length - (members.size() / 2 + 1)];
    }
}
