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
public final class VerdictBook {
    /** Opinions kept: 120 servers seen by 1,000 poolers; beyond, new ones are not taken until others lapse. */
    static final int MOST_OPINIONS = 200_000;
    /** Sweeps in the time that a report counts. */
    private static final int SWEEPS = 16;

    private record Opinion(boolean bad, long atNs) {}

    private final int leastAccusers;
    private final double accusingShare;
    private final double mostOut;
    private final long lapseNs;
    private final Map<String, Map<String, Opinion>> byServer = new HashMap<>();
    private int opinions;
    private long sweptNs;
    private boolean swept;

    /**
     * @param leastAccusers how many poolers must call a server bad, two at least
     * @param accusingShare which share of those with an opinion on it that must be, 0 to 1
     * @param mostOut       the share of all servers that may be out at once, 0 to 1
     * @param lapseNs       how long a report counts
     */
    public VerdictBook(int leastAccusers, double accusingShare, double mostOut, long lapseNs) {
        this.leastAccusers = Math.max(2, leastAccusers);
        this.accusingShare = accusingShare;
        this.mostOut = mostOut;
        this.lapseNs = lapseNs;
    }

    /** A pooler's opinion of a server, from its own attempts there. */
    public void reported(String pooler, String server, boolean bad, long nowNs) {
        sweep(nowNs);
        Map<String, Opinion> of = byServer.computeIfAbsent(server, s -> new HashMap<>());
        if (of.containsKey(pooler) || opinions < MOST_OPINIONS) {
            opinions += of.put(pooler, new Opinion(bad, nowNs)) == null ? 1 : 0;
        }
    }

    /** The servers that are held for bad now, each with how old the newest report against it is, in nanoseconds. */
    public Map<String, Long> bad(int servers, long nowNs) {
        Map<String, Long> accusers = new HashMap<>();
        Map<String, Long> newest = new HashMap<>();
        byServer.forEach((server, of) -> {
            List<Opinion> counting = of.values().stream().filter(o -> nowNs - o.atNs() < lapseNs).toList();
            List<Opinion> against = counting.stream().filter(Opinion::bad).toList();
            if (against.size() >= leastAccusers && against.size() >= accusingShare * counting.size()) {
                accusers.put(server, (long) against.size());
                newest.put(server, against.stream().mapToLong(o -> nowNs - o.atNs()).min().orElseThrow());
            }
        });
        Map<String, Long> out = new HashMap<>();
        // by name last, so that all who know the same tell the same
        accusers.keySet().stream().sorted(Comparator.comparing((String server) -> -accusers.get(server))
                .thenComparing(Comparator.naturalOrder())).limit((long) (mostOut * servers))
                .forEach(server -> out.put(server, newest.get(server)));
        return out;
    }

    /** Drops what has lapsed, seldom: a look at everything with each report would cost the square of the fleet. */
    private void sweep(long nowNs) {
        if (swept && nowNs - sweptNs < lapseNs / SWEEPS) {
            return;
        }
        swept = true;
        sweptNs = nowNs;
        byServer.values().removeIf(of -> {
            int before = of.size();
            of.values().removeIf(opinion -> nowNs - opinion.atNs() >= lapseNs);
            opinions -= before - of.size();
            return of.isEmpty();
        });
    }
}
