package holdmux.store;

import holdmux.store.wire.Fleet;
import holdmux.store.wire.Heard;
import holdmux.store.wire.Standing;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What poolers told one member of what they serve under: soft, in memory, refilled within a poll after a start. No clock:
 * times are passed in. Not thread-safe.
 */
public final class FleetView {
    /** Poolers remembered: ten times the largest fleet planned for; the one unheard of longest goes first. */
    static final int MAX_POOLERS = 10_000;
    /** A pooler unheard of for so long is off the list: an hour's outage still shows who is missing. */
    static final long EXPIRY_NS = 3_600_000_000_000L;

    private record Report(Standing standing, long atNs) {}

    private final Map<String, Report> poolers = new LinkedHashMap<>();

    /** A pooler told this. */
    public void update(Standing standing, long nowNs) {
        poolers.remove(standing.getPooler());
        poolers.put(standing.getPooler(), new Report(standing, nowNs)); // the order is that of hearing
        Iterator<Report> oldest = poolers.values().iterator();
        while (nowNs - oldest.next().atNs() > EXPIRY_NS || poolers.size() > MAX_POOLERS) {
            oldest.remove(); // ends at the latest with the one just put in
        }
    }

    /** All of them with how long ago each was heard, by name. */
    public Fleet toFleet(long nowNs) {
        Fleet.Builder fleet = Fleet.newBuilder();
        new TreeMap<>(poolers).forEach((name, report) -> fleet.addPoolers(Heard.newBuilder()
                .setStanding(report.standing()).setAgoMs((nowNs - report.atNs()) / 1_000_000)));
        return fleet.build();
    }

    /** What several members were told, as one: of each pooler the latest word. */
    public static List<Heard> merge(List<Fleet> fleets) {
        Map<String, Heard> latest = new TreeMap<>();
        fleets.forEach(fleet -> fleet.getPoolersList().forEach(heard -> latest.merge(heard.getStanding().getPooler(),
                heard, (a, b) -> a.getAgoMs() <= b.getAgoMs() ? a : b)));
        return List.copyOf(latest.values());
    }
}
