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
    private static final int MAX_CALLS = 4;
    /** Failures between log lines: one line in some seconds of silence. */
    private static final int LOG_EVERY = 10;
    /** A silence of discovery that is longer than any single lost call explains. */
    private static final long LONG_SILENCE_MS = 5_000;
    /** An agent that answers watches at once without news is not asked more often than this; a watch goes on within 200 ms. */
    private static final long MIN_CALL_INTERVAL_MS = 100;
    private final Counters counters;
    private final BooleanSupplier mustSubscribe;
    private final ListListener listener;
    private final SplittableRandom random;
    // all that follows under this object's monitor
    /** Where the agent is now, and whether it has not answered since it was named. */
    private InetSocketAddress agent;
    private boolean awaitingNewAgent;
    /** Another address that the agent may have, called in turns until one has answered; null for none. */
    private InetSocketAddress alternative;
    private final ListVersions versions;
    private final WholeListSchedule wholeListSchedule;
    /** The calls that are listened to, the oldest first, and the one that is expected to answer; null for none. */
    private final List<DiscoveryCall> calls = new ArrayList<>();
    private DiscoveryCall current;
    /** On {@link System#nanoTime}: when the current call is overdue, or the next one is made where there is none. */
    private long dueAt;
    /** When the current call was made, or the last one that was. */
    private long callStartedAt;
    /** When a call was last answered, and the longest time between two answers so far. */
    private long answeredAt;
    private long longestUnconfirmedMs;
    private final ListTrust trust = new ListTrust();
    private long lastQueryNumber;
    /** Whether the next call begins a watch, as the first one and all behind a failure do. */
    private boolean startsWatch = true;
    private int failures;
    private long lastCallNumber;

    /**
     * A watch that is not running yet.
     *
     * @param known the list as it was last had, empty for none
     * @param mustAsk whether discovery tells changes only when it is asked, rather than pushing them to its agents
     * @param lists takes in each further list, in order
     */
    public Watch(AgentAddresses agents, HostList cachedList, BooleanSupplier mustSubscribe, long seed, Counters counters, ListListener listener) {
        agent = agents.first();
        alternative = agents.alternative();
        this.counters = counters;
        this.mustSubscribe = mustSubscribe;
        this.listener = listener;
        versions = new ListVersions(cachedList);
        if (!mustSubscribe.getAsBoolean()) {
            versions.requestWholeList(); // the agent is on this machine, and may have counted anew since the known list
        }
        random = new SplittableRandom(seed);
        wholeListSchedule = new WholeListSchedule(new SplittableRandom(~seed).nextDouble(), nowMs());
        answeredAt = System.nanoTime();
        dueAt = answeredAt;
        counters.addStat("list_version", () -> Long.toString(version()));
        counters.addStat("list_confirmed_ms_ago", () -> Long.toString(confirmedMsAgo()));
        counters.addStat("list_longest_unconfirmed_ms", () -> Long.toString(longestUnconfirmedMs()));
        counters.addStat("list_trusted", () -> Boolean.toString(isTrusted()));
        counters.addStat("discovery_agent", () -> agent().toString());
    }

    @Override
    public void run() {
        while (true) {
            try {
                runNext();
            } catch (InterruptedException e) {
                throw new IllegalStateException("nothing interrupts this thread", e);
            }
        }
    }

    /** Waits for what is due, and does it. */
    private synchronized void runNext() throws InterruptedException {
        long now = System.nanoTime();
        long remaining = trust.isAtRisk() ? Math.min(dueAt - now, trust.remainingNs(now)) : dueAt - now;
        if (remaining > 0) {
            wait(Clock.ceilMillis(remaining));
        } else if (trust.isAtRisk() && trust.remainingNs(now) <= 0) {
            distrust();
        } else if (current != null) {
            handleOverdue();
        } else {
            startCall();
        }
    }

    /**
     * Follows the list at another address from now on. The old agent's calls are listened to until the new one has
     * answered: what it has still to tell is newer than what was told.
     */
    public synchronized void moveTo(InetSocketAddress newAgent) {
        if (!newAgent.equals(agent)) {
            agent = newAgent;
            alternative = null;
            awaitingNewAgent = true;
            versions.requestWholeList();
            Log.info("discovery moves to " + newAgent + ", version " + versions.version() + " in force");
            scheduleNext(0);
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
        return CallSchedule.of(mustSubscribe.getAsBoolean());
    }

    /** There is no current call any more; the next one, which begins a watch, is made after this pause. */
    private void scheduleNext(long delayMs) {
        current = null;
        startsWatch = true;
        dueAt = System.nanoTime() + delayMs * Clock.MS;
        notifyAll();
    }

    /** Makes a call on a connection of its own. */
    private void startCall() {
        while (calls.size() >= MAX_CALLS) {
            calls.remove(1).close(); // not the oldest: for a discovery slower than all the others wait it is the one hope
        }
        DiscoveryCall call = new DiscoveryCall(++lastCallNumber, agent, nextQuery(0), this);
        try {
            expectAnswer(call, 0);
            calls.add(call);
            counters.count(Counter.WATCH_CALLS);
            Workers.newThread("discovery call", call).start();
        } catch (OutOfMemoryError e) { // no thread to be had now
            calls.remove(call);
            currentCallFailed("discovery cannot be called: ", e, call);
        }
    }

    private Query nextQuery(long delayMs) {
        lastQueryNumber++;
        if (wholeListSchedule.isDue(nowMs())) {
            wholeListSchedule.requested(nowMs());
            versions.requestWholeList();
        }
        if (versions.needsWholeList()) {
            counters.count(Counter.WHOLE_LISTS_ASKED);
            return new Query("", delayMs, lastQueryNumber, versions.requestState());
        }
        int holdMs = schedule().holdMs(startsWatch, failures);
        return new Query("?from=" + versions.version() + "&hold_ms=" + holdMs, delayMs, lastQueryNumber,
                versions.requestState());
    }

    private void expectAnswer(DiscoveryCall call, long delayMs) {
        current = call;
        callStartedAt = System.nanoTime() + delayMs * Clock.MS;
        int timeoutMs = schedule().timeoutMs(startsWatch, awaitingNewAgent ? Math.max(1, failures) : failures);
        dueAt = System.nanoTime() + (delayMs + timeoutMs) * Clock.MS;
    }

    private void distrust() {
        trust.distrust();
        counters.count(Counter.LISTS_DISTRUSTED);
        Log.warn("discovery's answers cannot be read: requests are refused until one can, version " + versions.version()
                + " in force");
        listener.distrusted();
    }

    private void markUnreadable() {
        trust.markUnreadable(lastQueryNumber, System.nanoTime());
        notifyAll();
    }

    /** The current call has not been answered in time: it is listened to further, and another one is made. */
    private void handleOverdue() {
        counters.count(Counter.WATCH_OVERDUE);
        if (current.hasPartialResponse()) {
            markUnreadable();
        }
        currentCallFailed("discovery does not answer: ", "no answer in time", current);
    }

    @Override
    public synchronized Query answered(DiscoveryCall call, HttpResponse response) throws IOException {
        if (!calls.contains(call)) {
            return null; // closed meanwhile
        }
        if (response.status() != 200) {
            if (response.status() < 500) {
                versions.requestWholeList(); // our version may be one that discovery no longer knows
            }
            throw new IOException("status " + response.status());
        }
        HostList list = HostList.decode(response.body());
        apply(list, call);
        recordAnswer(call, list.whole());
        closeOlderThan(call);
        return continueOnConnection(call, response.keepAlive(), list);
    }

    /** Notes that a call was answered with a list that could be used. */
    private void recordAnswer(DiscoveryCall call, boolean whole) {
        long silentMs = confirmedMsAgo();
        longestUnconfirmedMs = Math.max(longestUnconfirmedMs, silentMs);
        answeredAt = System.nanoTime();
        if (silentMs > LONG_SILENCE_MS) {
            counters.count(Counter.LONG_SILENCES);
            if (!whole) {
                wholeListSchedule.requestSoon(nowMs()); // whoever answers now may be another agent than before
            }
        }
        if (failures > 0) {
            Log.info("discovery answers again after " + failures + " failed calls and " + silentMs + " ms");
            failures = 0;
        }
        trust.markReadable(call.query().number());
        if (!isWholeListDue() && trust.tryTrust()) {
            agent = alternative == null ? agent : call.agent();
            alternative = null;
            listener.confirmed();
            Log.info("discovery call " + call.number() + " to " + call.agent() + " confirms version " + versions.version());
        }
    }

    /** Whether the whole list is to be asked for since the one in force may lack something. */
    private boolean isWholeListDue() {
        return versions.needsWholeList() || wholeListSchedule.isDue(nowMs());
    }

    private void apply(HostList list, DiscoveryCall call) {
        ListVersions.RequestState atRequest = call.query().atRequest();
        switch (versions.classify(list, atRequest)) {
            case APPLY -> {
                listener.changed(list);
                versions.applied(list, atRequest); // not before: what could not be taken in is asked for again
                Log.info("discovery call " + call.number() + ": " + list.describe());
                checkEntries(list);
            }
            case UNCHANGED -> versions.confirmed();
            case SUPERSEDED -> { }
            case EMPTY_ADVANCE -> {
                counters.count(Counter.EMPTY_ADVANCES);
                Log.warn("discovery call " + call.number() + ": version " + list.seq() + " names no change since "
                        + atRequest.version() + ", the whole list is asked for");
                versions.advanced(list);
            }
            case BEHIND -> {
                counters.count(Counter.ANSWERS_BEHIND);
                Log.warn("discovery call " + call.number() + ": version " + list.seq() + " where " + atRequest.version()
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
            wholeListSchedule.applied(faulty, nowMs());
        } else if (faulty) {
            wholeListSchedule.requestSoon(nowMs());
        }
    }

    /** Calls made before one that has been answered have nothing to add. */
    private void closeOlderThan(DiscoveryCall answered) {
        while (calls.get(0) != answered) {
            DiscoveryCall call = calls.remove(0);
            call.close();
            current = current == call ? null : current;
        }
    }

    /** The next query on the connection of a call that was answered; null where it ends. */
    private Query continueOnConnection(DiscoveryCall call, boolean keepAlive, HostList list) {
        boolean sameAgent = call.agent().equals(agent);
        awaitingNewAgent &= !sameAgent;
        boolean needed = sameAgent && (current == null || current == call);
        boolean immediate = list.seq() > call.query().atRequest().version() || versions.needsWholeList();
        long delayMs = immediate ? 0 : Math.max(0, MIN_CALL_INTERVAL_MS - (System.nanoTime() - callStartedAt) / Clock.MS);
        if (!needed || !keepAlive) {
            calls.remove(call);
            if (needed) {
                scheduleNext(delayMs);
                startsWatch = list.whole(); // a whole list is no watch yet
            }
            return null;
        }
        startsWatch = list.whole();
        Query query = nextQuery(delayMs);
        expectAnswer(call, delayMs);
        notifyAll();
        return query;
    }

    @Override
    public synchronized void failed(DiscoveryCall call, Throwable cause) {
        if (!calls.remove(call)) {
            return; // closed here
        }
        boolean unusable = cause instanceof ConfigException || cause instanceof HttpResponse.TooLongException;
        if (unusable) {
            counters.count(Counter.LISTS_REFUSED);
            versions.requestWholeList();
        }
        boolean applyFailed = !(cause instanceof IOException); // by a fault of ours, or of what it told
        if (unusable || applyFailed || call.hasPartialResponse()) {
            markUnreadable();
        }
        if (call == current) {
            currentCallFailed(unusable ? "discovery's list cannot be used, the last one stays: " : "discovery does not answer: ",
                    cause, call);
        }
    }

    private void currentCallFailed(String prefix, Object cause, DiscoveryCall call) {
        boolean unusable = cause instanceof ConfigException || cause instanceof HttpResponse.TooLongException;
        if (!unusable) {
            counters.count(Counter.WATCH_FAILURES);
        }
        if (failures++ % LOG_EVERY == 0) {
            String detail = cause instanceof Exception e ? e.getMessage() : cause.toString();
            Log.warn(prefix + detail + " (call " + call.number() + " to " + call.agent() + ", version "
                    + versions.version() + " in force, " + failures + " failed)");
        }
        if (alternative != null) {
            InetSocketAddress failedAgent = agent;
            agent = alternative;
            alternative = failedAgent;
        }
        scheduleNext(schedule().backoffMs(failures, random));
    }
}
