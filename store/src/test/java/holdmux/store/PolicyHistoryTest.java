package holdmux.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Checked;
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

/** The rules by which every member accepts or refuses log entries. */
class PolicyHistoryTest {
    static String settings() {
        try (InputStream in = PolicyHistoryTest.class.getResourceAsStream("/settings.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    static String policy() {
        return new JSONObject().put("settings", new JSONObject(settings())).toString();
    }

    static String policyWith(String key, Object value) {
        return new JSONObject().put("settings", new JSONObject(settings()).put(key, value)).toString();
    }

    private static PolicyHistory historyOf(int count) {
        PolicyHistory history = PolicyHistory.EMPTY;
        for (int i = 1; i <= count; i++) {
            history = history.apply(new Propose(PolicyVersion.of(i, i - 1, policyWith("over-share-worth", i), "a")));
        }
        return history;
    }

    /** Entries round-trip through the codec; invalid ones are rejected, and oversized ones without parsing them. */
    @Test
    void entriesSurviveEncodingAndInvalidBytesAreRejected() {
        for (Entry entry : List.of(new Propose(PolicyVersion.of(3, 2, policy(), "ana")), new Activate(3, 9, "ana", 2),
                new Checked(3, "n1", "no classes"))) {
            assertEquals(entry, EntryCodec.decode(EntryCodec.encode(entry)));
        }
        for (String text : List.of("", "[]", "{}", "{\"activate\":{\"number\":1}}", "{\"propose\":{},\"activate\":{}}",
                "{\"activate\":{\"number\":1,\"delayNs\":0,\"quorum\":1,\"by\":\"" + "x".repeat(201) + "\"}}")) {
            assertThrows(IllegalArgumentException.class, () -> EntryCodec.decode(text.getBytes(StandardCharsets.UTF_8)));
        }
        assertThrows(IllegalArgumentException.class, () -> EntryCodec.decode(new byte[EntryCodec.MAX_BYTES + 1]));
    }

    /** Two operators start from the same version: the second is refused, with the first version and its author as the reason. */
    @Test
    void secondProposalBasedOnTheSameVersionIsRefused() {
        PolicyHistory history = historyOf(2);
        PolicyVersion late = PolicyVersion.of(3, 1, policy(), "bob");
        EntryResult result = history.check(new Propose(late));
        assertFalse(result.accepted());
        assertTrue(result.reason().contains("2 was kept meanwhile by a"), result.reason());
        assertSame(history, history.apply(new Propose(late)));
    }

    @Test
    void versionWithAWrongChecksumIsRefused() {
        PolicyVersion corrupted = new PolicyVersion(1, 0, settings(), PolicyVersion.checksum(settings() + " "), "a");
        EntryResult result = PolicyHistory.EMPTY.check(new Propose(corrupted));
        assertFalse(result.accepted());
        assertTrue(result.reason().contains("checksum"), result.reason());
    }

    /** Guards against activating a policy that poolers cannot load: the validator applies serve's schema and limits. */
    @Test
    void validatorRejectsWhatThePoolerCannotLoad() {
        for (String text : List.of(policyWith("step-ns", 0), policyWith("balancers", "many"), "{", "[]", settings(),
                new JSONObject(policy()).put("discovery", "a name").toString(),
                new JSONObject(policy()).put("excluded", List.of("")).toString(),
                policyWith("request-classes", List.of()), " ".repeat(PolicyVersion.MAX_BYTES) + policy())) {
            assertFalse(Validator.POLICY.problem(text).isEmpty(), text);
        }
        assertEquals("", Validator.POLICY.problem(new JSONObject(policy()).put("discovery", "127.0.0.1:85")
                .put("excluded", List.of("s-1")).put("evacuated", List.of("p1")).toString()));
    }

    /** A member that runs another program version may reject a policy; it must then not be activated on any member. */
    @Test
    void activationNeedsAQuorumOfChecksAndNoFailedCheck() {
        PolicyHistory history = historyOf(1).apply(new Checked(1, "n1", ""));
        assertTrue(history.check(new Activate(1, 0, "a", 2)).reason().startsWith("only 1 of the 2"));
        PolicyHistory refused = history.apply(new Checked(1, "n2", "no such guard"));
        assertTrue(refused.check(new Activate(1, 0, "a", 1)).reason().contains("n2 cannot serve"));
        PolicyHistory passed = refused.apply(new Checked(1, "n2", ""));
        assertEquals(1, passed.apply(new Activate(1, 0, "a", 2)).active().orElseThrow().number());
        assertSame(passed, passed.apply(new Checked(1, "n2", "")), "recorded already");
    }

    /** Pruning old texts bounds a member's memory, but the newest version and the one in force keep theirs. */
    @Test
    void oldTextsArePrunedExceptActiveAndNewest() {
        PolicyHistory history = historyOf(1).apply(new Activate(1, 0, "a", 0));
        String large = " ".repeat(PolicyVersion.MAX_BYTES - 1);
        for (int i = 2; i <= 40; i++) {
            history = history.apply(new Propose(PolicyVersion.of(i, i - 1, large + i % 10, "a")))
                    .apply(new Checked(i, "n1", ""));
        }
        assertTrue(history.versions().stream().mapToLong(v -> v.text().length()).sum() <= PolicyHistory.MAX_TEXT_LENGTH);
        assertFalse(history.version(1).orElseThrow().isPruned());
        assertFalse(history.version(40).orElseThrow().isPruned());
        assertTrue(history.version(2).orElseThrow().isPruned());
        assertTrue(history.check(new Activate(2, 0, "a", 0)).reason().contains("no longer kept"));
        assertTrue(history.checks().stream().noneMatch(c -> c.number() == 2), "the checks of pruned versions are dropped too");
        assertEquals(history, ProtoMapper.toHistory(ProtoMapper.toProto(history, true)), "a snapshot preserves the whole history");
    }

    @Test
    void activationRequiresAStoredVersionAndAllowsRollback() {
        PolicyHistory history = historyOf(2);
        assertTrue(history.active().isEmpty(), "stored is not yet in force");
        assertFalse(history.check(new Activate(3, 0, "a", 0)).accepted(), "no such version");
        assertFalse(history.check(new Activate(2, -1, "a", 0)).accepted(), "negative delay");
        assertFalse(history.check(new Activate(2, PolicyHistory.MAX_DELAY_NS + 1, "a", 0))
                .accepted(), "too long a delay");
        history = history.apply(new Activate(2, 0, "a", 0));
        assertFalse(history.check(new Activate(2, 0, "a", 0)).accepted(), "in force already");
        history = history.apply(new Activate(1, 5, "b", 0));
        assertEquals(new PolicyHistory.Activation(1, 5, 2, "b"), history.active().orElseThrow());
    }

    /**
     * For any log (gaps, stale bases, invalid texts, activations of unknown versions), versions stay numbered without gaps,
     * only stored versions are activated, and a refused entry leaves the history unchanged.
     */
    @Property(tries = 200, seed = "20261201")
    void historyInvariantsHoldForAnyLog(@ForAll @IntRange(min = 1, max = 40) int length, @ForAll long seed) {
        Random random = new Random(seed);
        List<Entry> log = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            int number = 1 + random.nextInt(6);
            log.add(random.nextBoolean()
                    ? new Propose(PolicyVersion.of(number, number - 1 - random.nextInt(2),
                            random.nextInt(5) == 0 ? "{}" : policyWith("over-share-worth", random.nextInt(9)),
                            "op" + random.nextInt(2)))
                    : new Activate(number, random.nextInt(3), "op", 0));
        }
        PolicyHistory history = PolicyHistory.EMPTY;
        for (Entry entry : log) {
            PolicyHistory next = history.apply(entry);
            if (!history.check(entry).accepted()) {
                assertSame(history, next);
            }
            history = next;
        }
        for (int i = 0; i < history.versions().size(); i++) {
            assertEquals(i + 1, history.versions().get(i).number(), "numbered without gaps");
            assertTrue(history.versions().get(i).isIntact());
        }
        for (PolicyHistory.Activation activation : history.activations()) {
            assertTrue(activation.number() <= history.newestNumber(), "only stored versions are activated");
        }
    }
}
