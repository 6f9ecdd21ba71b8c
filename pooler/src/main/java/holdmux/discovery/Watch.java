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
 * Follows the server list of discovery for the lifetime of the process. It first requests the whole list or, if the list has to be
 * subscribed to, the changes since the cached one, and then further changes. One call at a time is the current one, from which the
 * next answer is expected. If it is overdue, another one is made beside it and both are read, so that answers arrive from a slow
 * agent as well as from one that lost a call and has recovered. Because many poolers share discovery, failed calls are retried
 * with randomised exponential backoff.
 */
public final class Watch implements Runnable, DiscoveryCall.Listener {
    /** The most connections that are read at the same time. */
    private static final int MAX_CALLS = 4;
    /** Failures per log line: a silent discovery is logged every few seconds. */
    private static final int LOG_EVERY = 10;
    /** A silence longer than a single lost call can explain. */
    private static final long LONG_SILENCE_MS = 5_000;
    /**
     * The least time between two calls to an agent that answers watches immediately although nothing has changed; a watch has to
     * be continued within 200 ms.
     */
    private static final long MIN_CALL_INTERVAL_MS = 100;
    private final Counters counters;
    private final BooleanSupplier mustSubscribe;
    private final ListListener listener;
    private final SplittableRandom random;
    // all further fields are guarded by this object's monitor
    /** The address of the agent, and whether it was changed and has not answered there yet. */
    private InetSocketAddress agent;
    private boolean awaitingNewAgent;
    /** A second address of the agent, tried alternately until one of them has answered; null if there is none. */
    private InetSocketAddress alternative;
    private final ListVersions versions;
    private final WholeListSchedule wholeListSchedule;
    /** The open calls, the oldest first, and the one that is expected to answer; null if there is none. */
    private final List<DiscoveryCall> calls = new ArrayList<>();
    private DiscoveryCall current;
    /** The {@link System#nanoTime} at which the current call is overdue or, if there is none, the next one is made. */
    private long dueAt;
    /** When the last query of the current or latest call was due to be sent. */
    private long callStartedAt;
    /** When a call was last answered, and the longest time between two answers so far. */
    private long answeredAt;
    private long longestUnconfirmedMs;
    private final ListTrust trust = new ListTrust();
    private long lastQueryNumber;
    /** Whether the next call starts a watch, as the first call and each one after a failure do. */
    private boolean startsWatch = true;
    private int failures;
    private long lastCallNumber;

    /**
     * Creates a watch; {@link #run} starts it.
     *
     * @param agents the addresses of the agent
     * @param cachedList the last known list, empty if there is none
     * @param mustSubscribe whether changes have to be subscribed to, rather than being pushed to the agents
     * @param seed the seed of the random backoff and of the interval between whole lists
     * @param listener receives each further list, in order
     */
    public Watch(AgentAddresses agents, HostList cachedList, BooleanSupplier mustSubscribe, long seed, Counters counters,
            ListListener listener) {
        agent = agents.first();
        alternative = agents.alternative();
        this.counters = counters;
        this.mustSubscribe = mustSubscribe;
        this.listener = listener;
        versions = new ListVersions(cachedList);
        if (!mustSubscribe.getAsBoolean()) {
            versions.requestWholeList(); // the local agent may have restarted its numbering since the list was cached
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
                throw new IllegalStateException("unexpected interrupt of the watch thread", e);
            }
        }
    }

    /** Waits until the next step is due, and performs it. */
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
     * Follows the list at another address from now on. Calls to the old agent are read until the new one has answered, since
     * they may still deliver changes.
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

    /** The address from which the list is currently requested. */
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

    /** Drops the current call; the next one, which starts a watch, is made after this delay. */
    private void scheduleNext(long delayMs) {
        current = null;
        startsWatch = true;
        dueAt = System.nanoTime() + delayMs * Clock.MS;
        notifyAll();
    }

    /** Makes a call on a new connection. */
    private void startCall() {
        while (calls.size() >= MAX_CALLS) {
            calls.remove(1).close(); // keeps the oldest: if discovery is slower than every time-out, only that one is answered
        }
        DiscoveryCall call = new DiscoveryCall(++lastCallNumber, agent, nextQuery(0), this);
        try {
            expectAnswer(call, 0);
            calls.add(call);
            counters.count(Counter.WATCH_CALLS);
            Workers.newThread("discovery call", call).start();
        } catch (OutOfMemoryError e) { // no thread could be created
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

    /** The current call was not answered in time; it stays open, and another one is made. */
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
            return null; // closed by this watch meanwhile
        }
        if (response.status() != 200) {
            if (response.status() < 500) {
                versions.requestWholeList(); // discovery may no longer know the version in force
            }
            throw new IOException("HTTP status " + response.status());
        }
        HostList list = HostList.decode(response.body());
        apply(list, call);
        recordAnswer(call, list.whole());
        closeOlderThan(call);
        return continueOnConnection(call, response.keepAlive(), list);
    }

    /** Records that a call was answered with a usable list. */
    private void recordAnswer(DiscoveryCall call, boolean whole) {
        long silentMs = confirmedMsAgo();
        longestUnconfirmedMs = Math.max(longestUnconfirmedMs, silentMs);
        answeredAt = System.nanoTime();
        if (silentMs > LONG_SILENCE_MS) {
            counters.count(Counter.LONG_SILENCES);
            if (!whole) {
                wholeListSchedule.requestSoon(nowMs()); // the agent may have been replaced during the silence
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

    /** Whether the whole list has to be requested because the one in force may lack a change. */
    private boolean isWholeListDue() {
        return versions.needsWholeList() || wholeListSchedule.isDue(nowMs());
    }

    private void apply(HostList list, DiscoveryCall call) {
        ListVersions.RequestState atRequest = call.query().atRequest();
        switch (versions.classify(list, atRequest)) {
            case APPLY -> {
                listener.changed(list);
                versions.applied(list, atRequest); // only now: a list that could not be applied is requested again
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
                throw new ConfigException("version " + list.seq() + " is older than version " + versions.version()
                        + " in force");
            }
        }
    }

    /** Logs and counts entries that cannot be read, and schedules the next request for the whole list. */
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

    /** Closes the calls made before one that was answered, since they have nothing to add. */
    private void closeOlderThan(DiscoveryCall answered) {
        while (calls.get(0) != answered) {
            DiscoveryCall call = calls.remove(0);
            call.close();
            current = current == call ? null : current;
        }
    }

    /** The next query on the connection of an answered call, or null to close it. */
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
                startsWatch = list.whole(); // the request for a whole list was not held, so the watch has still to start
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
            return; // closed by this watch
        }
        boolean unusable = cause instanceof ConfigException || cause instanceof HttpResponse.TooLongException;
        if (unusable) {
            counters.count(Counter.LISTS_REFUSED);
            versions.requestWholeList();
        }
        boolean applyFailed = !(cause instanceof IOException); // an internal error, or one provoked by the content of the list
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
