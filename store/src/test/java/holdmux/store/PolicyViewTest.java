package holdmux.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.store.PolicyHistory.Activation;
import holdmux.store.PolicyView.Refusing;
import holdmux.store.PolicyView.Serving;
import holdmux.store.PolicyView.State;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Which version a pooler serves, and that poolers never disagree for longer than the staleness bound. */
class PolicyViewTest {
    private static final long S = 1_000_000_000L;
    private static final long BOUND = 10 * S;
    private static final PolicyVersion ONE = PolicyVersion.of(1, 0, "{\"v\":1}", "a");
    private static final PolicyVersion TWO = PolicyVersion.of(2, 1, "{\"v\":2}", "a");

    /** Processes an answer and, if it is accepted, confirms it at the same time. */
    private static boolean updateAndConfirm(PolicyView view, Activation active, PolicyVersion version, long nowNs) {
        boolean accepted = view.update(active, version, nowNs);
        if (accepted) {
            view.confirm(nowNs);
        }
        return accepted;
    }

    /** An answer without a confirming majority is applied, as it is committed, but does not renew the staleness bound. */
    @Test
    void singleMemberUpdateIsAppliedButNotConfirmed() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 0);
        assertTrue(view.update(new Activation(2, 0, 1, "a"), TWO, S));
        assertEquals(new Serving(TWO, 1, S, false), view.stateAt(S));
        assertInstanceOf(Refusing.class, view.stateAt(BOUND + 1));
        view.confirm(2 * S);
        view.confirm(S); // an older confirmation that arrives late
        assertEquals(new Serving(TWO, 1, BOUND - 2 * S, true), view.stateAt(BOUND));
        assertEquals(BOUND + 2 * S + 1, view.validUntil(BOUND));
    }

    @Test
    void lastGoodVersionIsServedUntilTheStalenessBound() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 100 * S);
        assertEquals(new Serving(ONE, 0, 3 * S, false), view.stateAt(103 * S));
        assertEquals(new Serving(ONE, 0, BOUND, false), view.stateAt(110 * S));
        Refusing refusing = assertInstanceOf(Refusing.class, view.stateAt(110 * S + 1));
        assertTrue(refusing.reason().contains("over the bound of 10000 ms"), refusing.reason());
        assertInstanceOf(Refusing.class, new PolicyView(null, 0, BOUND, 0).stateAt(0), "no version to serve");
    }

    /** Guards against a disconnected pooler that serves an old version for a full bound after each restart. */
    @Test
    void aRestartDoesNotRenewTheBound() {
        PolicyView view = new PolicyView(ONE, 7 * S, BOUND, 0);
        assertEquals(new Serving(ONE, 0, 10 * S, false), view.stateAt(3 * S));
        assertInstanceOf(Refusing.class, view.stateAt(3 * S + 1));
    }

    @Test
    void firstAnswerIsAppliedWithoutDelay() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 0);
        assertTrue(updateAndConfirm(view, new Activation(2, 5 * S, 4, "a"), TWO, S));
        assertEquals(new Serving(TWO, 4, 0, true), view.stateAt(S));
    }

    @Test
    void connectedPoolerSwitchesAfterTheDelay() {
        PolicyView view = new PolicyView(null, 0, BOUND, 0);
        updateAndConfirm(view, new Activation(1, 0, 1, "a"), ONE, S);
        updateAndConfirm(view, new Activation(2, 3 * S, 2, "a"), TWO, 2 * S);
        assertEquals(ONE, view.stateAt(5 * S - 1).version());
        assertEquals(new Serving(TWO, 2, 3 * S, true), view.stateAt(5 * S));
        assertNull(view.pending());
    }

    @Test
    void poolerDisconnectedBeyondTheBoundSwitchesWithoutDelay() {
        PolicyView view = new PolicyView(null, 0, BOUND, 0);
        updateAndConfirm(view, new Activation(1, 0, 1, "a"), ONE, 0);
        assertInstanceOf(Refusing.class, view.stateAt(BOUND + 1));
        updateAndConfirm(view, new Activation(2, 5 * S, 2, "a"), TWO, BOUND + 2);
        assertEquals(TWO, view.stateAt(BOUND + 2).version());
    }

    @Test
    void corruptOrMismatchedAnswerIsRejectedAndConfirmsNothing() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 0);
        PolicyVersion corrupted = new PolicyVersion(2, 1, "{\"v\":3}", TWO.sha256(), "a");
        assertFalse(updateAndConfirm(view, new Activation(2, 0, 1, "a"), corrupted, S));
        assertFalse(updateAndConfirm(view, new Activation(2, 0, 1, "a"), ONE, S));
        assertFalse(updateAndConfirm(view, new Activation(2, 0, 1, "a"), null, S));
        assertEquals(new Serving(ONE, 0, 2 * S, false), view.stateAt(2 * S));
    }

    @Test
    void staleAnswerIsIgnored() {
        PolicyView view = new PolicyView(null, 0, BOUND, 0);
        updateAndConfirm(view, new Activation(2, 0, 2, "a"), TWO, S);
        updateAndConfirm(view, new Activation(1, 0, 1, "a"), ONE, 2 * S);
        assertEquals(TWO, view.stateAt(2 * S).version());
    }

    /**
     * Twelve poolers with clocks up to 5 s apart poll the store at random; some are disconnected for a while, some are
     * killed and restarted later with their stored version. A pooler must never serve an uncommitted activation, nor a
     * version superseded longer ago than the staleness bound plus the newer activation's delay. Hence no two poolers serve
     * different versions for longer than that.
     */
    @Property(tries = 300, seed = "20261202")
    void noPoolerServesAnOutOfDateVersionForLongerThanTheBound(@ForAll long seed) {
        Random random = new Random(seed);
        long bound = (1 + random.nextInt(10)) * S;
        long delay = random.nextInt(3) * S / 2;
        long step = S / 10;
        int poolers = 12;
        long[] offset = new long[poolers];
        long[] disconnectedUntil = new long[poolers];
        long[] downUntil = new long[poolers];
        long[] stoppedAt = new long[poolers];
        PolicyView[] views = new PolicyView[poolers];
        for (int p = 0; p < poolers; p++) {
            offset[p] = random.nextLong(10 * S) - 5 * S;
            views[p] = new PolicyView(random.nextBoolean() ? ONE : null, 0, bound, offset[p]);
        }
        List<Activation> committed = new ArrayList<>();
        List<Long> committedAt = new ArrayList<>();
        List<PolicyVersion> versions = new ArrayList<>();
        for (long now = 0; now < 120 * S; now += step) {
            if (random.nextInt(40) == 0) {
                PolicyVersion version = random.nextBoolean() ? ONE : TWO;
                committed.add(new Activation(version.number(), delay, committed.size() + 1L, "a"));
                committedAt.add(now);
                versions.add(version);
            }
            // the versions that a pooler may still serve within the staleness bound
            List<Long> allowed = new ArrayList<>();
            boolean allCommitsRecent = true;
            for (int i = 0; i < committedAt.size(); i++) {
                boolean superseded = i + 1 < committedAt.size() && committedAt.get(i + 1) + delay < now - bound - step;
                if (!superseded) {
                    allowed.add(versions.get(i).number());
                }
                allCommitsRecent &= committedAt.get(i) + delay >= now - bound - step;
            }
            boolean initialVersionAllowed = allCommitsRecent;
            for (int p = 0; p < poolers; p++) {
                long local = now + offset[p];
                if (random.nextInt(300) == 0) {
                    disconnectedUntil[p] = now + random.nextLong(3 * bound);
                }
                if (random.nextInt(600) == 0 && now >= downUntil[p]) {
                    stoppedAt[p] = now;
                    downUntil[p] = now + random.nextLong(2 * bound);
                }
                if (now < downUntil[p]) {
                    continue;
                }
                if (stoppedAt[p] > 0) { // restarted with the version it had stored
                    State stateAtStop = views[p].stateAt(stoppedAt[p] + offset[p]);
                    views[p] = new PolicyView(views[p].newestVersion(), stateAtStop.ageNs() + now - stoppedAt[p], bound, local);
                    stoppedAt[p] = 0;
                }
                if (now >= disconnectedUntil[p] && random.nextInt(5) == 0) {
                    int last = committed.size() - 1;
                    updateAndConfirm(views[p], last < 0 ? null : committed.get(last), last < 0 ? null : versions.get(last), local);
                }
                State state = views[p].stateAt(local);
                if (state instanceof Serving serving) {
                    assertTrue(serving.serial() <= committed.size(), "ahead of the store");
                    long at = now;
                    PolicyView view = views[p];
                    assertTrue(initialVersionAllowed || allowed.contains(serving.version().number()), () -> "serves version "
                            + serving.version().number() + " at " + at + " where " + allowed + " may be; " + view);
                }
            }
        }
    }
}
