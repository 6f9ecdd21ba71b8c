package holdmux.decision;

import static holdmux.decision.SplitterFixture.ANY_READ;
import static holdmux.decision.SplitterFixture.BOUNDED_READ;
import static holdmux.decision.SplitterFixture.DEDUPLICATED_WRITE;
import static holdmux.decision.SplitterFixture.EPOCH_NS;
import static holdmux.decision.SplitterFixture.MS;
import static holdmux.decision.SplitterFixture.SESSION_READ;
import static holdmux.decision.SplitterFixture.UNSAFE_WRITE;
import static holdmux.decision.SplitterFixture.arrival;
import static holdmux.decision.SplitterFixture.failed;
import static holdmux.decision.SplitterFixture.lastTarget;
import static holdmux.decision.SplitterFixture.listing;
import static holdmux.decision.SplitterFixture.refused;
import static holdmux.decision.SplitterFixture.requestClass;
import static holdmux.decision.SplitterFixture.settings;
import static holdmux.decision.SplitterFixture.transmits;
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

/** What holds in every state: attempt limits, one final answer, retries, permissions and what a session must see. */
class SplitterInvariantsTest {
    /** State of one request as the test tracks it. */
    private static final class RequestState {
        int classIndex;
        long deadline;
        int sent;
        int inFlight;
        long mayHaveRunAt = Long.MAX_VALUE;
        boolean answered;
    }

    private record Sent(long id, int attempt, long store, long at) {}

    /** Long random valid sequences: no sends to draining stores, no unsafe repeats, one answer in time, no leftovers. */
    @Test
    void randomSequencesKeepTheInvariants() {
        for (long seed = 1; seed <= 40; seed++) {
            runRandomSequence(seed, Guards.values()[(int) (seed % 3)]);
        }
    }

    private static List<Action> runRandomSequence(long seed, Guards guards) {
        SplittableRandom random = new SplittableRandom(seed);
        SplitterFixture f = new SplitterFixture(settings(guards, seed % 2 == 0), seed).withThreeStores();
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
                events.add(0, new ListChanged(ListMode.FULL, step, List.of(1L, 2L, 3L).stream().map(s -> listing(
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
        assertTrue(idle.isEmpty(), "actions without open requests: " + idle);
        return f.actions;
    }

    private static void checkAction(SplitterFixture f, Map<Long, RequestState> requests, List<Sent> out, Action action,
            long drainingStore) {
        if (action instanceof Transmit transmit) {
            RequestState state = requests.get(transmit.id());
            assertTrue(!state.answered, "sent after the final answer");
            assertEquals(0, state.inFlight, "two attempts at once");
            assertTrue(state.sent < 6, "too many attempts");
            assertNotEquals(drainingStore, transmit.store(), "sent to a draining store");
            assertTrue(state.mayHaveRunAt == Long.MAX_VALUE || state.classIndex != UNSAFE_WRITE
                    && (state.classIndex != DEDUPLICATED_WRITE || f.now < state.mayHaveRunAt + 800 * MS),
                    "retry not permitted by the request class");
            out.add(new Sent(transmit.id(), state.sent++, transmit.store(), f.now));
            state.inFlight++;
        } else if (action instanceof Decline decline) {
            RequestState state = requests.get(decline.id());
            boolean bound = state.classIndex == UNSAFE_WRITE || state.classIndex == DEDUPLICATED_WRITE;
            assertTrue(!bound || state.inFlight == 0 && state.mayHaveRunAt == Long.MAX_VALUE, "refused a write that may have run");
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

    /** No file of the package uses clocks, threads or I/O, so that decisions can be replayed. */
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
                assertTrue(line.length() <= 120, "line too long: " + line);
            }
        }
        assertTrue(files.size() >= 4, "the splitter, its interface, its reasons and permissions: " + files);
        assertTrue(Files.readAllLines(Path.of("src/main/java/holdmux/decision/ReadWriteSplitter.java")).get(0)
                .contains("SplitterApi.java"), "the first line must name the interface");
    }

    /** Settings contain no names of sites, classes, tenants or machines, so decisions cannot depend on them. */
    @Test
    void settingsCarryNoNames() {
        for (Class<?> type : List.of(Settings.class, RequestClass.class, Rules.class, Limits.class, Listing.class)) {
            for (var part : type.getRecordComponents()) {
                assertNotEquals(String.class, part.getType(), type + "." + part.getName());
            }
        }
    }

    /** A request keeps its effect and attempt limit when the settings change while it is open. */
    @Test
    void openRequestKeepsTheSettingsItArrivedUnder() {
        Settings old = settings(Guards.OFF, true);
        SplitterFixture f = new SplitterFixture(old, 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true));
        assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
        assertNotEquals(0, lastTarget(f.advance(1, arrival(2, ANY_READ, 0))));
        List<RequestClass> classes = new ArrayList<>(old.classes());
        classes.set(UNSAFE_WRITE, requestClass(Consistency.WRITE, 0, Effect.IDEMPOTENT, 0.5));
        Limits one = new Limits(1, true, true, false, true, 500 * MS, false);
        Settings next = new Settings(0, 2, 0, 5 * MS, classes, List.of(), 1, old.guards(), 0, EPOCH_NS, true, true,
                false, old.rules(), one, 0, 1, 2, -1, -1);
        f.advance(1, new SettingsChanged(next, List.of(0, 1, 2, 3, 4, 5)));
        assertTrue(failed(f.advance(1, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0))), "at most once when it arrived");
        long first = transmits(f.actions).get(1).store();
        assertNotEquals(0, lastTarget(f.advance(1, f.answered(2, 0, first, Outcome.RESET, Role.UNKNOWN, 0))),
                "six attempts when it arrived");
        long store = lastTarget(f.advance(1, arrival(3, ANY_READ, 0)));
        assertTrue(refused(f.advance(1, f.answered(3, 0, store, Outcome.RESET, Role.UNKNOWN, 0))), "one attempt under the new settings");
    }

    /** Session reads must see writes that another process of the same pooler answered, and respect its floor. */
    @Test
    void readsSeeWritesOfTheOtherProcess() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 50, false), f.probeOk(3, 50, false));
        f.advance(0, new LastWrite(1, 5, f.now - 10 * MS));
        assertEquals(1, f.sentToAfterProbes(0, arrival(1, SESSION_READ, 5)), "no replica has the write");
        assertNotEquals(1, f.sentToAfterProbes(0, arrival(2, SESSION_READ, 6)), "another session did not write");
        f.advance(0, new LastWrite(1, 0, f.now - 10 * MS));
        assertEquals(1, f.sentToAfterProbes(0, arrival(3, SESSION_READ, 7)), "no replica is past the floor");
        assertTrue(f.splitter.lastWrites().contains(new LastWrite(1, 5, f.now - 10 * MS)));
    }

    /** A delayed answer from a former primary must not override a newer one: else fresh reads go to a replica. */
    @Test
    void delayedAnswerDoesNotOverrideANewerDenialOfLeadership() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true));
        assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
        assertEquals(1, lastTarget(f.advance(1, arrival(2, UNSAFE_WRITE, 6))));
        f.advance(20, f.answered(1, 0, 1, Outcome.MISS, Role.REPLICA, 0));
        f.advance(1, f.answered(2, 0, 1, Outcome.OK, Role.PRIMARY, f.now));
        assertEquals(0, lastTarget(f.advance(1, arrival(3, UNSAFE_WRITE, 7))), "store 1 is no longer the primary");
        f.now += 50 * MS;
        assertEquals(1, lastTarget(f.advance(0, f.probeOk(1, 0, true))), "a report of the present confirms the role");
    }

    /** A bound counts from the last byte sent: a replica may have become too old while the connection was set up. */
    @Test
    void permissionIsCheckedAgainBeforeTheSend() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 100, false), f.probeOk(3, 100, false));
        long store = lastTarget(f.advance(0, arrival(1, BOUNDED_READ, 0)));
        assertTrue(store > 1, "replica 100 ms behind, bound 200 ms");
        assertEquals(Permission.ALLOWED, f.splitter.sendPermission(f.now + 90 * MS, 1, 0));
        assertEquals(Permission.DATA_TOO_OLD, f.splitter.sendPermission(f.now + 110 * MS, 1, 0), "data older than the bound");
        f.now += 110 * MS;
        f.advance(0, f.probeOk(store, 0, false));
        assertEquals(Permission.ALLOWED, f.splitter.sendPermission(f.now, 1, 0), "it reported a newer position");
        f.advance(0, new ListChanged(ListMode.DELTA, 2, List.of(listing(store, false, 0, Availability.DRAINING))));
        assertEquals(Permission.SERVER_DRAINING, f.splitter.sendPermission(f.now, 1, 0), "the store is draining");
    }

    /** When the process ends, each request gets one final answer: refused if it cannot have run or may be repeated. */
    @Test
    void abortedRequestsAreAnsweredOnce() {
        SplitterFixture f = new SplitterFixture(settings(Guards.OFF, true), 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true));
        assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
        assertTrue(lastTarget(f.advance(1, arrival(2, ANY_READ, 0))) > 0);
        List<Action> write = f.advance(1, new AbortRequest(1, EndReason.PROCESS_ENDS));
        assertTrue(failed(write) && !refused(write), "the write may have run");
        assertTrue(refused(f.advance(0, new AbortRequest(2, EndReason.PROCESS_ENDS))));
        List<Action> again = f.advance(0, new AbortRequest(1, EndReason.PROCESS_ENDS), new AbortRequest(2, EndReason.PROCESS_ENDS));
        assertFalse(failed(again) || refused(again), "a second final answer");
    }

    /** A fixture whose replicas are all known to be 5 ms behind. */
    private static SplitterFixture withReplicasCaughtUp(Settings settings) {
        SplitterFixture f = new SplitterFixture(settings, 1).withThreeStores();
        f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 5, false), f.probeOk(3, 5, false));
        return f;
    }

    /**
     * A write whose answer was cut, reset or lost may have committed and been acknowledged: reads of its session must see
     * everything up to the loss.
     */
    @Test
    void writeWithLostAnswerAdvancesTheSessionToken() {
        for (Outcome lost : List.of(Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.ERROR)) {
            SplitterFixture f = withReplicasCaughtUp(settings(Guards.OFF, true));
            assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
            if (lost == Outcome.CANCELLED) {
                f.advance(1, new ClientLeft(1));
            }
            f.now += 20 * MS;
            f.advance(0, f.probeOk(2, 5, false), f.probeOk(3, 5, false));
            f.advance(0, new Answered(1, 1, 0, lost == Outcome.CANCELLED, lost, 5 * MS, Role.UNKNOWN, 0, new float[0]));
            assertTrue(f.sentToAfterProbes(1, arrival(2, SESSION_READ, 5)) <= 1, lost + ": no replica has reached the time of the loss");
            assertTrue(f.sentToAfterProbes(0, arrival(3, SESSION_READ, 6)) > 1, "another session's read");
            f.now += 50 * MS;
            f.advance(0, f.probeOk(2, 5, false), f.probeOk(3, 5, false));
            long then = f.sentToAfterProbes(0, arrival(4, SESSION_READ, 5));
            assertTrue(then > 1, lost + ": replicas are past the loss, but the read went to " + then);
        }
    }

    /** Reads that rely on the primary's role wait until it confirms that role; writes are sent. */
    private static void assertRoleUncertain(SplitterFixture f, boolean byReport) {
        List<Action> read = f.advance(101, arrival(3, SESSION_READ, 5));
        assertEquals(0, lastTarget(read));
        assertTrue(probedStores(read).contains(1L), "the primary is probed");
        assertEquals(1, lastTarget(f.advance(1, arrival(4, UNSAFE_WRITE, 7))), "a write is sent, a replica would reject it");
        f.now += MS;
        f.advance(0, f.probeOk(2, 10_000, false), f.probeOk(3, 10_000, false)); // replicas that were probed as well are too far behind
        List<Action> actions = f.advance(0, byReport ? f.probeOk(1, 0, true) : f.answered(4, 0, 1, Outcome.OK, Role.PRIMARY, f.now));
        assertEquals(1, lastTarget(actions), "the pending read is sent");
    }

    /** An answer lost in a reset may have said that the store is no longer the primary, and counts as received. */
    @Test
    void lostAnswerSuspendsReadsFromThePrimaryUntilItConfirmsItsRole() {
        for (boolean byReport : new boolean[] {true, false}) {
            SplitterFixture f = withReplicasCaughtUp(settings(Guards.OFF, true));
            assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
            f.advance(20, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0));
            assertRoleUncertain(f, byReport);
        }
    }

    /** Where only the list states roles, nothing could confirm them: the primary would get no session reads any more. */
    @Test
    void resetDoesNotMakeTheRoleUncertainWhenAnswersCarryNoRoles() {
        Settings s = settings(Guards.OFF, true);
        SplitterFixture f = new SplitterFixture(new Settings(0, 2, 0, s.stepNs(), s.classes(), List.of(), 1, s.guards(), 0,
                EPOCH_NS, true, true, false, s.rules(),
                new Limits(6, false, true, false, true, 500 * MS, false), -1, -1, -1, -1, -1), 1).withThreeStores();
        assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
        f.advance(20, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0));
        assertEquals(1, lastTarget(f.advance(1, arrival(2, SESSION_READ, 5))));
    }

    /** A report that denies the role may be older or newer than the last answer, since reports arrive late. */
    @Test
    void contradictingReportSuspendsReadsFromThePrimaryUntilItConfirmsItsRole() {
        for (boolean byReport : new boolean[] {true, false}) {
            SplitterFixture f = withReplicasCaughtUp(settings(Guards.OFF, true));
            for (int i = 0; i < 20; i++) {
                f.advance(10, f.probeOk(1, 300, true));
            }
            assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
            f.advance(1, f.answered(1, 0, 1, Outcome.ERROR, Role.PRIMARY, 0));
            f.advance(100, f.probeOk(1, 300, false));
            assertRoleUncertain(f, byReport);
        }
    }

    private static List<Long> probedStores(List<Action> actions) {
        return actions.stream().filter(Inspect.class::isInstance).map(a -> ((Inspect) a).store()).toList();
    }

    /**
     * An answer counts as known 100 ms after the store wrote it, even if it is delayed on its way here: else reads of the
     * session go to replicas that do not have the write yet.
     */
    @Test
    void writeInFlightCountsAsAnsweredAfterTheKnownDelay() {
        SplitterFixture f = withReplicasCaughtUp(settings(Guards.OFF, true));
        assertEquals(1, lastTarget(f.advance(1, arrival(1, UNSAFE_WRITE, 5))));
        assertTrue(lastTarget(f.advance(70, arrival(2, SESSION_READ, 5))) > 1, "cannot have been answered 100 ms ago");
        f.now += 60 * MS;
        f.advance(0, f.probeOk(1, 0, true));
        assertTrue(f.sentToAfterProbes(0, arrival(3, SESSION_READ, 5)) <= 1, "last known positions are before the write");
        assertTrue(f.sentToAfterProbes(0, arrival(4, SESSION_READ, 6)) > 1, "another session's read");
        f.advance(0, f.probeOk(2, 50, false), f.probeOk(3, 50, false));
        long replica = f.sentToAfterProbes(1, arrival(5, SESSION_READ, 5));
        assertTrue(replica > 1, "replicas have everything answered 100 ms ago");
        assertEquals(Permission.ALLOWED, f.splitter.sendPermission(f.now, 5, 0));
        assertEquals(Permission.DATA_TOO_OLD, f.splitter.sendPermission(f.now + 60 * MS, 5, 0), "the connection was set up too late");
    }

    /**
     * The deduplication window runs from the first send to the last byte of a retry, whose connection may be slow. Guards against a
     * retry that a server takes behind it, since it pauses: up to 0.33 s, which a short window does not leave room for.
     */
    @Test
    void retryIsNotPermittedAfterTheDedupWindow() {
        for (long[] windowAndMargin : new long[][] {{800, 200}, {1_600, 400}, {1_700, 400}}) {
            long lastMs = windowAndMargin[0] - windowAndMargin[1];
            SplitterFixture f = withReplicasCaughtUp(withWindow(settings(Guards.OFF, true), windowAndMargin[0]));
            f.advance(1, new Arrived(1, DEDUPLICATED_WRITE, false, 4_000 * MS, 0, 0, 5, 0, 1));
            long sent = f.now;
            assertEquals(1, lastTarget(f.advance(lastMs - 50, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0))));
            assertEquals(Permission.ALLOWED, f.splitter.sendPermission(sent + (lastMs - 10) * MS, 1, 1));
            assertEquals(Permission.NOT_REPEATABLE, f.splitter.sendPermission(sent + (lastMs + 10) * MS, 1, 1),
                    "too close to the end of the window of " + windowAndMargin[0] + " ms");
        }
    }

    private static Settings withWindow(Settings old, long windowMs) {
        List<RequestClass> classes = new ArrayList<>(old.classes());
        RequestClass keyed = classes.get(DEDUPLICATED_WRITE);
        classes.set(DEDUPLICATED_WRITE, new RequestClass(keyed.consistency(), 0, keyed.onTimeNs(), keyed.deadlineNs(), 3, 0.5,
                Effect.DEDUPLICATED, keyed.scope(), windowMs * MS));
        return new Settings(0, 2, 0, 5 * MS, classes, List.of(), 1, old.guards(), 0, EPOCH_NS, true, true, false, old.rules(),
                old.limits(), 0, 1, 2, -1, -1);
    }

    /** If repeats are recognised per zone, a primary in another zone would run a write a second time. */
    @Test
    void retryStaysInTheDeduplicationZone() {
        for (Scope scope : Scope.values()) {
            Settings old = settings(Guards.OFF, true);
            List<RequestClass> classes = new ArrayList<>(old.classes());
            RequestClass keyed = classes.get(DEDUPLICATED_WRITE);
            classes.set(DEDUPLICATED_WRITE, new RequestClass(keyed.consistency(), 0, keyed.onTimeNs(), keyed.deadlineNs(), 3, 0.5,
                    Effect.DEDUPLICATED, scope, 800 * MS));
            SplitterFixture f = new SplitterFixture(new Settings(0, 2, 0, 5 * MS, classes, List.of(), 1, old.guards(), 0, EPOCH_NS, true,
                    true, false, old.rules(), old.limits(), 0, 1, 2, -1, -1), 1);
            f.advance(0, new ListChanged(ListMode.CACHED, 1, List.of(new Listing(1, 1, 0, 0, Availability.READY, true, 0, 1),
                    new Listing(2, 1, 1, 0, Availability.READY, false, 0, 1))));
            f.advance(0, f.probeOk(1, 0, true), f.probeOk(2, 5, false));
            assertEquals(1, lastTarget(f.advance(1, arrival(1, DEDUPLICATED_WRITE, 5))));
            f.advance(100, f.probeOk(2, 0, true));
            long next = lastTarget(f.advance(0, f.answered(1, 0, 1, Outcome.RESET, Role.UNKNOWN, 0)));
            assertEquals(scope == Scope.ZONE ? 0 : 2, next, "new primary in another zone, scope " + scope);
        }
    }
}
