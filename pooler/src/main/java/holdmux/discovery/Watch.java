package holdmux.discovery;

import holdmux.config.ConfigException;
import holdmux.config.HostList;
import holdmux.core.Clock;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.core.Workers;
import holdmux.discovery.DiscoveryCall.Query;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Follows discovery's list for ever: the whole list or, where discovery tells only when asked, what changed since the list
 * that this program was given at its start, then further changes. One call is the current one, which is answered as a rule. Where it is
 * overdue another one is made beside it, and both are listened to: a slow discovery is heard as well as one that has
 * come back after it lost a call. Many poolers share discovery: failed calls are made again ever later, at random times.
 */
public final class Watch implements Runnable, DiscoveryCall.Listener {
    /** Calls that are listened to at once. */
    private static final int MOST_CALLS = 4;
    /** Failures between log lines: one line in some seconds of silence. */
    private static final int LOG_EVERY = 10;
    /** A silence of discovery that is longer than any single lost call explains. */
    private static final long LONG_SILENCE_MS = 5_000;
    /** An agent that answers watches at once without news is not asked more often than this; a watch goes on within 200 ms. */
    private static final long LEAST_TURN_MS = 100;
    private final Counters counters;
    private final BooleanSupplier mustAsk;
    private final ListListener lists;
    private final SplittableRandom random;
    // all that follows under this object's monitor
    /** Where the agent is now, and whether it has not answered since it was named. */
    private InetSocketAddress agent;
    private boolean moved;
    /** Another address that the agent may have, called in turns until one has answered; null for none. */
    private InetSocketAddress alternative;
    private final ListVersions versions;
    private final WholeListSchedule wholeLists;
    /** The calls that are listened to, the oldest first, and the one that is expected to answer; null for none. */
    private final List<DiscoveryCall> calls = new ArrayList<>();
    private DiscoveryCall current;
    /** On {@link System#nanoTime}: when the current call is overdue, or the next one is made where there is none. */
    private long due;
    /** When the current call was made, or the last one that was. */
    private long turnBegan;
    /** When a call was last answered, and the longest time between two answers so far. */
    private long answeredAt;
    private long longestUnconfirmedMs;
    private final ListTrust trust = new ListTrust();
    private long lastQuery;
    /** Whether the next call begins a watch, as the first one and all behind a failure do. */
    private boolean begins = true;
    private int failures;
    private long lastNumber;

    /**
     * A watch that is not running yet.
     *
     * @param known the list as it was last had, empty for none
     * @param mustAsk whether discovery tells changes only when it is asked, rather than pushing them to its agents
     * @param lists takes in each further list, in order
     */
    public Watch(Agents agents, HostList known, BooleanSupplier mustAsk, long seed, Counters counters, ListListener lists) {
        agent = agents.first();
        alternative = agents.alternative();
        this.counters = counters;
        this.mustAsk = mustAsk;
        this.lists = lists;
        versions = new ListVersions(known);
        if (!mustAsk.getAsBoolean()) {
            versions.wantWhole(); // the agent is on this machine, and may have counted anew since the known list
        }
        random = new SplittableRandom(seed);
        wholeLists = new WholeListSchedule(new SplittableRandom(~seed).nextDouble(), nowMs());
        answeredAt = System.nanoTime();
        due = answeredAt;
        counters.show("list_version", () -> Long.toString(version()));
        counters.show("list_confirmed_ms_ago", () -> Long.toString(confirmedMsAgo()));
        counters.show("list_longest_unconfirmed_ms", () -> Long.toString(longestUnconfirmedMs()));
        counters.show("list_trusted", () -> Boolean.toString(isTrusted()));
        counters.show("discovery_agent", () -> agent().toString());
    }

    @Override
    public void run() {
        while (true) {
            try {
                turn();
            } catch (InterruptedException e) {
                throw new IllegalStateException("nothing interrupts this thread", e);
            }
        }
    }

    /** Waits for what is due, and does it. */
    private synchronized void turn() throws InterruptedException {
        long now = System.nanoTime();
        long left = trust.isAtRisk() ? Math.min(due - now, trust.leftNs(now)) : due - now;
        if (left > 0) {
            wait(Clock.millisUp(left));
        } else if (trust.isAtRisk() && trust.leftNs(now) <= 0) {
            distrust();
        } else if (current != null) {
            overdue();
        } else {
            begin();
        }
    }

    /**
     * Follows the list at another address from now on. The old agent's calls are listened to until the new one has
     * answered: what it has still to tell is newer than what was told.
     */
    public synchronized void moveTo(InetSocketAddress to) {
        if (!to.equals(agent)) {
            agent = to;
            alternative = null;
            moved = true;
            versions.wantWhole();
            Log.info("discovery moves to " + to + ", version " + versions.version() + " in force");
            next(0);
        }
    }

    /** Where the list is asked for now. */
    public synchronized InetSocketAddress agent() {
        return agent;
    }

    private synchronized long version() {
        return versions.version();
    }

    private synchronized long confirmedMsAgo() {
        return (System.nanoTime() - answeredAt) / Clock.MS;
    }

    private synchronized long longestUnconfirmedMs() {
        return Math.max(longestUnconfirmedMs, confirmedMsAgo());
    }

    private synchronized boolean isTrusted() {
        return trust.isTrusted();
    }

    private static long nowMs() {
        return System.nanoTime() / Clock.MS;
    }

    private CallSchedule schedule() {
        return CallSchedule.of(mustAsk.getAsBoolean());
    }

    /** There is no current call any more; the next one, which begins a watch, is made after this pause. */
    private void next(long afterMs) {
        current = null;
        begins = true;
        due = System.nanoTime() + afterMs * Clock.MS;
        notifyAll();
    }

    /** Makes a call on a connection of its own. */
    private void begin() {
        while (calls.size() >= MOST_CALLS) {
            calls.remove(1).close(); // not the oldest: for a discovery slower than all the others wait it is the one hope
        }
        DiscoveryCall call = new DiscoveryCall(++lastNumber, agent, query(0), this);
        try {
            expect(call, 0);
            calls.add(call);
            counters.count(Counter.WATCH_CALLS);
            Workers.thread("discovery call", call).start();
        } catch (OutOfMemoryError e) { // no thread to be had now
            calls.remove(call);
            failedCurrent("discovery cannot be called: ", e, call);
        }
    }

    private Query query(long pauseMs) {
        lastQuery++;
        if (wholeLists.isDue(nowMs())) {
            wholeLists.asked(nowMs());
            versions.wantWhole();
        }
        if (versions.wholeWanted()) {
            counters.count(Counter.WHOLE_LISTS_ASKED);
            return new Query("", pauseMs, lastQuery, versions.asked());
        }
        int holdMs = schedule().holdMs(begins, failures);
        return new Query("?from=" + versions.version() + "&hold_ms=" + holdMs, pauseMs, lastQuery,
                versions.asked());
    }

    private void expect(DiscoveryCall call, long pauseMs) {
        current = call;
        turnBegan = System.nanoTime() + pauseMs * Clock.MS;
        int patienceMs = schedule().patienceMs(begins, moved ? Math.max(1, failures) : failures);
        due = System.nanoTime() + (pauseMs + patienceMs) * Clock.MS;
    }

    private void distrust() {
        trust.distrust();
        counters.count(Counter.LISTS_DISTRUSTED);
        Log.warn("discovery's answers cannot be read: requests are refused until one can, version " + versions.version()
                + " in force");
        lists.distrusted();
    }

    private void unreadable() {
        trust.unreadable(lastQuery, System.nanoTime());
        notifyAll();
    }

    /** The current call has not been answered in time: it is listened to further, and another one is made. */
    private void overdue() {
        counters.count(Counter.WATCH_OVERDUE);
        if (current.isWithinAnswer()) {
            unreadable();
        }
        failedCurrent("discovery does not answer: ", "no answer in time", current);
    }

    @Override
    public synchronized Query answered(DiscoveryCall call, HttpResponse response) throws IOException {
        if (!calls.contains(call)) {
            return null; // closed meanwhile
        }
        if (response.status() != 200) {
            if (response.status() < 500) {
                versions.wantWhole(); // our version may be one that discovery no longer knows
            }
            throw new IOException("status " + response.status());
        }
        HostList list = HostList.decode(response.body());
        take(list, call);
        answeredBy(call, list.whole());
        endBefore(call);
        return goOn(call, response.keepAlive(), list);
    }

    /** Notes that a call was answered with a list that could be used. */
    private void answeredBy(DiscoveryCall call, boolean whole) {
        long silentMs = confirmedMsAgo();
        longestUnconfirmedMs = Math.max(longestUnconfirmedMs, silentMs);
        answeredAt = System.nanoTime();
        if (silentMs > LONG_SILENCE_MS) {
            counters.count(Counter.LONG_SILENCES);
            if (!whole) {
                wholeLists.doubted(nowMs()); // whoever answers now may be another agent than before
            }
        }
        if (failures > 0) {
            Log.info("discovery answers again after " + failures + " failed calls and " + silentMs + " ms");
            failures = 0;
        }
        trust.readable(call.query().number());
        if (!isInDoubt() && trust.trust()) {
            agent = alternative == null ? agent : call.agent();
            alternative = null;
            lists.confirmed();
            Log.info("discovery call " + call.number() + " to " + call.agent() + " confirms version " + versions.version());
        }
    }

    /** Whether the whole list is to be asked for since the one in force may lack something. */
    private boolean isInDoubt() {
        return versions.wholeWanted() || wholeLists.isDue(nowMs());
    }

    private void take(HostList list, DiscoveryCall call) {
        ListVersions.Asked asked = call.query().asked();
        switch (versions.judge(list, asked)) {
            case TAKE -> {
                lists.changed(list);
                versions.taken(list, asked); // not before: what could not be taken in is asked for again
                Log.info("discovery call " + call.number() + ": " + list.describe());
                checkEntries(list);
            }
            case NOTHING_NEW -> versions.confirmed();
            case OVERTAKEN -> { }
            case EMPTY_ADVANCE -> {
                counters.count(Counter.EMPTY_ADVANCES);
                Log.warn("discovery call " + call.number() + ": version " + list.seq() + " names no change since "
                        + asked.version() + ", the whole list is asked for");
                versions.advanced(list);
            }
            case BEHIND -> {
                counters.count(Counter.ANSWERS_BEHIND);
                Log.warn("discovery call " + call.number() + ": version " + list.seq() + " where " + asked.version()
                        + " was asked from, the whole list is asked for");
                versions.sawOlder();
            }
            case OLDER -> {
                versions.sawOlder();
                throw new ConfigException("list " + list.seq() + " is older than " + versions.version()
                        + ", which is in force");
            }
        }
    }

    /** Has the whole list asked for where entries could not be read, and tells when it was had. */
    private void checkEntries(HostList list) {
        boolean faulty = !list.unfit().isEmpty();
        if (faulty) {
            counters.count(Counter.ENTRIES_REFUSED);
            Log.warn("discovery's list " + list.seq() + " has entries that cannot be used: " + list.unfit());
        }
        if (list.whole()) {
            wholeLists.taken(faulty, nowMs());
        } else if (faulty) {
            wholeLists.doubted(nowMs());
        }
    }

    /** Calls made before one that has been answered have nothing to add. */
    private void endBefore(DiscoveryCall answered) {
        while (calls.get(0) != answered) {
            DiscoveryCall call = calls.remove(0);
            call.close();
            current = current == call ? null : current;
        }
    }

    /** The next query on the connection of a call that was answered; null where it ends. */
    private Query goOn(DiscoveryCall call, boolean keepAlive, HostList list) {
        boolean stays = call.agent().equals(agent);
        moved &= !stays;
        boolean needed = stays && (current == null || current == call);
        boolean news = list.seq() > call.query().asked().version() || versions.wholeWanted();
        long pauseMs = news ? 0 : Math.max(0, LEAST_TURN_MS - (System.nanoTime() - turnBegan) / Clock.MS);
        if (!needed || !keepAlive) {
            calls.remove(call);
            if (needed) {
                next(pauseMs);
                begins = list.whole(); // a whole list is no watch yet
            }
            return null;
        }
        begins = list.whole();
        Query query = query(pauseMs);
        expect(call, pauseMs);
        notifyAll();
        return query;
    }

    @Override
    public synchronized void failed(DiscoveryCall call, Throwable cause) {
        if (!calls.remove(call)) {
            return; // closed here
        }
        boolean unfit = cause instanceof ConfigException || cause instanceof HttpResponse.TooLongException;
        if (unfit) {
            counters.count(Counter.LISTS_REFUSED);
            versions.wantWhole();
        }
        boolean takenInVain = !(cause instanceof IOException); // by a fault of ours, or of what it told
        if (unfit || takenInVain || call.isWithinAnswer()) {
            unreadable();
        }
        if (call == current) {
            failedCurrent(unfit ? "discovery's list cannot be used, the last one stays: " : "discovery does not answer: ",
                    cause, call);
        }
    }

    private void failedCurrent(String what, Object cause, DiscoveryCall call) {
        boolean refused = cause instanceof ConfigException || cause instanceof HttpResponse.TooLongException;
        if (!refused) {
            counters.count(Counter.WATCH_FAILURES);
        }
        if (failures++ % LOG_EVERY == 0) {
            String words = cause instanceof Exception e ? e.getMessage() : cause.toString();
            Log.warn(what + words + " (call " + call.number() + " to " + call.agent() + ", version "
                    + versions.version() + " in force, " + failures + " failed)");
        }
        if (alternative != null) {
            InetSocketAddress failed = agent;
            agent = alternative;
            alternative = failed;
        }
        next(schedule().pauseMs(failures, random));
    }
}
