package holdmux.store.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.standins.FaultRelay;
import holdmux.standins.StandIns;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.ProtoMapper;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyVersion;
import holdmux.store.Validator;
import holdmux.store.EntryResult;
import holdmux.store.wire.Answer;
import holdmux.store.wire.Empty;
import holdmux.store.wire.Poll;
import holdmux.store.wire.Question;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Three members on real logs in one process, each reached through a relay: what the store promises its clients. */
@Timeout(120)
class StoreMemberTest {
    private static final Validator ANY = text -> text.contains("bad") ? "it is bad" : "";

    @TempDir
    Path folder;

    private final Map<String, StoreMember> members = new LinkedHashMap<>();
    private final Map<String, FaultRelay> relays = new LinkedHashMap<>();
    private Members all;
    private StoreClient client;

    private void start(int count) throws Exception {
        Map<String, Integer> ports = new LinkedHashMap<>();
        for (int i = 1; i <= count; i++) {
            ports.put("n" + i, StandIns.freePort());
        }
        StringBuilder listed = new StringBuilder();
        ports.forEach((name, port) -> listed.append(listed.isEmpty() ? "" : ",").append(name).append("=127.0.0.1:").append(port));
        all = Members.parse(listed.toString());
        for (String name : all.names()) {
            relays.put(name, new FaultRelay(all.address(name)));
            MemberRoutes.set(name, relays.get(name).address());
        }
        for (String name : all.names()) {
            start(name, true, ANY);
        }
        client = new StoreClient(all, 1_000, 20_000);
    }

    private void start(String name, boolean first, Validator validator) throws IOException {
        members.put(name, new StoreMember(name, all, all.address(name), folder.resolve(name), first, validator));
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        for (StoreMember member : members.values()) {
            member.close();
        }
        for (FaultRelay relay : relays.values()) {
            relay.close();
        }
    }

    /** Tries until it gives something that holds; elections take their time. */
    private static <T> T until(Callable<T> get, Predicate<T> holds) throws Exception {
        long by = System.nanoTime() + 20_000_000_000L;
        while (true) {
            String seen;
            try {
                T got = get.call();
                if (holds.test(got)) {
                    return got;
                }
                seen = String.valueOf(got);
            } catch (IOException e) {
                seen = e.getMessage();
            }
            assertTrue(System.nanoTime() < by, "waited in vain; last seen: " + seen);
            Thread.sleep(50);
        }
    }

    private EntryResult propose(long number, String text) throws Exception {
        return until(() -> client.write(new Propose(PolicyVersion.of(number, number - 1, text, "ana"))), v -> true);
    }

    private void activate(long number) throws Exception {
        until(() -> client.write(new Activate(number, 0, "ana", 0)), v -> v.accepted() || v.reason().contains("already"));
    }

    private PolicyHistory history(String member) throws IOException {
        return ProtoMapper.toHistory(client.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance()).build(), member)
                .getHistory());
    }

    private static Question poll(long seen, int holdMs) {
        return Question.newBuilder().setPoll(Poll.newBuilder().setSeenSerial(seen).setHoldMs(holdMs)).build();
    }

    /** Every member tells the same; what is refused is refused in the store's own words; a poll waits for news. */
    @Test
    void whatOneIsToldAllTell() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        assertEquals("not a valid policy: it is bad", propose(2, "{\"bad\":1}").reason());
        assertTrue(propose(3, "{}").reason().startsWith("version 3 cannot follow 1"));
        activate(1);
        for (String name : all.names()) {
            PolicyHistory history = until(() -> history(name), h -> h.active().isPresent() && h.checks(1).size() == 3);
            assertEquals(1, history.newestNumber());
            assertEquals("{}", ProtoMapper.toVersion(client.ask(poll(0, 0), name).getNews().getVersion()).text());
        }
        CompletableFuture<Answer> held = CompletableFuture.supplyAsync(() -> {
            try {
                return client.ask(poll(1, 20_000), "n2");
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(propose(2, "{\"a\":2}").accepted());
        activate(2);
        assertEquals(2, held.get().getNews().getVersion().getNumber());
    }

    /** A member that was down, or whose connections were reset, is soon back with the history of the others. */
    @Test
    void aMemberThatWasDownCatchesUp() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        members.remove("n2").close();
        activate(1);
        start("n2", false, ANY);
        until(() -> history("n2"), h -> h.active().isPresent());
        for (FaultRelay relay : relays.values()) {
            relay.setMode(FaultRelay.Mode.RESET);
        }
        assertThrows(IOException.class, () -> client.ask(poll(0, 0)), "nobody can confirm anything");
        for (FaultRelay relay : relays.values()) {
            relay.setMode(FaultRelay.Mode.PASS);
        }
        assertTrue(propose(2, "{\"a\":2}").accepted());
        activate(2);
        for (String name : all.names()) {
            assertEquals(2, until(() -> history(name), h -> h.newestNumber() == 2).newestNumber());
        }
    }

    /** Without a majority nothing is taken, and nobody is told that what they know is still in force. */
    @Test
    void withoutAMajorityNothingIsTakenOrConfirmed() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        activate(1);
        members.remove("n1").close();
        members.remove("n2").close();
        assertThrows(IOException.class, () -> client.write(new Propose(PolicyVersion.of(2, 1, "{}", "ana"))));
        assertThrows(IOException.class, () -> client.ask(poll(0, 0)), "one answers, which confirms nothing");
        start("n1", false, ANY);
        until(() -> history("n3"), h -> h.active().isPresent());
    }

    /** A version that one member's program cannot serve stays out of force. */
    @Test
    void oneMembersObjectionKeepsAVersionOutOfForce() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        members.remove("n3").close();
        start("n3", false, text -> "older program");
        until(() -> history("n1"), h -> h.checks(1).stream().anyMatch(c -> c.problem().isEmpty()));
        until(() -> client.write(new Activate(1, 0, "ana", 0)), v -> true);
        assertTrue(propose(2, "{\"a\":2}").accepted());
        until(() -> history("n1"), h -> h.checks(2).stream().anyMatch(c -> c.member().equals("n3")));
        EntryResult verdict = client.write(new Activate(2, 0, "ana", 0));
        assertFalse(verdict.accepted());
        assertTrue(verdict.reason().contains("member n3 cannot serve under version 2: older program"), verdict.reason());
    }

    /** A torn snapshot is put aside with a word, and the member is whole again from the one before, or from the others. */
    @Test
    void aTornSnapshotIsPutAside() throws Exception {
        start(3);
        for (int i = 1; i <= 130; i++) { // four entries each: two snapshots
            assertTrue(propose(i, "{\"a\":" + i + "}").accepted());
        }
        until(() -> history("n1"), h -> h.checks(130).size() == 3);
        members.remove("n1").close();
        Path torn;
        try (var files = Files.walk(folder.resolve("n1"))) {
            torn = files.filter(f -> f.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
                    .max(Comparator.comparingLong(f -> Long.parseLong(f.toString().replaceAll(".*_", "")))).orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(torn);
        bytes[bytes.length / 2] ^= 1;
        Files.write(torn, bytes);
        start("n1", false, ANY);
        PolicyHistory whole = until(() -> history("n1"), h -> h.newestNumber() == 130);
        assertEquals(history("n2").versions(), whole.versions());
        assertTrue(Files.exists(torn.resolveSibling("unfit-" + torn.getFileName())));
    }
}
