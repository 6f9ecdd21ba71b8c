package holdmux.store;

import holdmux.store.PolicyHistory.Activation;
import java.util.ArrayDeque;

/**
 * One pooler's view of the policy: the version it serves under, when it switches, and when it must stop because it has been
 * disconnected from the store for longer than the staleness bound. Performs no I/O and reads no clock; times are
 * nanoseconds of the pooler's monotonic clock, which need not agree with any other pooler's.
 *
 * <p>The store reports only committed activations, so a pooler never acts on an uncommitted one. A pooler in contact with
 * the store switches {@code delayNs} after it learns of an activation; one that starts, or reconnects after more than the
 * staleness bound, switches immediately, since it did not serve in the meantime. If several activations are pending, the
 * newest that is due is put in force: a pooler serves the version that was newest at the store when it was received,
 * {@code delayNs} earlier. Not thread-safe: the owner guards it with one lock and swaps the settings that a decision uses
 * as one immutable snapshot.
 */
public final class PolicyView {
    /** Whether the pooler serves or refuses new requests at a given time. */
    public sealed interface State {
        /** The version in force, or null if there is none. */
        PolicyVersion version();

        /**
         * Time since the version in force was last confirmed. It continues across restarts, downtime included, because the
         * pooler stores it with its last good version; otherwise each restart of a disconnected pooler would renew the
         * staleness bound.
         */
        long ageNs();
    }

    /**
     * New requests are served under this version.
     *
     * @param version   the version in force
     * @param serial    the activation that put it in force, 0 for the last good version loaded at the start
     * @param ageNs     see {@link State#ageNs}
     * @param confirmed whether a majority of the store has answered since the start
     */
    public record Serving(PolicyVersion version, long serial, long ageNs, boolean confirmed) implements State {}

    /** New requests are refused: the version may be out of date by more than the bound. Other poolers may serve them. */
    public record Refusing(PolicyVersion version, long ageNs, String reason) implements State {}

    /**
     * Maximum number of pending activations. At most one is learned per round trip to the store, and each waits 60 s at
     * most; operators do not make sixteen changes within one delay. Beyond it the oldest is dropped, as a newer one
     * supersedes it.
     */
    static final int MAX_PENDING = 16;

    private record Pending(Activation activation, PolicyVersion version, long dueNs) {}

    private final long stalenessBoundNs;
    private final long startNs;
    private final long initialAgeNs;
    private PolicyVersion currentVersion;
    private long currentSerial;
    /** Known activations that are not in force yet, oldest first; at most {@link #MAX_PENDING}. */
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private long seenSerial;
    private long lastConfirmedNs;
    private boolean everConfirmed;

    /**
     * @param lastGood         the version stored by this pooler before its restart, or null
     * @param initialAgeNs     the {@link State#ageNs} at the start, 0 if no version was stored
     * @param stalenessBoundNs how long a pooler may serve a version that it cannot confirm; positive
     * @param startNs          the start time on the pooler's clock
     */
    public PolicyView(PolicyVersion lastGood, long initialAgeNs, long stalenessBoundNs, long startNs) {
        if (stalenessBoundNs <= 0 || initialAgeNs < 0) {
            throw new IllegalArgumentException("the staleness bound must be positive and the initial age not negative: "
                    + stalenessBoundNs + ", " + initialAgeNs);
        }
        this.currentVersion = lastGood;
        this.initialAgeNs = initialAgeNs;
        this.stalenessBoundNs = stalenessBoundNs;
        this.startNs = startNs;
    }

    /**
     * Processes a member's answer: the activation in force there and its version, both committed. {@code active} is null if
     * nothing has been activated yet, and {@code version} may be null if the activation is already known. A version that
     * does not match its checksum or the activation is rejected.
     *
     * @return whether the answer was accepted
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

    /** Records that every activation committed before {@code atNs} is known here (see {@link Quorum}). */
    public void confirm(long atNs) {
        if (!everConfirmed || atNs - lastConfirmedNs > 0) {
            lastConfirmedNs = atNs;
            everConfirmed = true;
        }
    }

    /** The state at this time; first switches to the newest pending activation whose delay has passed. */
    public State stateAt(long nowNs) {
        Pending due = null;
        for (Pending next : pending) {
            due = nowNs - next.dueNs() >= 0 ? next : due;
        }
        while (due != null && pending.removeFirst() != due) {
            // drops older activations superseded by the newest that is due
        }
        if (due != null) {
            currentVersion = due.version();
            currentSerial = due.activation().serial();
        }
        long ageNs = everConfirmed ? nowNs - lastConfirmedNs : nowNs - startNs + initialAgeNs;
        if (currentVersion == null) {
            return new Refusing(null, ageNs, "no policy yet: the store has not answered and no last good version is stored");
        }
        if (ageNs > stalenessBoundNs) {
            return new Refusing(currentVersion, ageNs, "disconnected from the store for " + ageNs / 1_000_000 + " ms, over the bound of "
                    + stalenessBoundNs / 1_000_000 + " ms: version " + currentVersion.number() + " may be out of date");
        }
        return new Serving(currentVersion, currentSerial, ageNs, everConfirmed);
    }

    /** Until when {@link #stateAt} gives the same result if nothing more is learned; {@code nowNs} if it refuses. */
    public long validUntil(long nowNs) {
        if (!(stateAt(nowNs) instanceof Serving serving)) {
            return nowNs;
        }
        long until = nowNs + stalenessBoundNs - serving.ageNs() + 1;
        for (Pending next : pending) {
            until = next.dueNs() - until < 0 ? next.dueNs() : until;
        }
        return until;
    }

    /**
     * The version to store for the next start: the newest known, even if its delay has not passed. Storing an older one
     * together with the last confirmation time would let a restart within the delay serve it for a full staleness bound.
     */
    public PolicyVersion newestVersion() {
        return pending.isEmpty() ? currentVersion : pending.getLast().version();
    }

    /** The serial of the newest known activation, in force or not; 0 if there is none. */
    public long seenSerial() {
        return seenSerial;
    }

    /** The newest known activation that is not in force yet, or null. */
    public Activation pending() {
        return pending.isEmpty() ? null : pending.getLast().activation();
    }

    /** Whether the store has confirmed this pooler's view within the staleness bound, so that it has kept serving. */
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
