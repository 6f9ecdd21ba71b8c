package holdmux.decision;

import static holdmux.decision.SplitterFixture.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.*;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class SplitterInvariantsTest {
    /** What the test knows of one request. */
    private static final class RequestState {
        int classIndex;
        long deadline;
        int sent;
        int inFlight;
        long mayHaveRunAt = Long.MAX_VALUE;
        boolean answered;
    }

    private record Sent(long id, int attempt, long store, long at) {}

    /** Long random but legal sequences: rules 1, 2 and 3, the attempt limits, and nothing left behind. */
    @Test
    void randomSequencesKeepTheInvariants() {
        for (long seed = 1; seed <= 40; seed++) {
            runRandomSequence(seed, Guards.values()[(int) (seed % 3)]);
        }
    }

    private static List<Action> runRandomSequence(long seed, Guards guards) {
        SplittableRandom random = new SplittableRandom(seed);
        SplitterFixture f = new SplitterFixture(SplitterFixture.settings(guards, seed % 2 == 0), seed).withThreeStores();
        Map<Long, RequestState> requests = new HashMap<>();
        List<Sent> out = new ArrayList<>();
        long drainingStore = 0;
        for (int step = 0; step < 3_000; step++) {
            List<Event> events = new ArrayList<>();
            if (step < 2_500 && random.nextInt(3) == 0) {
                Arrived arrival = new Arrived(step + 1, random.nextInt(6), false, (300 + random.nextInt(900)) * MS,
                        random.nextInt(200) * MS, 0, random.nextInt(20), 0, 1);
                RequestState state = new RequestState();
                state.classIndex = arrival.classIndex();
                state.deadline = f.now + 5 * MS + arrival.remainingNs();
                requests.put(arrival.id(), state);
                events.add(arrival);
            }
            for (int i = out.size() - 1; i >= 0; i--) {
                Sent s = out.get(i);
                RequestState state = requests.get(s.id);
                boolean due = f.now + 5 * MS >= state.deadline;
                if (due || random.nextInt(30) == 0) {
                    out.remove(i);
                    Outcome outcome = due ? Outcome.TIMEOUT : Outcome.values()[random.nextInt(9)];
                    boolean ends = state.answered || outcome == Outcome.OK;
                    events.add(new Answered(s.id, s.store, s.attempt, ends, outcome, f.now + 5 * MS - s.at,
                            Role.values()[random.nextInt(3)], 0, new float[0]));
                    state.inFlight--;
                    state.answered |= ends;
                    if (!outcome.neverRan) {
                        state.mayHaveRunAt = Math.min(state.mayHaveRunAt, s.at);
                    }
                }
            }
            if (random.nextInt(20) == 0) {
                events.add(f.probeOk(1 + random.nextInt(3), random.nextInt(400), random.nextInt(3) == 0));
            }
            if (random.nextInt(200) == 0) {
                long store = 1 + random.nextInt(3);
                events.add(0, new ListChanged(ListMode.FULL, step, List.of(1L, 2L, 3L).stream().map(s -> SplitterFixture.line(
                        s, false, 0, s == store && random.nextBoolean() ? Availability.DRAINING
                        : Availability.READY)).toList()));
                drainingStore = ((ListChanged) events.get(0)).lines().stream()
                        .filter(l -> l.availability() == Availability.DRAINING).mapToLong(Listing::store)
                        .findFirst().orElse(0);
            }
            events.add(new Wakeup(1));
            for (Action action : f.advance(5, events.toArray(new Event[0]))) {
                checkAction(f, requests, out, action, drainingStore);
            }
        }
        requests.forEach((id, state) -> assertTrue(state.answered, "request " + id + " was never answered"));
        List<Action> idle = f.runTimers(2_000);
        assertTrue(idle.isEmpty(), "an idle front does nothing: " + idle);
        return f.actions;
    }

    private static void checkAction(SplitterFixture f, Map<Long, RequestState> requests, List<Sent> out, Action action, long drainingStore) {
        if (action instanceof Transmit transmit) {
            RequestState state = requests.get(transmit.id());
            assertTrue(!state.answered, "sent after the final answer");
            assertEquals(0, state.inFlight, "two attempts at once");
            assertTrue(state.sent < 6, "too many attempts");
            assertNotEquals(drainingStore, transmit.store(), "sent to a draining store");
            assertTrue(state.mayHaveRunAt == Long.MAX_VALUE || state.classIndex != SplitterFixture.UNSAFE
                    && (state.classIndex != SplitterFixture.KEYED || f.now < state.mayHaveRunAt + 800 * MS), "a repeat out of bounds");
            out.add(new Sent(transmit.id(), state.sent++, transmit.store(), f.now));
            state.inFlight++;
        } else if (action instanceof Decline decline) {
            RequestState state = requests.get(decline.id());
            boolean bound = state.classIndex == SplitterFixture.UNSAFE || state.classIndex == SplitterFixture.KEYED;
            assertTrue(!bound || state.inFlight == 0 && state.mayHaveRunAt == Long.MAX_VALUE, "refused what may have run");
            recordFinalAnswer(f, state);
        } else if (action instanceof RespondError error) {
            recordFinalAnswer(f, requests.get(error.id()));
        }
    }

    private static void recordFinalAnswer(SplitterFixture f, RequestState state) {
        assertTrue(!state.answered, "two final answers");
        assertTrue(f.now <= state.deadline + 20 * MS, "answered too late");
        state.answered = true;
    }

    @Test
    void sameEventsGiveSameActions() {
        List<Action> first = runRandomSequence(7, Guards.REFUSE);
        runRandomSequence(8, Guards.WAIT);
        assertEquals(first, runRandomSequence(7, Guards.REFUSE));
        assertTrue(first.size() > 1_000);
    }

    /** Decisions stay free of clocks, threads and I/O, in every file of their package, so that they can be replayed. */
    @Test
    void splitterHasNoClockAndDoesNoIo() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(Path.of("src/main/java/holdmux/decision"))) {
            files = all.toList();
        }
        Pattern forbidden = Pattern.compile("java\\.(io|nio|net|time)\\b|\\b(System|Thread|Instant|Files|Socket|Runtime|Math\\.random)\\b"
                + "|new (Splittable|Secure)?Random\\(\\)|import holdmux\\.(?!decision)");
        for (Path file : files) {
            for (String line : Files.readAllLines(file)) {
                assertFalse(forbidden.matcher(line).find(), file + ": " + line);
                assertTrue(line.length() <= 120, "too long: " + line);
            }
        }
        assertTrue(files.size() >= 4, "the module, its interface and its reasons: " + files);
        assertTrue(Files.readAllLines(Path.of("src/main/java/holdmux/decision/ReadWriteSplitter.java")).get(0)
                .contains("SplitterApi.java"), "the first line points to the interface");
    }

    /** Settings carry no name of a site, class, tenant or machine, so the module can't act on one. */
    @Test
    void settingsCarryNoNames() {
        for (Class<?> type : List.of(Settings.class, RequestClass.class, Rules.class, Limits.class, Listing.class)) {
            for (var part : type.getRecordComponents()) {
                assertNotEquals(String.class, part.getType(), type + "." + part.getName());
            }
        }
    }

    /** A request keeps its effect and its attempts though the settings change while it is out. */
    @Test
    void openRequestKeepsTheSettingsItArrivedUnder() {
        Settings old = SplitterFixture.settings(Guards.OFF, true);
        SplitterFixture f = new SplitterFixture(old, 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true));
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
        assertNotEquals(0, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(2, SplitterFixture.ANY, 0))));
        List<RequestClass> classes = new ArrayList<>(old.classes());
        classes.set(SplitterFixture.UNSAFE, SplitterFixture.requestClass(Consistency.WRITE, 0, Effect.IDEMPOTENT, 0.5));
        Limits one = new Limits(1, true, true, false, true, 500 * MS, false);
        Settings next = new Settings(0, 2, 0, 5 * MS, classes, List.of(), 1, old.guards(), 0, SplitterFixture.EPOCH_NS, true, true,
                false, old.rules(), one, 0, 1, 2, -1, -1);
        f.advance(1, new SettingsChanged(next, List.of(0, 1, 2, 3, 4, 5)));
        assertTrue(SplitterFixture.failed(f.advance(1, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0))), "it was not to be repeated");
        long first = SplitterFixture.sends(f.actions).get(1).store();
        assertNotEquals(0, SplitterFixture.sentTo(f.advance(1, f.answered(2, 0, first, Outcome.RESET, Role.UNKNOWN, 0))), "it had six attempts");
        long store = SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(3, SplitterFixture.ANY, 0)));
        assertTrue(SplitterFixture.refused(f.advance(1, f.answered(3, 0, store, Outcome.RESET, Role.UNKNOWN, 0))), "now there is one");
    }

    /** A write that another process of this front answered binds its session's reads here, as does its floor. */
    @Test
    void readsSeeWritesOfTheOtherProcess() {
        SplitterFixture f = new SplitterFixture(SplitterFixture.settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 50, false), f.probeOk(3, 50, false));
        f.advance(0, new LastWrite(1, 5, f.now - 10 * MS));
        assertEquals(1, f.sentToAfterProbes(0, SplitterFixture.request(1, SplitterFixture.OWN, 5)), "no replica has it");
        assertNotEquals(1, f.sentToAfterProbes(0, SplitterFixture.request(2, SplitterFixture.OWN, 6)), "another session has not written");
        f.advance(0, new LastWrite(1, 0, f.now - 10 * MS));
        assertEquals(1, f.sentToAfterProbes(0, SplitterFixture.request(3, SplitterFixture.OWN, 7)), "no replica is past the floor");
        assertTrue(f.splitter.lastWrites().contains(new LastWrite(1, 5, f.now - 10 * MS)));
    }

    /** An answer that was on its way for long must not undo a newer one: reads that must be new went to a replica. */
    @Test
    void delayedAnswerDoesNotOverrideANewerDenialOfLeadership() {
        SplitterFixture f = new SplitterFixture(SplitterFixture.settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true));
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(2, SplitterFixture.UNSAFE, 6))));
        f.advance(20, f.answered(1, 0, 1, Outcome.MISS, Role.REPLICA, 0));
        f.advance(1, f.answered(2, 0, 1, Outcome.OK, Role.PRIMARY, f.now));
        assertEquals(0, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(3, SplitterFixture.UNSAFE, 7))), "it leads no longer");
        f.now += 50 * MS;
        assertEquals(1, SplitterFixture.sentTo(f.advance(0, f.probeOk(1, 0, true))), "what it says of now counts");
    }

    /** A bound counts from the last byte of the send: what was new enough when it was decided may not be once connected. */
    @Test
    void permissionIsCheckedAgainBeforeTheSend() {
        SplitterFixture f = new SplitterFixture(SplitterFixture.settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 100, false), f.probeOk(3, 100, false));
        long store = SplitterFixture.sentTo(f.advance(0, SplitterFixture.request(1, SplitterFixture.VIEW, 0)));
        assertTrue(store > 1, "a replica that is 100 ms behind, for a bound of 200");
        assertEquals(Permission.ALLOWED, f.splitter.sendPermission(f.now + 90 * MS, 1, 0));
        assertEquals(Permission.DATA_TOO_OLD, f.splitter.sendPermission(f.now + 110 * MS, 1, 0), "older than the bound");
        f.now += 110 * MS;
        f.advance(0, f.probeOk(store, 0, false));
        assertEquals(Permission.ALLOWED, f.splitter.sendPermission(f.now, 1, 0), "it has told a newer position");
        f.advance(0, new ListChanged(ListMode.DELTA, 2, List.of(SplitterFixture.line(store, false, 0, Availability.DRAINING))));
        assertEquals(Permission.SERVER_DRAINING, f.splitter.sendPermission(f.now, 1, 0), "it drains");
    }

    /** Before the end every request gets its one answer: refused where that is true, else failed. */
    @Test
    void abortedRequestsAreAnsweredOnce() {
        SplitterFixture f = new SplitterFixture(SplitterFixture.settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true));
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
        assertTrue(SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(2, SplitterFixture.ANY, 0))) > 0);
        List<Action> write = f.advance(1, new AbortRequest(1));
        assertTrue(SplitterFixture.failed(write) && !SplitterFixture.refused(write), "it may have run");
        assertTrue(SplitterFixture.refused(f.advance(0, new AbortRequest(2))));
        List<Action> again = f.advance(0, new AbortRequest(1), new AbortRequest(2));
        assertFalse(SplitterFixture.failed(again) || SplitterFixture.refused(again), "one answer each");
    }

    /** A front whose replicas all stand 5 ms back, known at this moment. */
    private static SplitterFixture withReplicasCaughtUp(Settings settings) {
        SplitterFixture f = new SplitterFixture(settings, 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 5, false), f.probeOk(3, 5, false));
        return f;
    }

    /**
     * What an answer told counts as known though it was cut, reset or lost with its client on the way to us: its session
     * must see what the write may have committed up to the cut.
     */
    @Test
    void writeWithLostAnswerAdvancesTheSessionToken() {
        for (Outcome lost : List.of(Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.ERROR)) {
            SplitterFixture f = withReplicasCaughtUp(SplitterFixture.settings(Guards.OFF, true));
            assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
            if (lost == Outcome.CANCELLED) {
                f.advance(1, new ClientLeft(1));
            }
            f.now += 20 * MS;
            f.advance(0, f.probeOk(2, 5, false), f.probeOk(3, 5, false));
            f.advance(0, new Answered(1, 1, 0, lost == Outcome.CANCELLED, lost, 5 * MS, Role.UNKNOWN, 0, new float[0]));
            assertTrue(f.sentToAfterProbes(1, SplitterFixture.request(2, SplitterFixture.OWN, 5)) <= 1, lost + ": no replica has all up to the cut");
            assertTrue(f.sentToAfterProbes(0, SplitterFixture.request(3, SplitterFixture.OWN, 6)) > 1, "another session's read");
            f.now += 50 * MS;
            f.advance(0, f.probeOk(2, 5, false), f.probeOk(3, 5, false));
            long then = f.sentToAfterProbes(0, SplitterFixture.request(4, SplitterFixture.OWN, 5));
            assertTrue(then > 1, lost + ": replicas are past the cut, but it went to " + then);
        }
    }

    /** Reads that need the primary's role wait, a write goes, until it has said again that it leads. */
    private static void assertRoleUncertain(SplitterFixture f, boolean byReport) {
        List<Action> read = f.advance(101, SplitterFixture.request(3, SplitterFixture.OWN, 5));
        assertEquals(0, SplitterFixture.sentTo(read));
        assertTrue(probedStores(read).contains(1L), "it is asked");
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(4, SplitterFixture.UNSAFE, 7))), "it is turned away where it is wrong");
        f.now += MS;
        f.advance(0, f.probeOk(2, 10_000, false), f.probeOk(3, 10_000, false)); // who was asked as well is too far behind
        List<Action> told = f.advance(0, byReport ? f.probeOk(1, 0, true) : f.answered(4, 0, 1, Outcome.OK, Role.PRIMARY, f.now));
        assertEquals(1, SplitterFixture.sentTo(told), "the read that waited");
    }

    /** An answer that a reset took along may have told that the primary leads no longer, and that counts as heard. */
    @Test
    void lostAnswerSuspendsReadsFromThePrimaryUntilItConfirmsItsRole() {
        for (boolean byReport : new boolean[] {true, false}) {
            SplitterFixture f = withReplicasCaughtUp(SplitterFixture.settings(Guards.OFF, true));
            assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
            f.advance(20, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0));
            assertRoleUncertain(f, byReport);
        }
    }

    /** Where the list alone tells roles, nothing could end the doubt: the primary would take no such read ever again. */
    @Test
    void resetDoesNotMakeTheRoleUncertainWhenAnswersCarryNoRoles() {
        Settings s = SplitterFixture.settings(Guards.OFF, true);
        SplitterFixture f = new SplitterFixture(new Settings(0, 2, 0, s.stepNs(), s.classes(), List.of(), 1, s.guards(), 0, SplitterFixture.EPOCH_NS, true, true,
                false, s.rules(), new Limits(6, false, true, false, true, 500 * MS, false), -1, -1, -1, -1, -1), 1).withThreeStores();
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
        f.advance(20, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0));
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(2, SplitterFixture.OWN, 5))));
    }

    /** A report that it does not lead may be older than its last word, or newer: reports come late. */
    @Test
    void contradictingReportSuspendsReadsFromThePrimaryUntilItConfirmsItsRole() {
        for (boolean byReport : new boolean[] {true, false}) {
            SplitterFixture f = withReplicasCaughtUp(SplitterFixture.settings(Guards.OFF, true));
            for (int i = 0; i < 20; i++) {
                f.advance(10, f.probeOk(1, 300, true));
            }
            assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
            f.advance(1, f.answered(1, 0, 1, Outcome.ERROR, Role.PRIMARY, 0));
            f.advance(100, f.probeOk(1, 300, false));
            assertRoleUncertain(f, byReport);
        }
    }

    private static List<Long> probedStores(List<Action> actions) {
        return actions.stream().filter(Inspect.class::isInstance).map(a -> ((Inspect) a).store()).toList();
    }

    /**
     * What an answer tells counts as known 100 ms after it was written, also while it is held up on its way to us: reads
     * went to replicas that did not have the write yet.
     */
    @Test
    void writeInFlightCountsAsAnsweredAfterTheKnownDelay() {
        SplitterFixture f = withReplicasCaughtUp(SplitterFixture.settings(Guards.OFF, true));
        assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.UNSAFE, 5))));
        assertTrue(SplitterFixture.sentTo(f.advance(70, SplitterFixture.request(2, SplitterFixture.OWN, 5))) > 1, "it cannot have been told 100 ms ago");
        f.now += 60 * MS;
        f.advance(0, f.probeOk(1, 0, true));
        assertTrue(f.sentToAfterProbes(0, SplitterFixture.request(3, SplitterFixture.OWN, 5)) <= 1, "its replicas stood before the write when last heard");
        assertTrue(f.sentToAfterProbes(0, SplitterFixture.request(4, SplitterFixture.OWN, 6)) > 1, "another session's read");
        f.advance(0, f.probeOk(2, 50, false), f.probeOk(3, 50, false));
        long replica = f.sentToAfterProbes(1, SplitterFixture.request(5, SplitterFixture.OWN, 5));
        assertTrue(replica > 1, "whatever was told 100 ms ago is there");
        assertEquals(Permission.ALLOWED, f.splitter.sendPermission(f.now, 5, 0));
        assertEquals(Permission.DATA_TOO_OLD, f.splitter.sendPermission(f.now + 60 * MS, 5, 0), "not when its connection has come up late");
    }

    /** The window counts from the first attempt's send to the last byte of a repeat, whose connection may come up late. */
    @Test
    void retryIsNotPermittedAfterTheDedupWindow() {
        SplitterFixture f = withReplicasCaughtUp(SplitterFixture.settings(Guards.OFF, true));
        f.advance(1, SplitterFixture.request(1, SplitterFixture.KEYED, 5));
        long sent = f.now;
        assertEquals(1, SplitterFixture.sentTo(f.advance(700, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0))));
        assertEquals(Permission.ALLOWED, f.splitter.sendPermission(sent + 740 * MS, 1, 1));
        assertEquals(Permission.NOT_REPEATABLE, f.splitter.sendPermission(sent + 760 * MS, 1, 1), "too near the end of 800 ms");
    }

    /** Where repeats are dropped by zone, a primary of another zone would run what the old one may have run. */
    @Test
    void retryStaysInTheDeduplicationZone() {
        for (Scope scope : Scope.values()) {
            Settings old = SplitterFixture.settings(Guards.OFF, true);
            List<RequestClass> classes = new ArrayList<>(old.classes());
            RequestClass keyed = classes.get(SplitterFixture.KEYED);
            classes.set(SplitterFixture.KEYED, new RequestClass(keyed.consistency(), 0, keyed.onTimeNs(), keyed.deadlineNs(), 3, 0.5,
                    Effect.DEDUPLICATED, scope, 800 * MS));
            SplitterFixture f = new SplitterFixture(new Settings(0, 2, 0, 5 * MS, classes, List.of(), 1, old.guards(), 0, SplitterFixture.EPOCH_NS, true,
                    true, false, old.rules(), old.limits(), 0, 1, 2, -1, -1), 1);
            f.advance(0, new ListChanged(ListMode.CACHED, 1, List.of(new Listing(1, 1, 0, 0, Availability.READY, true, 0, 1),
                    new Listing(2, 1, 1, 0, Availability.READY, false, 0, 1))));
            f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 5, false));
            assertEquals(1, SplitterFixture.sentTo(f.advance(1, SplitterFixture.request(1, SplitterFixture.KEYED, 5))));
            f.advance(100, f.probeOk(2, 0, true));
            long next = SplitterFixture.sentTo(f.advance(0, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0)));
            assertEquals(scope == Scope.ZONE ? 0 : 2, next, "a new primary in another zone, " + scope);
        }
    }
}
