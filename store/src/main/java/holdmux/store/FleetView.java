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
 * The policy versions that poolers report to one member as being in force. Soft state in memory, rebuilt within one poll
 * after a start. Reads no clock; times are passed in. Not thread-safe.
 */
public final class FleetView {
    /** Ten times the largest supported fleet; beyond it the pooler with the oldest report is evicted. */
    static final int MAX_POOLERS = 10_000;
    /** Poolers silent for an hour are dropped, so that a shorter outage still shows which poolers are missing. */
    static final long EXPIRY_NS = 3_600_000_000_000L;

    private record Report(Standing standing, long atNs) {}

    private final Map<String, Report> poolers = new LinkedHashMap<>();

    /** Stores a pooler's latest report. */
    public void update(Standing standing, long nowNs) {
        poolers.remove(standing.getPooler());
        poolers.put(standing.getPooler(), new Report(standing, nowNs)); // keeps the map ordered by time of report
        Iterator<Report> oldest = poolers.values().iterator();
        while (nowNs - oldest.next().atNs() > EXPIRY_NS || poolers.size() > MAX_POOLERS) {
            oldest.remove(); // stops at the latest at the entry just added
        }
    }

    /** All known poolers, ordered by name, with the age of each report. */
    public Fleet toFleet(long nowNs) {
        Fleet.Builder fleet = Fleet.newBuilder();
        new TreeMap<>(poolers).forEach((name, report) -> fleet.addPoolers(Heard.newBuilder()
                .setStanding(report.standing()).setAgoMs((nowNs - report.atNs()) / 1_000_000)));
        return fleet.build();
    }

    /** Merges the views of several members, taking the latest report of each pooler. */
    public static List<Heard> merge(List<Fleet> fleets) {
        Map<String, Heard> latest = new TreeMap<>();
        fleets.forEach(fleet -> fleet.getPoolersList().forEach(heard -> latest.merge(heard.getStanding().getPooler(),
                heard, (a, b) -> a.getAgoMs() <= b.getAgoMs() ? a : b)));
        return List.copyOf(latest.values());
    }
}
