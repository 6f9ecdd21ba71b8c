package holdmux.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which servers the fleet holds for bad, from what poolers report of late. One pooler's bad link ejects nobody: several
 * must say so, a share of those that have an opinion; and no more than a share of the servers is out at once, those that
 * most accuse first. Reports lapse, so a verdict that nobody bears out any more ends by itself. No clock and no I/O: times
 * are passed in. Not thread-safe.
 */
public final class OutlierDetector {
    /** Opinions kept: 120 servers seen by 1,000 poolers; beyond, new ones are not taken until others lapse. */
    static final int MAX_REPORTS = 200_000;
    /** Sweeps in the time that a report counts. */
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
     * @param leastAccusers how many poolers must call a server bad, two at least
     * @param accusingShare which share of those with an opinion on it that must be, 0 to 1
     * @param mostOut       the share of all servers that may be out at once, 0 to 1
     * @param lapseNs       how long a report counts
     */
    public OutlierDetector(int minUnhealthyReports, double minUnhealthyShare, double maxEjectedShare, long reportTtlNs) {
        this.minUnhealthyReports = Math.max(2, minUnhealthyReports);
        this.minUnhealthyShare = minUnhealthyShare;
        this.maxEjectedShare = maxEjectedShare;
        this.reportTtlNs = reportTtlNs;
    }

    /** A pooler's opinion of a server, from its own attempts there. */
    public void report(String pooler, String server, boolean unhealthy, long nowNs) {
        sweep(nowNs);
        Map<String, Report> reports = reportsByServer.computeIfAbsent(server, s -> new HashMap<>());
        if (reports.containsKey(pooler) || reportCount < MAX_REPORTS) {
            reportCount += reports.put(pooler, new Report(unhealthy, nowNs)) == null ? 1 : 0;
        }
    }

    /** The servers that are held for bad now, each with how old the newest report against it is, in nanoseconds. */
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
        // by name last, so that all who know the same tell the same
        unhealthyCounts.keySet().stream().sorted(Comparator.comparing((String server) -> -unhealthyCounts.get(server))
                .thenComparing(Comparator.naturalOrder())).limit((long) (maxEjectedShare * serverCount))
                .forEach(server -> ejected.put(server, newestReportAgeNs.get(server)));
        return ejected;
    }

    /** Drops what has lapsed, seldom: a look at everything with each report would cost the square of the fleet. */
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
