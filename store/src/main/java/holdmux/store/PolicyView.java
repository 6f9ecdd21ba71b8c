package holdmux.store;

import holdmux.store.PolicyHistory.Activation;
import java.util.ArrayDeque;

/**
 * One pooler's view of the policy in force: what it serves under, when it switches, and when it must stop because it
 * has been cut off from the store for longer than the bound. No clock and no I/O: the time is passed in, in
 * nanoseconds of the pooler's own monotonic clock, which need not agree with any other pooler's.
 *
 * <p>The store tells only what is committed; a pooler therefore never acts on a version that is not. A pooler that
 * hears within the bound switches {@code delayNs} after it heard of an activation; one that starts or comes back from
 * longer than the bound switches at once, since it did not serve meanwhile. Where several activations wait, the newest
 * that is due is put in force: a pooler serves what was newest at the store when it heard it, {@code delayNs} before. Not
 * thread-safe: its host keeps it behind one lock and swaps the settings that a decision names as one immutable snapshot.
 */
public final class PolicyView {
    /** What the pooler does at a moment. */
    public sealed interface State {
        /** The version served under, or null where there is none. */
        PolicyVersion version();

        /**
         * Time since what is in force was last confirmed: across restarts too, where the pooler kept that with its
         * file, so that one cut off cannot serve an old version a bound for each start. Time it was down counts.
         */
        long ageNs();
    }

    /**
     * New requests are served under this version.
     *
     * @param serial    the activation that put it in force, 0 for the version kept from before the start
     * @param ageNs     see {@link State#ageNs}
     * @param confirmed whether the store has answered since the start
     */
    public record Serve(PolicyVersion version, long serial, long ageNs, boolean confirmed) implements State {}

    /** New requests are refused, another pooler may take them: the version may be out of date by more than the bound. */
    public record Refuse(PolicyVersion version, long ageNs, String reason) implements State {}

    /**
     * Activations that may wait at once: one a round trip to the store, for at most a delay of 60 s. Sixteen changes
     * within one delay are beyond any operator; the oldest then goes unserved, as a newer one stands behind it.
     */
    static final int MAX_PENDING = 16;

    private record Pending(Activation activation, PolicyVersion version, long dueNs) {}

    private final long stalenessBoundNs;
    private final long startNs;
    private final long initialAgeNs;
    private PolicyVersion currentVersion;
    private long currentSerial;
    /** Activations heard of and not in force yet, oldest first; see {@link #MAX_PENDING}. */
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private long seenSerial;
    private long lastConfirmedNs;
    private boolean everConfirmed;

    /**
     * @param lastGood the version that this pooler served last, as kept in its own file, or null
     * @param spentNs  the {@link State#ageNs} at the start, 0 where no version was kept
     * @param boundNs  how long a pooler cut off from the store may serve a version that it cannot confirm; positive
     * @param startNs  the start, on the pooler's clock
     */
    public PolicyView(PolicyVersion lastGood, long initialAgeNs, long stalenessBoundNs, long startNs) {
        if (stalenessBoundNs <= 0 || initialAgeNs < 0) {
            throw new IllegalArgumentException("the bound must be positive and the time spent not negative: "
                    + stalenessBoundNs + ", " + initialAgeNs);
        }
        this.currentVersion = lastGood;
        this.initialAgeNs = initialAgeNs;
        this.stalenessBoundNs = stalenessBoundNs;
        this.startNs = startNs;
    }

    /**
     * A member of the store told the activation in force there and its version, both committed; {@code active} is null
     * where nothing was ever activated. What is known already needs no version. One whose checksum fails is not taken.
     *
     * @return whether the answer was taken
     */
    public boolean update(Activation active, PolicyVersion version, long nowNs) {
        if (active == null || active.serial() <= seenSerial) {
            return true;
        }
        if (version == null || version.number() != active.number() || !version.isIntact()) {
            return false;
        }
        seenSerial = active.serial();
        if (!isFresh(nowNs) || currentVersion == null) {
            currentVersion = version;
            currentSerial = active.serial();
            pending.clear();
        } else {
            if (pending.size() == MAX_PENDING) {
                pending.removeFirst();
            }
            pending.addLast(new Pending(active, version, nowNs + active.delayNs()));
        }
        return true;
    }

    /** Nothing that was put in force before this moment is unknown here (see {@link Quorum}). */
    public void confirm(long atNs) {
        if (!everConfirmed || atNs - lastConfirmedNs > 0) {
            lastConfirmedNs = atNs;
            everConfirmed = true;
        }
    }

    /** What new requests meet at this moment; switches first where an activation's delay has passed. */
    public State stateAt(long nowNs) {
        Pending due = null;
        for (Pending next : pending) {
            due = nowNs - next.dueNs() >= 0 ? next : due;
        }
        while (due != null && pending.removeFirst() != due) {
            // older ones are overtaken by the newest that is due
        }
        if (due != null) {
            currentVersion = due.version();
            currentSerial = due.activation().serial();
        }
        long ageNs = everConfirmed ? nowNs - lastConfirmedNs : nowNs - startNs + initialAgeNs;
        if (currentVersion == null) {
            return new Refuse(null, ageNs, "no policy yet: the store has not been reached and none was kept");
        }
        if (ageNs > stalenessBoundNs) {
            return new Refuse(currentVersion, ageNs, "cut off from the store for " + ageNs / 1_000_000 + " ms, over the bound of "
                    + stalenessBoundNs / 1_000_000 + " ms: version " + currentVersion.number() + " may be out of date");
        }
        return new Serve(currentVersion, currentSerial, ageNs, everConfirmed);
    }

    /** Until when what {@link #stateAt} told at this moment holds if nothing more is heard; this moment for a refusal. */
    public long validUntil(long nowNs) {
        if (!(stateAt(nowNs) instanceof Serve serving)) {
            return nowNs;
        }
        long until = nowNs + stalenessBoundNs - serving.ageNs() + 1;
        for (Pending next : pending) {
            until = next.dueNs() - until < 0 ? next.dueNs() : until;
        }
        return until;
    }

    /**
     * What to keep for the next start: the version heard of last, even if its delay has not passed. Kept with when the
     * store was last heard, an older one would be served for a bound anew after a restart within the delay.
     */
    public PolicyVersion newestVersion() {
        return pending.isEmpty() ? currentVersion : pending.getLast().version();
    }

    /** The newest activation that this pooler has heard of, in force or not; 0 for none. */
    public long seenSerial() {
        return seenSerial;
    }

    /** The newest activation heard of and not yet in force, if any. */
    public Activation pending() {
        return pending.isEmpty() ? null : pending.getLast().activation();
    }

    /** Whether this pooler has served under what the store confirmed, without a gap over the bound. */
    private boolean isFresh(long nowNs) {
        return everConfirmed && nowNs - lastConfirmedNs <= stalenessBoundNs;
    }

    @Override
    public String toString() {
        return "policy " + (currentVersion == null ? "none" : currentVersion.number() + " " + currentVersion.shortChecksum())
                + (pending.isEmpty() ? "" : ", " + pending.getLast().activation().number() + " at "
                        + pending.getLast().dueNs())
                + ", heard " + (everConfirmed ? lastConfirmedNs : "never");
    }
}
