package holdmux.discovery;

import holdmux.config.ConfigException;
import holdmux.config.HostList;
import holdmux.core.Counters;
import holdmux.core.Counters.Counter;
import holdmux.core.Log;
import holdmux.core.TimedInput;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Follows discovery's list for ever, over one connection at a time: what changed since the list that this program was
 * given at its start, or the whole where there was none, then further changes. Many poolers share discovery: a call is
 * waited for in its queue rather than made again, and failed ones are made again ever later, at random times.
 */
public final class Watch implements Runnable {
    // Whatever became of earlier calls, a change counts as told 6 s after discovery had it and could be reached. Two calls
    // in a row may be silent, accepted and never answered or cut in half, each with its pause and a slow connect: the
    // third is answered within that, since these figures add up to 5.6 s at most.

    /** How long one call waits. Short, because what a lost call had to tell counts as told 2 s after this. */
    private static final int HOLD_MS = 2_000;
    /** Silence beyond the hold that shows a dead call: the agent is on this machine and answers at once. */
    private static final int SILENCE_MS = 500;
    static final int CONNECT_MS = 300;
    /** A call that begins a watch. A process's first one may wait its turn at discovery, which is short of room when most
     * poolers start; one behind a call that failed may not, by the 6 s. */
    private static final int TURN_MS = 2_500, AGAIN_TURN_MS = 1_300;
    /** The hold of the first call: a new process is not ready before it has been told. */
    private static final int FIRST_HOLD_MS = 500;
    /** Between failed calls, twice as long each time up to the longest, half of it more or less by chance. What discovery
     * has at its return counts as told at once, and drains are kept 2 s later: the longest is well within that. */
    private static final int AGAIN_MS = 100, AGAIN_LONGEST_MS = 500;
    /** Failures between log lines: one line in some seconds of silence. */
    private static final int LOG_EVERY = 10;

    /** Where the agent is now, and the connection to it; a change takes hold at the next call. */
    private InetSocketAddress agent;
    private Socket calling;
    private boolean moved;
    private final Counters counters;
    private final Consumer<HostList> lists;
    private final SplittableRandom random;
    private long seq;
    /** Whether the whole list is to be asked for, and whether the next call begins a watch. */
    private boolean whole, begins = true;
    /** Whether the last list was refused as an older one: a second such one, whole, shows that counting began anew. */
    private boolean older;
    private int failures;
    /** The number of the latest call, in the log. */
    private long number;

    /** {@code known} is the list as it was last had, empty for none; {@code lists} takes each further one in, in order. */
    public Watch(InetSocketAddress agent, HostList known, long seed, Counters counters, Consumer<HostList> lists) {
        this.agent = agent;
        seq = known.seq();
        whole = known.hosts().isEmpty();
        random = new SplittableRandom(seed);
        calling = new Socket();
        this.counters = counters;
        this.lists = lists;
    }

    @Override
    public void run() {
        while (true) {
            try (Socket socket = new Socket()) {
                InetSocketAddress at = begin(socket);
                socket.connect(at, CONNECT_MS);
                socket.setTcpNoDelay(true);
                follow(socket, at);
            } catch (IOException | RuntimeException e) {
                failed(e);
            }
        }
    }

    /**
     * Follows the list at another address from now on. The call under way is cut short: what the old agent has
     * still to tell may never come, and the new one's whole list holds it all.
     */
    public synchronized void moveTo(InetSocketAddress to) {
        if (!to.equals(agent)) {
            agent = to;
            moved = true;
            try {
                calling.close();
            } catch (IOException e) {
                // closing is all that was wanted
            }
        }
    }

    /** Where the list is asked for now. */
    public synchronized InetSocketAddress agent() {
        return agent;
    }

    private synchronized InetSocketAddress begin(Socket socket) {
        calling = socket;
        whole |= moved;
        begins |= moved;
        moved = false;
        return agent;
    }

    private synchronized boolean hasMoved() {
        return moved;
    }

    /** Calls over one connection until it ends; its last answer may close it in good order. */
    private void follow(Socket socket, InetSocketAddress at) throws IOException {
        TimedInput timed = new TimedInput(socket, 0);
        InputStream in = new BufferedInputStream(timed);
        boolean open = true;
        while (open) {
            timed.within(patienceMs(begins, failures));
            number++;
            counters.count(Counter.WATCH_CALLS);
            socket.getOutputStream().write(call(at).getBytes(StandardCharsets.US_ASCII));
            HttpResponse response = HttpResponse.read(in);
            if (response.status() != 200) {
                whole |= response.status() < 500; // our version may be one that discovery no longer knows
                throw new IOException("status " + response.status());
            }
            take(HostList.decode(response.body()));
            open = response.keepAlive();
        }
    }

    private String call(InetSocketAddress at) {
        String query = whole ? "" : "?from=" + seq + "&hold_ms=" + (begins ? FIRST_HOLD_MS : HOLD_MS);
        return "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + at.getHostString() + ":" + at.getPort()
                + "\r\nAccept: application/json\r\n\r\n";
    }

    private void take(HostList list) {
        boolean news = list.whole() || !list.hosts().isEmpty();
        if (news && list.seq() < seq && !(list.whole() && older)) {
            older = true;
            throw new ConfigException("list " + list.seq() + " is older than " + seq + ", which is in force");
        }
        older = false;
        if (news) {
            lists.accept(list);
            Log.info("discovery call " + number + ": " + list.describe());
        }
        seq = news ? list.seq() : Math.max(seq, list.seq());
        begins = whole; // a whole list is no watch yet
        whole = false;
        if (failures > 0) {
            Log.info("discovery answers again after " + failures + " failed calls");
            failures = 0;
        }
    }

    /** How long a call may take before it is given up; {@code begins}: one that begins a watch, behind so many failures. */
    static int patienceMs(boolean begins, int failures) {
        return !begins ? HOLD_MS + SILENCE_MS : failures == 0 ? TURN_MS : AGAIN_TURN_MS;
    }

    static long pauseMs(int failures, SplittableRandom random) {
        long longest = Math.min(AGAIN_LONGEST_MS, (long) AGAIN_MS << Math.min(failures, 16));
        return longest / 2 + random.nextLong(longest);
    }

    private void failed(Exception e) {
        if (hasMoved()) {
            return; // the old agent's call was ended by us
        }
        boolean unfit = e instanceof ConfigException || e instanceof HttpResponse.TooLongException;
        counters.count(unfit ? Counter.LISTS_REFUSED : Counter.WATCH_FAILURES);
        begins = true;
        whole |= unfit;
        if (failures++ % LOG_EVERY == 0) {
            Log.warn((unfit ? "discovery's list cannot be used, the last one stays: " : "discovery does not answer: ")
                    + e.getMessage() + " (call " + number + ", version " + seq + " in force, " + failures + " failed)");
        }
        try {
            Thread.sleep(pauseMs(failures, random));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
