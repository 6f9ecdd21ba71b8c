package holdmux.decision;

import static holdmux.decision.SplitterFixture.ANY;
import static holdmux.decision.SplitterFixture.KEYED;
import static holdmux.decision.SplitterFixture.MS;
import static holdmux.decision.SplitterFixture.UNSAFE;
import static holdmux.decision.SplitterFixture.failed;
import static holdmux.decision.SplitterFixture.line;
import static holdmux.decision.SplitterFixture.refused;
import static holdmux.decision.SplitterFixture.request;
import static holdmux.decision.SplitterFixture.sends;
import static holdmux.decision.SplitterFixture.sentTo;
import static holdmux.decision.SplitterFixture.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.*;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FailureHandlingTest {
    private static SplitterFixture fixture() {
        return new SplitterFixture(settings(Guards.REFUSE, true), 5).withThreeStores();
    }

    @Test
    void unsafeWriteThatMayHaveRunFailsAndIsNotRetried() {
        SplitterFixture f = fixture();
        f.advance(5, request(1, UNSAFE, 7));
        List<Action> out = f.advance(5, f.answered(1, 0, 1, Outcome.TIMEOUT, Role.UNKNOWN, 0));
        assertTrue(failed(out));
        assertTrue(sends(out).isEmpty());
        assertFalse(refused(out));
    }

    @Test
    void unsafeWriteThatNeverRanGoesToTheNewPrimary() {
        SplitterFixture f = fixture();
        f.advance(5, request(1, UNSAFE, 7));
        List<Action> out = f.advance(5, f.answered(1, 0, 1, Outcome.MISS, Role.REPLICA, 0));
        assertTrue(sends(out).isEmpty(), "no leader is known");
        f.runTimers(50);
        assertEquals(2, sentTo(f.advance(50, f.probeOk(2, 0, true))));
    }

    @Test
    void pendingWriteIsRefusedAtItsDeadline() {
        SplitterFixture f = fixture();
        f.advance(5, request(1, UNSAFE, 7));
        f.advance(5, f.answered(1, 0, 1, Outcome.MISS, Role.REPLICA, 0));
        assertTrue(refused(f.runTimers(1_300)));
    }

    /** Guards against holding on to what no store will be given, which only keeps its client's connection. */
    @Test
    void readWithoutAUsableStoreIsRefusedEarly() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 5);
        f.advance(0, new ListChanged(ListMode.CACHED, 1, List.of(line(2, false, 0, Availability.READY))));
        f.advance(5, new Arrived(1, SplitterFixture.VIEW, false, 400 * MS, 0, 0, 7, 0, 1),
                new Arrived(2, UNSAFE, false, 400 * MS, 0, 0, 7, 0, 1));
        assertFalse(refused(f.runTimers(20)));
        assertEquals(List.of(1L), f.runTimers(20).stream().filter(Decline.class::isInstance)
                .map(a -> ((Decline) a).id()).toList(), "the write is worth its wait");
    }

    /** Guards against a class that is locked out for good: its first answer took longer than its aim. */
    @Test
    void slowFirstAnswerDoesNotBlockItsClass() {
        SplitterFixture f = fixture();
        f.advance(5, request(1, UNSAFE, 7));
        f.runTimers(900);
        f.advance(5, new Answered(1, 1, 0, true, Outcome.OK, 905 * MS, Role.PRIMARY, 0, new float[0]));
        assertEquals(1, sentTo(f.advance(5, request(2, UNSAFE, 8))));
    }

    @Test
    void deduplicatedWriteIsRetriedOnlyInsideItsWindow() {
        SplitterFixture f = fixture();
        f.advance(5, request(1, KEYED, 7));
        assertEquals(1, sentTo(f.advance(5, f.answered(1, 0, 1, Outcome.ERROR, Role.PRIMARY, 0))));
        SplitterFixture late = fixture();
        late.advance(5, request(1, KEYED, 7));
        List<Action> out = late.advance(790, late.answered(1, 0, 1, Outcome.ERROR, Role.PRIMARY, 0));
        assertTrue(sends(out).isEmpty());
    }

    @Test
    void drainingPrimaryGetsNothingAndWritesWaitForItsSuccessor() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(1, true, 0, Availability.DRAINING))));
        assertTrue(sends(f.advance(5, request(1, UNSAFE, 7))).isEmpty());
        assertEquals(3, sentTo(f.advance(50, f.probeOk(3, 0, true))));
    }

    /** The symptom: work out, no answer. Found on days with hangs; the trial used to be taken back at once. */
    @Test
    void silentStoreGetsOnlyTrialsAndTrialsAreNotRetracted() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(3, false, 0, Availability.GONE))));
        assertEquals(2, sentTo(f.advance(5, request(1, ANY, 0))));
        List<Action> out = f.runTimers(1_100);
        assertTrue(out.contains(new Retract(1, 0)), "work at a silent store is taken back");
        List<Action> moved = f.advance(5, f.answered(1, 0, 2, Outcome.CANCELLED, Role.UNKNOWN, 0));
        if (sentTo(moved) == 1) {
            f.advance(5, f.answered(1, 1, 1, Outcome.OK, Role.PRIMARY, 0));
        }
        f.runTimers(1_000);
        f.actions.clear();
        for (int i = 10; i < 40; i++) {
            f.advance(2, request(i, ANY, 0));
        }
        List<Transmit> trials = sends(f.actions).stream().filter(t -> t.store() == 2).toList();
        assertTrue(trials.size() <= 1, "at most one trial at a time, not " + trials.size());
        if (!trials.isEmpty()) {
            assertFalse(f.advance(10, new Wakeup(1)).contains(new Retract(trials.get(0).id(), 0)));
        }
    }

    /** A long answer alone once made its store look restarted, and so cold. */
    @Test
    void longAnswerDoesNotMakeAStoreCold() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(3, false, 0, Availability.GONE),
                line(1, true, 0, Availability.GONE))));
        f.advance(5, request(1, SplitterFixture.LONG, 0));
        f.advance(2_500, f.answered(1, 0, 2, Outcome.OK, Role.REPLICA, 0));
        f.actions.clear();
        for (int i = 10; i < 14; i++) {
            f.advance(5, request(i, ANY, 0));
            f.advance(5, f.answered(i, 0, 2, Outcome.OK, Role.REPLICA, 0));
        }
        assertEquals(4, sends(f.actions).size());
    }

    @Test
    void coldStoreGetsLittleWork() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(2, false, f.now, Availability.READY),
                line(3, false, f.now, Availability.READY), line(1, true, 0, Availability.GONE))));
        f.actions.clear();
        for (int i = 0; i < 300; i++) {
            f.advance(5, request(100 + i, ANY, 0));
        }
        int sent = sends(f.actions).size();
        assertTrue(sent >= 1 && sent < 40, "sent " + sent);
    }

    /** One spoilt answer once made its store ill, and then cold for the whole of its warm-up. */
    @Test
    void singleResetDoesNotMakeAStoreUnhealthy() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(3, false, 0, Availability.GONE))));
        for (int i = 0; i < 20; i += 2) {
            assertEquals(2, sentTo(f.advance(100, request(i, ANY, 0))));
            f.advance(5, f.answered(i, 0, 2, Outcome.RESET, Role.UNKNOWN, 0));
            f.advance(5, f.answered(i, 1, 1, Outcome.OK, Role.PRIMARY, 0));
            assertEquals(2, sentTo(f.advance(100, request(i + 1, ANY, 0))), "after break " + i);
            f.advance(5, f.answered(i + 1, 0, 2, Outcome.OK, Role.REPLICA, 0));
        }
    }

    /** On a day of resets a warm store was taken for restarted, and so cold, by each connect that was reset. */
    @Test
    void shortFailureDoesNotMakeAStoreCold() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(3, false, 0, Availability.GONE))));
        f.advance(5, request(1, ANY, 0));
        f.advance(5, f.answered(1, 0, 2, Outcome.RESET, Role.UNKNOWN, 0));
        f.advance(5, f.answered(1, 1, 1, Outcome.OK, Role.PRIMARY, 0));
        f.advance(5, request(2, ANY, 0));
        f.advance(5, f.answered(2, 0, 2, Outcome.CONNECT_FAILED, Role.UNKNOWN, 0));
        f.advance(5, f.answered(2, 1, 1, Outcome.OK, Role.PRIMARY, 0));
        f.advance(560, f.probeOk(2, 0, false));
        for (int i = 10; i < 40; i++) {
            long store = sentTo(f.advance(20, request(i, ANY, 0)));
            f.advance(5, new Answered(i, store, 0, true, Outcome.OK, 60 * MS, Role.UNKNOWN, 0, new float[0]));
        }
        long sent = 0;
        for (int i = 100; i < 110; i++) {
            sent += sends(f.advance(1, request(i, ANY, 0))).stream().filter(s -> s.store() == 2).count();
        }
        assertTrue(sent >= 3, sent + " of 10 went to a store that was ill for half a second");
    }

    /** What cold stores may take was once measured by late sends, so that little sent meant less to send. */
    @Test
    void idlePeriodDoesNotShrinkTheColdBudget() {
        SplitterFixture f = SplitterFixture.oneOfMany(100, 1); // so that its share of the cores is next to nothing
        f.advance(0, new ListChanged(ListMode.DELTA, 2, List.of(line(3, false, 0, Availability.GONE))));
        for (int i = 0; i < 2_000; i++) {
            f.advance(5, request(i, ANY, 0), request(10_000 + i, UNSAFE, 7));
            f.advance(5, new Answered(i, 2, 0, true, Outcome.OK, 60 * MS, Role.REPLICA, 0, new float[0]),
                    new Answered(10_000 + i, 1, 0, true, Outcome.OK, 60 * MS, Role.PRIMARY, 0, new float[0]));
        }
        f.runTimers(8_000);
        f.advance(5, new ListChanged(ListMode.DELTA, 3, List.of(line(2, false, f.now - 8_000 * MS, Availability.READY))));
        long sent = 0;
        for (int i = 20_000; i < 20_020; i++) {
            List<Action> out = f.advance(1, request(i, ANY, 0));
            sent += sends(out).stream().filter(s -> s.store() == 2).count();
        }
        assertTrue(sent >= 4, sent + " of 20 went to a store that is half warm and idle");
    }

    /** Short of probes, the first members of a group without a leader took them all, and its leader stayed unknown. */
    @Test
    void membersOfALeaderlessGroupAreProbedInTurn() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 5);
        f.advance(0, new ListChanged(ListMode.CACHED, 1, List.of(line(1, false, 0, Availability.READY),
                line(2, false, 0, Availability.READY), line(3, false, 0, Availability.READY))));
        Map<Long, Integer> probed = new HashMap<>();
        for (int i = 1; i <= 400; i++) {
            List<Action> out = f.advance(20, request(i, UNSAFE, 7), new ClientLeft(i - 1));
            out.stream().filter(Inspect.class::isInstance).map(a -> ((Inspect) a).store()).forEach(store -> {
                probed.merge(store, 1, Integer::sum);
                f.advance(1, f.probeOk(store, 10, false));
            });
        }
        int all = probed.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(probed.getOrDefault(3L, 0) >= all / 4, "the last of three got " + probed);
    }

    /** A process that has just started has sent nothing yet: warming stores stood idle beside crowded ones for it. */
    @Test
    void newPoolerUsesHalfWarmStores() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(2, false, f.now - 8_000 * MS, Availability.READY),
                line(3, false, 0, Availability.GONE))));
        long sent = 0;
        for (int i = 1; i <= 100; i++) {
            long store = sentTo(f.advance(20, request(i, ANY, 0)));
            sent += store == 2 ? 1 : 0;
            f.advance(20, new Answered(i, store, 0, true, Outcome.OK, 20 * MS, Role.UNKNOWN, 0, new float[0]));
        }
        assertTrue(sent >= 15, sent + " of 100 went to a store that is half warm and idle");
    }

    @Test
    void fastFailingStoreIsEjected() {
        SplitterFixture f = fixture();
        int toTwo = 0;
        for (int i = 1; i < 60; i++) {
            long store = sentTo(f.advance(5, request(i, ANY, 0)));
            toTwo += store == 2 ? 1 : 0;
            Outcome outcome = store == 2 ? Outcome.ERROR : Outcome.OK;
            long next = sentTo(f.advance(2, f.answered(i, 0, store, outcome, Role.UNKNOWN, 0)));
            if (outcome == Outcome.ERROR && next != 0) {
                f.advance(2, f.answered(i, 1, next, Outcome.OK, Role.UNKNOWN, 0));
            }
        }
        assertTrue(toTwo < 10, toTwo + " of 59 went to the failing store");
    }

    /** When most stores look silent the load is to blame: taking work back would only add to it. */
    @Test
    void noWorkIsRetractedInPanic() {
        SplitterFixture f = fixture();
        for (int i = 1; i < 40; i++) {
            f.advance(1, request(i, ANY, 0));
        }
        f.actions.clear();
        f.runTimers(900);
        assertTrue(f.actions.stream().noneMatch(a -> a instanceof Retract));
    }

    /** Lucky answers once dragged the usual time down, until every store looked silent. */
    /** In a panic ill stores serve too, but what could not be reached is no use: it took a connect's time each. */
    @Test
    void unreachableStoreIsSkippedEvenInPanic() {
        SplitterFixture f = fixture();
        for (int i = 0; i < 20; i++) {
            f.advance(5, f.probeOk(1, 0, true));
            long store = sentTo(f.advance(5, request(i, ANY, 0)));
            int attempt = 0;
            for (; store > 1; attempt++) {
                store = sentTo(f.advance(5, f.answered(i, attempt, store, Outcome.CONNECT_FAILED, Role.UNKNOWN, 0)));
            }
            assertEquals(1, store);
            assertTrue(i < 2 || attempt == 0, "request " + i);
            f.advance(5, f.answered(i, attempt, 1, Outcome.OK, Role.PRIMARY, 0));
        }
    }

    @Test
    void varyingLatencyDoesNotMakeStoresLookSilent() {
        SplitterFixture f = fixture();
        int refused = 0;
        for (int i = 1; i < 600; i++) {
            List<Action> out = f.advance(5, request(i, ANY, 0));
            refused += refused(out) ? 1 : 0;
            long store = sentTo(out);
            int wait = i % 7 == 0 ? 300 : 1 + i % 40;
            out = f.advance(wait, new Answered(i, store, 0, true, Outcome.OK, wait * MS, Role.UNKNOWN, 0, new float[0]));
            refused += refused(f.advance(5, new Wakeup(1))) ? 1 : 0;
        }
        assertEquals(0, refused);
        assertEquals(599, sends(f.actions).size());
    }

    /** A deep queue by the report counts, also where this front has nothing out. */
    @Test
    void storeWithALongReportedQueueIsAvoided() {
        SplitterFixture f = fixture();
        f.advance(5, new Checked(2, Outcome.OK, MS, new float[] {(float) ((f.now - SplitterFixture.EPOCH_NS) / 1e9), 0, 600}));
        for (int i = 1; i < 30; i++) {
            long store = sentTo(f.advance(5, request(i, ANY, 0)));
            assertTrue(store != 2, "sent to the full store");
            if (store != 0) {
                f.advance(2, f.answered(i, 0, store, Outcome.OK, Role.UNKNOWN, 0));
            }
        }
    }

    /** Reports that came with answers once went unread; one ahead of time must not make stale reads look fresh. */
    @Test
    void reportInAnAnswerCountsLikeAProbeReport() {
        SplitterFixture f = fixture();
        long first = sentTo(f.advance(5, request(1, ANY, 0)));
        float[] report = {(float) ((f.now - SplitterFixture.EPOCH_NS) / 1e9), 0, 600};
        f.advance(5, new Answered(1, first, 0, true, Outcome.OK, 5 * MS, Role.REPLICA, 0, report));
        for (int i = 2; i < 30; i++) {
            long store = sentTo(f.advance(5, request(i, ANY, 0)));
            assertTrue(store != first, "sent to the full store");
            if (store != 0) {
                f.advance(2, f.answered(i, 0, store, Outcome.OK, Role.UNKNOWN, 0));
            }
        }
        SplitterFixture ahead = new SplitterFixture(settings(Guards.OFF, true), 5).withThreeStores();
        ahead.advance(5, ahead.probeOk(2, -60_000, false), ahead.probeOk(3, -60_000, false));
        assertEquals(1, ahead.sentToAfterProbes(5_000, request(1, SplitterFixture.VIEW, 0)), "replicas are not known to be fresh");
    }

    /** Work and aims are scaled by deployment: with short ones, 400 ms of silence are longer than any deadline. */
    @Test
    void silenceThresholdFollowsTheLatencyTargets() {
        Settings s = settings(Guards.REFUSE, true);
        List<RequestClass> quick = s.classes().stream().map(c -> new RequestClass(c.consistency(), c.boundNs(),
                c.onTimeNs() / 4, c.deadlineNs(), c.worth(), c.lateWorth(), c.effect(), c.scope(), c.windowNs())).toList();
        SplitterFixture f = new SplitterFixture(new Settings(s.me(), s.balancers(), s.zone(), s.stepNs(), quick, s.quotas(),
                s.overShareWorth(), s.guards(), s.waitNs(), s.zeroNs(), s.remembered(), s.showsRole(),
                s.mustSubscribe(), s.rules(), s.limits(), s.positionField(), s.primaryField(), s.queueField(),
                s.inflightField(), s.utilField()), 5).withThreeStores();
        f.advance(5, request(1, ANY, 0));
        assertTrue(f.runTimers(380).contains(new Retract(1, 0)), "taken back from the silent store");
    }

    /** Late requests once built a queue at the primary that made every fresh write late too. */
    @Test
    void lateRequestDoesNotQueueWhereAnOnTimeOneWouldNot() {
        SplitterFixture f = fixture();
        for (int i = 1; i < 200; i++) {
            f.advance(1, request(i, KEYED, 0));
        }
        int early = sends(f.actions).size();
        f.actions.clear();
        f.runTimers(500);
        assertTrue(early < 30, early + " writes out at once");
        assertTrue(sends(f.actions).size() <= early, "late writes added " + sends(f.actions).size());
    }

    /** A store that was slow under much work must not stay shut out, and then be flooded, once that is done. */
    @Test
    void storeIsUsedAgainOnceItsWorkIsDone() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(3, false, 0, Availability.GONE),
                line(1, true, 0, Availability.GONE))));
        for (int i = 1; i < 60; i++) {
            f.advance(0, request(i, ANY, 0));
        }
        long sent = sends(f.actions).size();
        f.runTimers(300);
        for (int i = 1; i <= sent; i++) {
            f.advance(0, new Answered(i, 2, 0, true, Outcome.OK, 300 * MS, Role.REPLICA, 0, new float[0]));
        }
        assertEquals(2, sentTo(f.advance(5, request(1_000, ANY, 0))));
        assertEquals(2, sentTo(f.advance(5, request(1_001, ANY, 0))));
    }

    @Test
    void timedOutRequestsAreAnsweredOnce() {
        SplitterFixture f = fixture();
        f.advance(5, request(1, ANY, 0));
        List<Action> out = f.runTimers(1_400);
        assertEquals(1, out.stream().filter(a -> a instanceof Decline || a instanceof RespondError).count());
        assertTrue(f.advance(5, new ClientLeft(1)).isEmpty());
    }

    /** Days with bad requests: each failed at every store, and the stores were ejected for it. */
    @Test
    void secondErrorBlamesTheRequestAndALoneFailingStoreIsEjected() {
        SplitterFixture f = fixture();
        for (int i = 1; i < 20; i++) {
            long store = sentTo(f.advance(5, request(i, ANY, 0)));
            long next = sentTo(f.advance(2, f.answered(i, 0, store, Outcome.ERROR, Role.UNKNOWN, 0)));
            assertTrue(store != 0 && next != 0 && next != store, "no store is ejected");
            assertTrue(refused(f.advance(2, f.answered(i, 1, next, Outcome.ERROR, Role.UNKNOWN, 0))), "not sent a third time");
        }
        long bad = sentTo(f.advance(5, request(50, ANY, 0)));
        long good = sentTo(f.advance(2, f.answered(50, 0, bad, Outcome.ERROR, Role.UNKNOWN, 0)));
        f.advance(2, f.answered(50, 1, good, Outcome.OK, Role.UNKNOWN, 0));
        for (int i = 51; i < 60; i++) {
            assertFalse(sentTo(f.advance(2, request(i, ANY, 0))) == bad, "another store served what it failed");
        }
    }

    /** A list once named stores that were none: a newcomer must answer a probe before it is used or counted. */
    @Test
    void newlyListedStoreMustAnswerAProbeFirst() {
        SplitterFixture f = fixture();
        f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(9, false, 0, Availability.READY))));
        for (int i = 1; i < 40; i++) {
            long store = sentTo(f.advance(2, request(i, ANY, 0)));
            assertTrue(store == 2 || store == 3);
            f.advance(2, f.answered(i, 0, store, Outcome.OK, Role.REPLICA, 0));
        }
        f.advance(5, f.probeOk(9, 1, false));
        boolean used = false;
        for (int i = 41; i < 80; i++) {
            used |= sentTo(f.advance(2, request(i, ANY, 0))) == 9;
        }
        assertTrue(used, "used once it has answered");
    }

    /** Hundreds of fronts: timers follow work in hand, and there are none without it. */
    @Test
    void timersAreSetOnlyForOpenRequests() {
        SplitterFixture f = fixture();
        assertTrue(f.advance(5, new Wakeup(1)).stream().noneMatch(Schedule.class::isInstance), "idle");
        f.advance(5, request(1, ANY, 0));
        int timers = (int) f.runTimers(200).stream().filter(Schedule.class::isInstance).count();
        assertTrue(timers <= 20, timers + " timers in 200 ms for one request");
    }

    /** A hunt came to 99% of the cold rule's limit: every one of a hundred fronts had a first request free. */
    @Test
    void manyPoolersDoNotSendToAColdStoreAtOnce() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            SplitterFixture f = SplitterFixture.oneOfMany(100, seed);
            f.advance(5, new ListChanged(ListMode.DELTA, 2, List.of(line(1, false, f.now, Availability.READY),
                    line(2, false, f.now, Availability.READY), line(3, false, f.now, Availability.READY))));
            sent += sends(f.advance(5, request(1, ANY, 0))).size();
        }
        assertTrue(sent < 30, sent + " of 100 fronts sent to cold stores at once");
    }

    @Test
    void failedListCallIsRetried() {
        SplitterFixture f = fixture();
        List<Action> out = f.advance(5, new ListChanged(ListMode.FAILED, 2, List.of()));
        Schedule again = (Schedule) out.stream().filter(Schedule.class::isInstance).findFirst().orElseThrow();
        assertTrue(f.advance(again.afterNs() / MS + 1, new Wakeup(again.handle())).contains(new Subscribe(true)));
    }
}
