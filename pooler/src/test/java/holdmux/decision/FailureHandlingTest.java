package holdmux.decision;

import static holdmux.decision.SplitterFixture.ANY_READ;
import static holdmux.decision.SplitterFixture.DEDUPLICATED_WRITE;
import static holdmux.decision.SplitterFixture.MS;
import static holdmux.decision.SplitterFixture.UNSAFE_WRITE;
import static holdmux.decision.SplitterFixture.arrival;
import static holdmux.decision.SplitterFixture.failed;
import static holdmux.decision.SplitterFixture.lastTarget;
import static holdmux.decision.SplitterFixture.listing;
import static holdmux.decision.SplitterFixture.refused;
import static holdmux.decision.SplitterFixture.settings;
import static holdmux.decision.SplitterFixture.transmits;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.*;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Failures of stores, overload and slow start: retries, ejection, trials, probes and time-outs. */
class FailureHandlingTest {
    private static SplitterFixture fixture() {
        return new SplitterFixture(settings(Guards.REFUSE, true), 5).withThreeStores();
    }

    @Test
    void unsafeWriteThatMayHaveRunFailsAndIsNotRetried() {
        SplitterFixture f = fixture();
        f.advance(5, arrival(1, UNSAFE_WRITE, 7));
        List<Action> out = f.advance(5, f.answered(1, 0, 1, Outcome.TIMEOUT, Role.UNKNOWN, 0));
        assertTrue(failed(out));
        assertTrue(transmits(out).isEmpty());
        assertFalse(refused(out));
    }

    @Test
    void unsafeWriteThatNeverRanGoesToTheNewPrimary() {
        SplitterFixture f = fixture();
        f.advance(5, arrival(1, UNSAFE_WRITE, 7));
        List<Action> out = f.advance(5, f.answered(1, 0, 1, Outcome.MISS, Role.REPLICA, 0));
        assertTrue(transmits(out).isEmpty(), "no primary is known");
        f.runTimers(50);
        assertEquals(2, lastTarget(f.advance(50, f.probeOk(2, 0, true))));
    }

    @Test
    void pendingWriteIsRefusedAtItsDeadline() {
        SplitterFixture f = fixture();
        f.advance(5, arrival(1, UNSAFE_WRITE, 7));
        f.advance(5, f.answered(1, 0, 1, Outcome.MISS, Role.REPLICA, 0));
        assertTrue(refused(f.runTimers(1_300)));
    }

    /** A read that no store can take must not stay pending, which only occupies its client's connection. */
    @Test
    void readWithoutAUsableStoreIsRefusedEarly() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 5);
        f.advance(0, new ListChanged(ListMode.CACHED, 1, List.of(listing(2, false, 0, Availability.READY))));
        f.advance(5, new Arrived(1, SplitterFixture.BOUNDED_READ, false, 400 * MS, 0, 0, 7, 0, 1),
                new Arrived(2, UNSAFE_WRITE, false, 400 * MS, 0, 0, 7, 0, 1));
        assertFalse(refused(f.runTimers(20)));
        assertEquals(List.of(1L), f.runTimers(20).stream().filter(Decline.class::isInstance)
                .map(a -> ((Decline) a).id()).toList(), "the write has enough late worth to stay pending");
    }

    /** A first answer slower than the class's latency target must not make every later request look unservable. */
    @Test
    void slowFirstAnswerDoesNotBlockItsClass() {
        SplitterFixture f = fixture();
        f.advance(5, arrival(1, UNSAFE_WRITE, 7));
        f.runTimers(900);
        f.advance(5, new Answered(1, 1, 0, true, Outcome.OK, 905 * MS, Role.PRIMARY, 0, new float[0]));
        assertEquals(1, lastTarget(f.advance(5, arrival(2, UNSAFE_WRITE, 8))));
    }

    @Test
    void deduplicatedWriteIsRetriedOnlyInsideItsWindow() {
        SplitterFixture f = fixture();
        f.advance(5, arrival(1, DEDUPLICATED_WRITE, 7));
        assertEquals(1, lastTarget(f.advance(5, f.answered(1, 0, 1, Outcome.ERROR, Role.PRIMARY, 0))));
        SplitterFixture late = fixture();
        late.advance(5, arrival(1, DEDUPLICATED_WRITE, 7));
        List<Action> out = late.advance(790, late.answered(1, 0, 1, Outcome.ERROR, Role.PRIMARY, 0));
        assertTrue(transmits(out).isEmpty());
    }

    @Test
    void drainingPrimaryGetsNothingAndWritesWaitForItsSuccessor() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(1, true, 0, Availability.DRAINING))));
        assertTrue(transmits(f.advance(5, arrival(1, UNSAFE_WRITE, 7))).isEmpty());
        assertEquals(3, lastTarget(f.advance(50, f.probeOk(3, 0, true))));
    }

    /** A hung store has requests in flight and does not answer: its work moves, and its trial request must not be retracted. */
    @Test
    void silentStoreGetsOnlyTrialsAndTrialsAreNotRetracted() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(3, false, 0, Availability.GONE))));
        assertEquals(2, lastTarget(f.advance(5, arrival(1, ANY_READ, 0))));
        List<Action> out = f.runTimers(1_100);
        assertTrue(out.contains(new Retract(1, 0)), "work of a silent store is retracted");
        List<Action> moved = f.advance(5, f.answered(1, 0, 2, Outcome.CANCELLED, Role.UNKNOWN, 0));
        if (lastTarget(moved) == 1) {
            f.advance(5, f.answered(1, 1, 1, Outcome.OK, Role.PRIMARY, 0));
        }
        f.runTimers(1_000);
        f.actions.clear();
        for (int i = 10; i < 40; i++) {
            f.advance(2, arrival(i, ANY_READ, 0));
        }
        List<Transmit> trials = transmits(f.actions).stream().filter(t -> t.store() == 2).toList();
        assertTrue(trials.size() <= 1, "at most one trial at a time, not " + trials.size());
        if (!trials.isEmpty()) {
            assertFalse(f.advance(10, new Wakeup(1)).contains(new Retract(trials.get(0).id(), 0)));
        }
    }

    /** One long answer must not make its store look restarted and therefore cold. */
    @Test
    void longAnswerDoesNotMakeAStoreCold() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(3, false, 0, Availability.GONE),
                listing(1, true, 0, Availability.GONE))));
        f.advance(5, arrival(1, SplitterFixture.LONG_READ, 0));
        f.advance(2_500, f.answered(1, 0, 2, Outcome.OK, Role.REPLICA, 0));
        f.actions.clear();
        for (int i = 10; i < 14; i++) {
            f.advance(5, arrival(i, ANY_READ, 0));
            f.advance(5, f.answered(i, 0, 2, Outcome.OK, Role.REPLICA, 0));
        }
        assertEquals(4, transmits(f.actions).size());
    }

    @Test
    void coldStoreGetsLittleWork() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(2, false, f.now, Availability.READY),
                listing(3, false, f.now, Availability.READY), listing(1, true, 0, Availability.GONE))));
        f.actions.clear();
        for (int i = 0; i < 300; i++) {
            f.advance(5, arrival(100 + i, ANY_READ, 0));
        }
        int sent = transmits(f.actions).size();
        assertTrue(sent >= 1 && sent < 40, "requests sent to cold stores: " + sent);
    }

    /** Slow start: a long write fits an empty budget only, and short reads that come all the time must not keep it from that. */
    @Test
    void shortReadsDoNotStarveALongWriteAtAColdPrimary() {
        for (int seed = 0; seed < 20; seed++) {
            SplitterFixture f = SplitterFixture.oneOfMany(10, seed);
            f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(2, false, 0, Availability.GONE),
                    listing(3, false, 0, Availability.GONE))));
            for (int i = 0; i < 100; i++) {
                advanceAndAnswerProbes(f, 100, arrival(i, ANY_READ, 0), arrival(1_000 + i, DEDUPLICATED_WRITE, 0));
                f.advance(20, answeredAfter(i, 20));
                f.advance(180, answeredAfter(1_000 + i, 200));
            }
            f.advance(5, new ListChanged(ListMode.DELTA, 3, List.of(listing(1, true, f.now, Availability.READY))));
            int reads = 0;
            boolean writeSent = false;
            for (int i = 0; i < 120 && !writeSent; i++) {
                Event due = i % 5 == 0 ? arrival(2_000 + i, ANY_READ, 0) : new Wakeup(1);
                List<Action> out = advanceAndAnswerProbes(f, 10, due, new Wakeup(1));
                out.addAll(i == 20 ? f.advance(0, arrival(3_000, DEDUPLICATED_WRITE, 0)) : List.of());
                for (List<Transmit> sent = transmits(out); !sent.isEmpty(); sent = transmits(out)) {
                    out = new ArrayList<>();
                    for (Transmit transmit : sent) {
                        writeSent |= transmit.id() == 3_000;
                        reads++;
                        out.addAll(f.advance(0, answeredAfter(transmit.id(), 20)));
                    }
                }
            }
            assertTrue(writeSent, "seed " + seed + ": the write was not sent in 1 s beside " + reads + " reads");
            assertTrue(reads > 2, "seed " + seed + ": " + reads + " requests were sent");
        }
    }

    private static List<Action> advanceAndAnswerProbes(SplitterFixture f, long afterMs, Event... events) {
        List<Action> out = f.advance(afterMs, events);
        for (Action action : List.copyOf(out)) {
            out.addAll(action instanceof Inspect probe ? f.advance(0, f.probeOk(probe.store(), 0, true)) : List.of());
        }
        return out;
    }

    private static Answered answeredAfter(long id, long ms) {
        return new Answered(id, 1, 0, true, Outcome.OK, ms * MS, Role.PRIMARY, 0, new float[0]);
    }

    /** One corrupt answer must not make its store unhealthy and then cold for a whole warm-up time. */
    @Test
    void singleResetDoesNotMakeAStoreUnhealthy() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(3, false, 0, Availability.GONE))));
        for (int i = 0; i < 20; i += 2) {
            assertEquals(2, lastTarget(f.advance(100, arrival(i, ANY_READ, 0))));
            f.advance(5, f.answered(i, 0, 2, Outcome.RESET, Role.UNKNOWN, 0));
            f.advance(5, f.answered(i, 1, 1, Outcome.OK, Role.PRIMARY, 0));
            assertEquals(2, lastTarget(f.advance(100, arrival(i + 1, ANY_READ, 0))), "after reset " + i);
            f.advance(5, f.answered(i + 1, 0, 2, Outcome.OK, Role.REPLICA, 0));
        }
    }

    /** With frequent resets, each reset connect must not make a warm store look restarted and therefore cold. */
    @Test
    void shortFailureDoesNotMakeAStoreCold() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(3, false, 0, Availability.GONE))));
        f.advance(5, arrival(1, ANY_READ, 0));
        f.advance(5, f.answered(1, 0, 2, Outcome.RESET, Role.UNKNOWN, 0));
        f.advance(5, f.answered(1, 1, 1, Outcome.OK, Role.PRIMARY, 0));
        f.advance(5, arrival(2, ANY_READ, 0));
        f.advance(5, f.answered(2, 0, 2, Outcome.CONNECT_FAILED, Role.UNKNOWN, 0));
        f.advance(5, f.answered(2, 1, 1, Outcome.OK, Role.PRIMARY, 0));
        f.advance(560, f.probeOk(2, 0, false));
        for (int i = 10; i < 40; i++) {
            long store = lastTarget(f.advance(20, arrival(i, ANY_READ, 0)));
            f.advance(5, new Answered(i, store, 0, true, Outcome.OK, 60 * MS, Role.UNKNOWN, 0, new float[0]));
        }
        long sent = 0;
        for (int i = 100; i < 110; i++) {
            sent += transmits(f.advance(1, arrival(i, ANY_READ, 0))).stream().filter(s -> s.store() == 2).count();
        }
        assertTrue(sent >= 3, sent + " of 10 went to a store that was unhealthy for half a second");
    }

    /** The budget of cold stores must not follow recent sends alone: little sent would mean even less to send. */
    @Test
    void idlePeriodDoesNotShrinkTheColdBudget() {
        SplitterFixture f = SplitterFixture.oneOfMany(100, 1); // its share of the cores is close to nothing
        f.advance(0, new ListChanged(ListMode.DELTA, 2, List.of(listing(3, false, 0, Availability.GONE))));
        for (int i = 0; i < 2_000; i++) {
            f.advance(5, arrival(i, ANY_READ, 0), arrival(10_000 + i, UNSAFE_WRITE, 7));
            f.advance(5, new Answered(i, 2, 0, true, Outcome.OK, 60 * MS, Role.REPLICA, 0, new float[0]),
                    new Answered(10_000 + i, 1, 0, true, Outcome.OK, 60 * MS, Role.PRIMARY, 0, new float[0]));
        }
        f.runTimers(8_000);
        f.advance(5, new ListChanged(ListMode.DELTA, 3, List.of(listing(2, false, f.now - 8_000 * MS, Availability.READY))));
        long sent = 0;
        for (int i = 20_000; i < 20_020; i++) {
            List<Action> out = f.advance(1, arrival(i, ANY_READ, 0));
            sent += transmits(out).stream().filter(s -> s.store() == 2).count();
        }
        assertTrue(sent >= 4, sent + " of 20 went to a half-warm, idle store");
    }

    /** If probes are scarce, the first members of a group must not use them all, or its primary stays unknown. */
    @Test
    void membersOfALeaderlessGroupAreProbedInTurn() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 5);
        f.advance(0, new ListChanged(ListMode.CACHED, 1, List.of(listing(1, false, 0, Availability.READY),
                listing(2, false, 0, Availability.READY), listing(3, false, 0, Availability.READY))));
        Map<Long, Integer> probed = new HashMap<>();
        for (int i = 1; i <= 400; i++) {
            List<Action> out = f.advance(20, arrival(i, UNSAFE_WRITE, 7), new ClientLeft(i - 1));
            out.stream().filter(Inspect.class::isInstance).map(a -> ((Inspect) a).store()).forEach(store -> {
                probed.merge(store, 1, Integer::sum);
                f.advance(1, f.probeOk(store, 10, false));
            });
        }
        int all = probed.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(probed.getOrDefault(3L, 0) >= all / 4, "probes by store: " + probed);
    }

    /** A process that has just started has sent nothing yet, and must still use warming stores beside loaded ones. */
    @Test
    void newPoolerUsesHalfWarmStores() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(2, false, f.now - 8_000 * MS, Availability.READY),
                listing(3, false, 0, Availability.GONE))));
        long sent = 0;
        for (int i = 1; i <= 100; i++) {
            long store = lastTarget(f.advance(20, arrival(i, ANY_READ, 0)));
            sent += store == 2 ? 1 : 0;
            f.advance(20, new Answered(i, store, 0, true, Outcome.OK, 20 * MS, Role.UNKNOWN, 0, new float[0]));
        }
        assertTrue(sent >= 15, sent + " of 100 went to a half-warm, idle store");
    }

    @Test
    void fastFailingStoreIsEjected() {
        SplitterFixture f = fixture();
        int toTwo = 0;
        for (int i = 1; i < 60; i++) {
            long store = lastTarget(f.advance(5, arrival(i, ANY_READ, 0)));
            toTwo += store == 2 ? 1 : 0;
            Outcome outcome = store == 2 ? Outcome.ERROR : Outcome.OK;
            long next = lastTarget(f.advance(2, f.answered(i, 0, store, outcome, Role.UNKNOWN, 0)));
            if (outcome == Outcome.ERROR && next != 0) {
                f.advance(2, f.answered(i, 1, next, Outcome.OK, Role.UNKNOWN, 0));
            }
        }
        assertTrue(toTwo < 10, toTwo + " of 59 went to the failing store");
    }

    /** If most stores look silent, the load is the cause: retracting work and sending it again would add to it. */
    @Test
    void noWorkIsRetractedInPanic() {
        SplitterFixture f = fixture();
        for (int i = 1; i < 40; i++) {
            f.advance(1, arrival(i, ANY_READ, 0));
        }
        f.actions.clear();
        f.runTimers(900);
        assertTrue(f.actions.stream().noneMatch(a -> a instanceof Retract));
    }

    /** In panic unhealthy stores serve too, but an unreachable one only costs each request a failed connect. */
    @Test
    void unreachableStoreIsSkippedEvenInPanic() {
        SplitterFixture f = fixture();
        for (int i = 0; i < 20; i++) {
            f.advance(5, f.probeOk(1, 0, true));
            long store = lastTarget(f.advance(5, arrival(i, ANY_READ, 0)));
            int attempt = 0;
            for (; store > 1; attempt++) {
                store = lastTarget(f.advance(5, f.answered(i, attempt, store, Outcome.CONNECT_FAILED, Role.UNKNOWN, 0)));
            }
            assertEquals(1, store);
            assertTrue(i < 2 || attempt == 0, "attempts at unreachable stores for request " + i);
            f.advance(5, f.answered(i, attempt, 1, Outcome.OK, Role.PRIMARY, 0));
        }
    }

    /** Fast answers must not bias the usual latency down until every store looks silent. */
    @Test
    void varyingLatencyDoesNotMakeStoresLookSilent() {
        SplitterFixture f = fixture();
        int refused = 0;
        for (int i = 1; i < 600; i++) {
            List<Action> out = f.advance(5, arrival(i, ANY_READ, 0));
            refused += refused(out) ? 1 : 0;
            long store = lastTarget(out);
            int wait = i % 7 == 0 ? 300 : 1 + i % 40;
            out = f.advance(wait, new Answered(i, store, 0, true, Outcome.OK, wait * MS, Role.UNKNOWN, 0, new float[0]));
            refused += refused(f.advance(5, new Wakeup(1))) ? 1 : 0;
        }
        assertEquals(0, refused);
        assertEquals(599, transmits(f.actions).size());
    }

    /** A long reported queue counts even if this pooler has no requests in flight at the store. */
    @Test
    void storeWithALongReportedQueueIsAvoided() {
        SplitterFixture f = fixture();
        f.advance(5, new Checked(2, Outcome.OK, MS, new float[] {(float) ((f.now - SplitterFixture.EPOCH_NS) / 1e9), 0, 600}));
        for (int i = 1; i < 30; i++) {
            long store = lastTarget(f.advance(5, arrival(i, ANY_READ, 0)));
            assertTrue(store != 2, "sent to the store with the long queue");
            if (store != 0) {
                f.advance(2, f.answered(i, 0, store, Outcome.OK, Role.UNKNOWN, 0));
            }
        }
    }

    /** Reports in answers must be used too; one ahead of time must not make stale replicas look fresh. */
    @Test
    void reportInAnAnswerCountsLikeAProbeReport() {
        SplitterFixture f = fixture();
        long first = lastTarget(f.advance(5, arrival(1, ANY_READ, 0)));
        float[] report = {(float) ((f.now - SplitterFixture.EPOCH_NS) / 1e9), 0, 600};
        f.advance(5, new Answered(1, first, 0, true, Outcome.OK, 5 * MS, Role.REPLICA, 0, report));
        for (int i = 2; i < 30; i++) {
            long store = lastTarget(f.advance(5, arrival(i, ANY_READ, 0)));
            assertTrue(store != first, "sent to the store with the long queue");
            if (store != 0) {
                f.advance(2, f.answered(i, 0, store, Outcome.OK, Role.UNKNOWN, 0));
            }
        }
        SplitterFixture ahead = new SplitterFixture(settings(Guards.OFF, true), 5).withThreeStores();
        ahead.advance(5, ahead.probeOk(2, -60_000, false), ahead.probeOk(3, -60_000, false));
        assertEquals(1, ahead.sentToAfterProbes(5_000, arrival(1, SplitterFixture.BOUNDED_READ, 0)), "replica positions are not known");
    }

    /** Latency targets differ by deployment: where they are short, 400 ms of silence exceed every deadline. */
    @Test
    void silenceThresholdFollowsTheLatencyTargets() {
        Settings s = settings(Guards.REFUSE, true);
        List<RequestClass> quick = s.classes().stream().map(c -> new RequestClass(c.consistency(), c.boundNs(),
                c.onTimeNs() / 4, c.deadlineNs(), c.worth(), c.lateWorth(), c.effect(), c.scope(), c.windowNs())).toList();
        SplitterFixture f = new SplitterFixture(new Settings(s.me(), s.balancers(), s.zone(), s.stepNs(), quick, s.quotas(),
                s.overShareWorth(), s.guards(), s.waitNs(), s.zeroNs(), s.remembered(), s.showsRole(),
                s.mustSubscribe(), s.rules(), s.limits(), s.positionField(), s.primaryField(), s.queueField(),
                s.inflightField(), s.utilField()), 5).withThreeStores();
        f.advance(5, arrival(1, ANY_READ, 0));
        assertTrue(f.runTimers(380).contains(new Retract(1, 0)), "retracted from the silent store");
    }

    /** Late requests must not build a queue at the primary that makes every new write late too. */
    @Test
    void lateRequestDoesNotQueueWhereAnOnTimeOneWouldNot() {
        SplitterFixture f = fixture();
        for (int i = 1; i < 200; i++) {
            f.advance(1, arrival(i, DEDUPLICATED_WRITE, 0));
        }
        int early = transmits(f.actions).size();
        f.actions.clear();
        f.runTimers(500);
        assertTrue(early < 30, early + " writes in flight at once");
        assertTrue(transmits(f.actions).size() <= early, "late writes added " + transmits(f.actions).size());
    }

    /** A store that was slow under load must not stay excluded and then be flooded once that work is done. */
    @Test
    void storeIsUsedAgainOnceItsWorkIsDone() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(3, false, 0, Availability.GONE),
                listing(1, true, 0, Availability.GONE))));
        for (int i = 1; i < 60; i++) {
            f.advance(0, arrival(i, ANY_READ, 0));
        }
        long sent = transmits(f.actions).size();
        f.runTimers(300);
        for (int i = 1; i <= sent; i++) {
            f.advance(0, new Answered(i, 2, 0, true, Outcome.OK, 300 * MS, Role.REPLICA, 0, new float[0]));
        }
        assertEquals(2, lastTarget(f.advance(5, arrival(1_000, ANY_READ, 0))));
        assertEquals(2, lastTarget(f.advance(5, arrival(1_001, ANY_READ, 0))));
    }

    @Test
    void timedOutRequestsAreAnsweredOnce() {
        SplitterFixture f = fixture();
        f.advance(5, arrival(1, ANY_READ, 0));
        List<Action> out = f.runTimers(1_400);
        assertEquals(1, out.stream().filter(a -> a instanceof Decline || a instanceof RespondError).count());
        assertTrue(f.advance(5, new ClientLeft(1)).isEmpty());
    }

    /** Invalid requests fail at every store, and must not eject stores. */
    @Test
    void secondErrorBlamesTheRequestAndALoneFailingStoreIsEjected() {
        SplitterFixture f = fixture();
        for (int i = 1; i < 20; i++) {
            long store = lastTarget(f.advance(5, arrival(i, ANY_READ, 0)));
            long next = lastTarget(f.advance(2, f.answered(i, 0, store, Outcome.ERROR, Role.UNKNOWN, 0)));
            assertTrue(store != 0 && next != 0 && next != store, "no store is ejected");
            assertTrue(refused(f.advance(2, f.answered(i, 1, next, Outcome.ERROR, Role.UNKNOWN, 0))), "not sent a third time");
        }
        long bad = lastTarget(f.advance(5, arrival(50, ANY_READ, 0)));
        long good = lastTarget(f.advance(2, f.answered(50, 0, bad, Outcome.ERROR, Role.UNKNOWN, 0)));
        f.advance(2, f.answered(50, 1, good, Outcome.OK, Role.UNKNOWN, 0));
        for (int i = 51; i < 60; i++) {
            assertFalse(lastTarget(f.advance(2, arrival(i, ANY_READ, 0))) == bad, "another store served what this one failed");
        }
    }

    /** A list may name addresses that are no stores: a new entry must answer a probe before it is used or counted. */
    @Test
    void newlyListedStoreMustAnswerAProbeFirst() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(9, false, 0, Availability.READY))));
        for (int i = 1; i < 40; i++) {
            long store = lastTarget(f.advance(2, arrival(i, ANY_READ, 0)));
            assertTrue(store == 2 || store == 3);
            f.advance(2, f.answered(i, 0, store, Outcome.OK, Role.REPLICA, 0));
        }
        f.advance(5, f.probeOk(9, 1, false));
        boolean used = false;
        for (int i = 41; i < 80; i++) {
            used |= lastTarget(f.advance(2, arrival(i, ANY_READ, 0))) == 9;
        }
        assertTrue(used, "the store must be used once it has answered a probe");
    }

    /** With hundreds of poolers timers are costly: their number follows the open requests, without any there are none. */
    @Test
    void timersAreSetOnlyForOpenRequests() {
        SplitterFixture f = fixture();
        assertTrue(f.advance(5, new Wakeup(1)).stream().noneMatch(Schedule.class::isInstance), "timer without open requests");
        f.advance(5, arrival(1, ANY_READ, 0));
        int timers = (int) f.runTimers(200).stream().filter(Schedule.class::isInstance).count();
        assertTrue(timers <= 20, timers + " timers in 200 ms for one request");
    }

    /** With a free first request at each of a hundred poolers, a cold store comes to 99% of its permitted load. */
    @Test
    void manyPoolersDoNotSendToAColdStoreAtOnce() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            SplitterFixture f = SplitterFixture.oneOfMany(100, seed);
            f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(listing(1, false, f.now, Availability.READY),
                    listing(2, false, f.now, Availability.READY), listing(3, false, f.now, Availability.READY))));
            sent += transmits(f.advance(5, arrival(1, ANY_READ, 0))).size();
        }
        assertTrue(sent < 30, sent + " of 100 poolers sent to cold stores at once");
    }

    @Test
    void failedListCallIsRetried() {
        SplitterFixture f = fixture();
        List<Action> out = f.advance(5, new ListChanged(ListMode.FAILED, 2, List.of()));
        Schedule again = (Schedule) out.stream().filter(Schedule.class::isInstance).findFirst().orElseThrow();
        assertTrue(f.advance(again.afterNs() / MS + 1, new Wakeup(again.handle())).contains(new Subscribe(true)));
    }
}
