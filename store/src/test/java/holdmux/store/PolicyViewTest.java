package holdmux.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.store.PolicyHistory.Activation;
import holdmux.store.PolicyView.Refuse;
import holdmux.store.PolicyView.Serve;
import holdmux.store.PolicyView.State;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What one pooler serves under, and that a fleet of them never parts for longer than the bound. */
class PolicyViewTest {
    private static final long S = 1_000_000_000L;
    private static final long BOUND = 10 * S;
    private static final PolicyVersion ONE = PolicyVersion.of(1, 0, "{\"v\":1}", "a");
    private static final PolicyVersion TWO = PolicyVersion.of(2, 1, "{\"v\":2}", "a");

    /** The store told this, and confirmed it. */
    private static boolean heard(PolicyView view, Activation active, PolicyVersion version, long nowNs) {
        boolean taken = view.update(active, version, nowNs);
        if (taken) {
            view.confirm(nowNs);
        }
        return taken;
    }

    /** News that no majority has confirmed is taken, being committed, but renews nothing. */
    @Test
    void whatOneMemberTellsIsTakenButConfirmsNothing() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 0);
        assertTrue(view.update(new Activation(2, 0, 1, "a"), TWO, S));
        assertEquals(new Serve(TWO, 1, S, false), view.stateAt(S));
        assertInstanceOf(Refuse.class, view.stateAt(BOUND + 1));
        view.confirm(2 * S);
        view.confirm(S); // an older one, come late
        assertEquals(new Serve(TWO, 1, BOUND - 2 * S, true), view.stateAt(BOUND));
        assertEquals(BOUND + 2 * S + 1, view.validUntil(BOUND));
    }

    @Test
    void aPoolerThatCannotReachTheStoreServesItsLastGoodVersionUntilTheBound() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 100 * S);
        assertEquals(new Serve(ONE, 0, 3 * S, false), view.stateAt(103 * S));
        assertEquals(new Serve(ONE, 0, BOUND, false), view.stateAt(110 * S));
        Refuse refuse = assertInstanceOf(Refuse.class, view.stateAt(110 * S + 1));
        assertTrue(refuse.reason().contains("over the bound of 10000 ms"), refuse.reason());
        assertInstanceOf(Refuse.class, new PolicyView(null, 0, BOUND, 0).stateAt(0), "nothing to serve under");
    }

    /** A pooler cut off and started again does not get a fresh bound for each start. */
    @Test
    void aRestartDoesNotRenewTheBound() {
        PolicyView view = new PolicyView(ONE, 7 * S, BOUND, 0);
        assertEquals(new Serve(ONE, 0, 10 * S, false), view.stateAt(3 * S));
        assertInstanceOf(Refuse.class, view.stateAt(3 * S + 1));
    }

    @Test
    void theFirstAnswerOfTheStoreCountsAtOnceWhateverItsDelay() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 0);
        assertTrue(heard(view, new Activation(2, 5 * S, 4, "a"), TWO, S));
        assertEquals(new Serve(TWO, 4, 0, true), view.stateAt(S));
    }

    @Test
    void aPoolerInTouchSwitchesWhenTheDelayHasPassedOnItsOwnClock() {
        PolicyView view = new PolicyView(null, 0, BOUND, 0);
        heard(view, new Activation(1, 0, 1, "a"), ONE, S);
        heard(view, new Activation(2, 3 * S, 2, "a"), TWO, 2 * S);
        assertEquals(ONE, view.stateAt(5 * S - 1).version());
        assertEquals(new Serve(TWO, 2, 3 * S, true), view.stateAt(5 * S));
        assertNull(view.pending());
    }

    @Test
    void aPoolerBackFromLongerThanTheBoundSwitchesAtOnce() {
        PolicyView view = new PolicyView(null, 0, BOUND, 0);
        heard(view, new Activation(1, 0, 1, "a"), ONE, 0);
        assertInstanceOf(Refuse.class, view.stateAt(BOUND + 1));
        heard(view, new Activation(2, 5 * S, 2, "a"), TWO, BOUND + 2);
        assertEquals(TWO, view.stateAt(BOUND + 2).version());
    }

    @Test
    void aTornOrMismatchedAnswerIsNotTakenNorCountsAsContact() {
        PolicyView view = new PolicyView(ONE, 0, BOUND, 0);
        PolicyVersion torn = new PolicyVersion(2, 1, "{\"v\":3}", TWO.sha256(), "a");
        assertFalse(heard(view, new Activation(2, 0, 1, "a"), torn, S));
        assertFalse(heard(view, new Activation(2, 0, 1, "a"), ONE, S));
        assertFalse(heard(view, new Activation(2, 0, 1, "a"), null, S));
        assertEquals(new Serve(ONE, 0, 2 * S, false), view.stateAt(2 * S));
    }

    @Test
    void anOlderAnswerAfterANewerOneChangesNothing() {
        PolicyView view = new PolicyView(null, 0, BOUND, 0);
        heard(view, new Activation(2, 0, 2, "a"), TWO, S);
        heard(view, new Activation(1, 0, 1, "a"), ONE, 2 * S);
        assertEquals(TWO, view.stateAt(2 * S).version());
    }

    /**
     * Twelve poolers on clocks up to 5 s apart ask the store now and then; some are cut off for a while, some killed and
     * started again, some time later, with their file. Whatever the order, a pooler never serves under an activation that
     * is not committed, and never under a version that was followed by another one longer ago than the bound and that
     * one's delay: so no two poolers serve different versions for longer than that.
     */
    @Property(tries = 300, seed = "20261202")
    void noPoolerServesAnOutOfDateVersionForLongerThanTheBound(@ForAll long seed) {
        Random random = new Random(seed);
        long bound = (1 + random.nextInt(10)) * S;
        long delay = random.nextInt(3) * S / 2;
        long step = S / 10;
        int poolers = 12;
        long[] offset = new long[poolers];
        long[] cutUntil = new long[poolers];
        long[] downUntil = new long[poolers];
        long[] diedAt = new long[poolers];
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
            // what was due at some moment that the bound still lets a pooler serve from
            List<Long> allowed = new ArrayList<>();
            boolean any = true;
            for (int i = 0; i < committedAt.size(); i++) {
                boolean followed = i + 1 < committedAt.size() && committedAt.get(i + 1) + delay < now - bound - step;
                if (!followed) {
                    allowed.add(versions.get(i).number());
                }
                any &= committedAt.get(i) + delay >= now - bound - step;
            }
            boolean anything = any;
            for (int p = 0; p < poolers; p++) {
                long local = now + offset[p];
                if (random.nextInt(300) == 0) {
                    cutUntil[p] = now + random.nextLong(3 * bound);
                }
                if (random.nextInt(600) == 0 && now >= downUntil[p]) {
                    diedAt[p] = now;
                    downUntil[p] = now + random.nextLong(2 * bound);
                }
                if (now < downUntil[p]) {
                    continue;
                }
                if (diedAt[p] > 0) { // started again with what its file kept
                    State was = views[p].stateAt(diedAt[p] + offset[p]);
                    views[p] = new PolicyView(views[p].newestVersion(), was.ageNs() + now - diedAt[p], bound, local);
                    diedAt[p] = 0;
                }
                if (now >= cutUntil[p] && random.nextInt(5) == 0) {
                    int last = committed.size() - 1;
                    heard(views[p], last < 0 ? null : committed.get(last), last < 0 ? null : versions.get(last), local);
                }
                State standing = views[p].stateAt(local);
                if (standing instanceof Serve serve) {
                    assertTrue(serve.serial() <= committed.size(), "ahead of the store");
                    long at = now;
                    PolicyView view = views[p];
                    assertTrue(anything || allowed.contains(serve.version().number()), () -> "serves version "
                            + serve.version().number() + " at " + at + " where " + allowed + " may be; " + view);
                }
            }
        }
    }
}
