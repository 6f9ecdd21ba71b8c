package holdmux.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Fleet-wide outlier detection: decides which servers to eject from the health reports of all poolers. One pooler's broken
 * link ejects no server: a minimum number and a minimum share of the reporting poolers must agree. At most a share of the
 * servers is ejected at once, those with the most unhealthy reports first. Reports expire, so an ejection that is no longer
 * supported ends by itself. Performs no I/O and reads no clock; times are passed in. Not thread-safe.
 */
public final class OutlierDetector {
    /** Room for 120 servers reported by 1,000 poolers; beyond it, new reports are dropped until others expire. */
    static final int MAX_REPORTS = 200_000;
    /** How often expired reports are removed during the lifetime of one report. */
    private static final int SWEEPS_PER_TTL = 16;

    private record Report(boolean unhealthy, long atNs) {}

    private final int minUnhealthyReports;
    private final double minUnhealthyShare;
    private final double maxEjectedShare;
    private final long reportTtlNs;
    private final Map<String, Map<String, Report>> reportsByServer = new HashMap<>();
    private int reportCount;
    private long lastSweepNs;
    private boolean hasSwept;

    /**
     * @param minUnhealthyReports how many poolers must report a server unhealthy; at least two
     * @param minUnhealthyShare   the share of the poolers with a current report on it that this must be, 0 to 1
     * @param maxEjectedShare     the share of all servers that may be ejected at once, 0 to 1
     * @param reportTtlNs         how long a report counts
     */
    public OutlierDetector(int minUnhealthyReports, double minUnhealthyShare, double maxEjectedShare, long reportTtlNs) {
        this.minUnhealthyReports = Math.max(2, minUnhealthyReports);
        this.minUnhealthyShare = minUnhealthyShare;
        this.maxEjectedShare = maxEjectedShare;
        this.reportTtlNs = reportTtlNs;
    }

    /** Records a pooler's view of a server, based on its own attempts there; replaces the pooler's previous report. */
    public void report(String pooler, String server, boolean unhealthy, long nowNs) {
        sweep(nowNs);
        Map<String, Report> reports = reportsByServer.computeIfAbsent(server, s -> new HashMap<>());
        if (reports.containsKey(pooler) || reportCount < MAX_REPORTS) {
            reportCount += reports.put(pooler, new Report(unhealthy, nowNs)) == null ? 1 : 0;
        }
    }

    /** The servers ejected now, each with the age of its newest unhealthy report in nanoseconds. */
    public Map<String, Long> ejectedServers(int serverCount, long nowNs) {
        Map<String, Long> unhealthyCounts = new HashMap<>();
        Map<String, Long> newestReportAgeNs = new HashMap<>();
        reportsByServer.forEach((server, reports) -> {
            List<Report> currentReports = reports.values().stream().filter(report -> nowNs - report.atNs() < reportTtlNs).toList();
            List<Report> unhealthyReports = currentReports.stream().filter(Report::unhealthy).toList();
            if (unhealthyReports.size() >= minUnhealthyReports && unhealthyReports.size() >= minUnhealthyShare * currentReports.size()) {
                unhealthyCounts.put(server, (long) unhealthyReports.size());
                newestReportAgeNs.put(server, unhealthyReports.stream().mapToLong(report -> nowNs - report.atNs()).min().orElseThrow());
            }
        });
        Map<String, Long> ejected = new HashMap<>();
        // ties are broken by name, so that members with equal reports eject the same servers
        unhealthyCounts.keySet().stream().sorted(Comparator.comparing((String server) -> -unhealthyCounts.get(server))
                .thenComparing(Comparator.naturalOrder())).limit((long) (maxEjectedShare * serverCount))
                .forEach(server -> ejected.put(server, newestReportAgeNs.get(server)));
        return ejected;
    }

    /** Removes expired reports, but not on every call: a full scan for each report would be quadratic in the fleet size. */
    private void sweep(long nowNs) {
        if (hasSwept && nowNs - lastSweepNs < reportTtlNs / SWEEPS_PER_TTL) {
            return;
        }
        hasSwept = true;
        lastSweepNs = nowNs;
        reportsByServer.values().removeIf(reports -> {
            int before = reports.size();
            reports.values().removeIf(report -> nowNs - report.atNs() >= reportTtlNs);
            reportCount -= before - reports.size();
            return reports.isEmpty();
        });
    }
}
