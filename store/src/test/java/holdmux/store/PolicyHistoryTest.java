package holdmux.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;

/** What the store accepts into its history, the same on every member. */
class PolicyHistoryTest {
    static String settings() {
        try (InputStream in = PolicyHistoryTest.class.getResourceAsStream("/settings.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    static String settingsWith(String key, Object value) {
        JSONObject object = new JSONObject(settings());
        object.put(key, value);
        return object.toString();
    }

    private static PolicyHistory kept(int count) {
        PolicyHistory history = PolicyHistory.EMPTY;
        for (int i = 1; i <= count; i++) {
            history = history.apply(new Propose(PolicyVersion.of(i, i - 1, settingsWith("over-share-worth", i), "a")),
                    Validator.SETTINGS);
        }
        return history;
    }

    /** Entries survive the log whole; what is not an entry is refused, unread where it is too long. */
    @Test
    void entriesComeBackFromTheLogAsTheyWent() {
        for (Entry entry : List.of(new Propose(PolicyVersion.of(3, 2, settings(), "ana")), new Activate(3, 9, "ana"))) {
            assertEquals(entry, EntryCodec.decode(EntryCodec.encode(entry)));
        }
        for (String text : List.of("", "[]", "{}", "{\"activate\":{\"number\":1}}", "{\"propose\":{},\"activate\":{}}",
                "{\"activate\":{\"number\":1,\"delayNs\":0,\"by\":\"" + "x".repeat(201) + "\"}}")) {
            assertThrows(IllegalArgumentException.class, () -> EntryCodec.decode(text.getBytes(StandardCharsets.UTF_8)));
        }
        assertThrows(IllegalArgumentException.class, () -> EntryCodec.decode(new byte[EntryCodec.MOST_BYTES + 1]));
    }

    /** Two operators who start from the same version: the one applied second learns who came first. */
    @Test
    void theSecondOfTwoProposalsFromOneVersionIsRefused() {
        PolicyHistory history = kept(2);
        PolicyVersion late = PolicyVersion.of(3, 1, settings(), "bob");
        Verdict verdict = history.check(new Propose(late), Validator.SETTINGS);
        assertFalse(verdict.accepted());
        assertTrue(verdict.reason().contains("2 was kept meanwhile by a"), verdict.reason());
        assertSame(history, history.apply(new Propose(late), Validator.SETTINGS));
    }

    @Test
    void aVersionThatDoesNotMatchItsChecksumIsRefused() {
        PolicyVersion torn = new PolicyVersion(1, 0, settings(), PolicyVersion.checksum(settings() + " "), "a");
        Verdict verdict = PolicyHistory.EMPTY.check(new Propose(torn), Validator.SETTINGS);
        assertFalse(verdict.accepted());
        assertTrue(verdict.reason().contains("checksum"), verdict.reason());
    }

    /** The schema and limits of the pooler itself: what serve would refuse is refused before it is kept. */
    @Test
    void aPolicyThatThePoolerCouldNotTakeUpIsRefused() {
        for (String text : List.of(settingsWith("step-ns", 0), settingsWith("balancers", "many"), "{", "[]",
                new JSONObject(settings()).put("request-classes", List.of()).toString())) {
            Verdict verdict = PolicyHistory.EMPTY.check(new Propose(PolicyVersion.of(1, 0, text, "a")),
                    Validator.SETTINGS);
            assertFalse(verdict.accepted(), text);
            assertTrue(verdict.reason().startsWith("version 1 is not a valid policy: "), verdict.reason());
        }
        assertTrue(Validator.SETTINGS.problem(settings()).isEmpty(), Validator.SETTINGS.problem(settings()));
    }

    @Test
    void activationNamesAKeptVersionOnceAndRollsBackByNumber() {
        PolicyHistory history = kept(2);
        assertTrue(history.active().isEmpty(), "kept is not in force");
        assertFalse(history.check(new Activate(3, 0, "a"), Validator.SETTINGS).accepted(), "not kept");
        assertFalse(history.check(new Activate(2, -1, "a"), Validator.SETTINGS).accepted(), "negative delay");
        assertFalse(history.check(new Activate(2, PolicyHistory.MOST_DELAY_NS + 1, "a"), Validator.SETTINGS)
                .accepted(), "too long a delay");
        history = history.apply(new Activate(2, 0, "a"), Validator.SETTINGS);
        assertFalse(history.check(new Activate(2, 0, "a"), Validator.SETTINGS).accepted(), "in force already");
        history = history.apply(new Activate(1, 5, "b"), Validator.SETTINGS);
        assertEquals(new PolicyHistory.Activation(1, 5, 2, "b"), history.active().orElseThrow());
    }

    /**
     * Whatever a log holds (gaps, stale bases, invalid texts, activations of what is not kept), the history keeps its
     * versions numbered without gaps, activates only what it keeps, and a refused entry leaves it as it was.
     */
    @Property(tries = 200, seed = "20261201")
    void noLogBreaksTheHistory(@ForAll @IntRange(min = 1, max = 40) int length, @ForAll long seed) {
        Random random = new Random(seed);
        List<Entry> log = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            int number = 1 + random.nextInt(6);
            log.add(random.nextBoolean()
                    ? new Propose(PolicyVersion.of(number, number - 1 - random.nextInt(2),
                            random.nextInt(5) == 0 ? "{}" : settingsWith("over-share-worth", random.nextInt(9)),
                            "op" + random.nextInt(2)))
                    : new Activate(number, random.nextInt(3), "op"));
        }
        PolicyHistory one = PolicyHistory.EMPTY;
        for (Entry entry : log) {
            PolicyHistory next = one.apply(entry, Validator.SETTINGS);
            if (!one.check(entry, Validator.SETTINGS).accepted()) {
                assertSame(one, next);
            }
            one = next;
        }
        for (int i = 0; i < one.versions().size(); i++) {
            assertEquals(i + 1, one.versions().get(i).number(), "numbered without gaps");
            assertTrue(one.versions().get(i).intact());
        }
        for (PolicyHistory.Activation activation : one.activations()) {
            assertTrue(activation.number() <= one.newest(), "only kept versions are activated");
        }
    }
}
