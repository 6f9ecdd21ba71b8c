package holdmux.store.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.standins.FaultRelay;
import holdmux.standins.StandIns;
import holdmux.store.Entry.Activate;
import holdmux.store.Entry.Propose;
import holdmux.store.EntryResult;
import holdmux.store.PolicyHistory;
import holdmux.store.PolicyVersion;
import holdmux.store.ProtoMapper;
import holdmux.store.Validator;
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

/** The store's guarantees to its clients: three members with real logs in one process, each reached through a relay. */
@Timeout(120)
class StoreMemberTest {
    private static final Validator ANY = text -> text.contains("bad") ? "it is bad" : "";

    @TempDir
    Path directory;

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

    private void start(String name, boolean bootstrap, Validator validator) throws IOException {
        members.put(name, new StoreMember(name, all, all.address(name), directory.resolve(name), bootstrap, validator));
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

    /** Retries until the condition holds, since leader elections take a while. */
    private static <T> T eventually(Callable<T> get, Predicate<T> condition) throws Exception {
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (true) {
            String last;
            try {
                T result = get.call();
                if (condition.test(result)) {
                    return result;
                }
                last = String.valueOf(result);
            } catch (IOException e) {
                last = e.getMessage();
            }
            assertTrue(System.nanoTime() < deadline, "timed out; last result: " + last);
            Thread.sleep(50);
        }
    }

    private EntryResult propose(long number, String text) throws Exception {
        return eventually(() -> client.write(new Propose(PolicyVersion.of(number, number - 1, text, "ana"))), v -> true);
    }

    private void activate(long number) throws Exception {
        eventually(() -> client.write(new Activate(number, 0, "ana", 0)), v -> v.accepted() || v.reason().contains("already"));
    }

    private PolicyHistory history(String member) throws IOException {
        return ProtoMapper.toHistory(client.ask(Question.newBuilder().setHistory(Empty.getDefaultInstance()).build(), member)
                .getHistory());
    }

    private static Question poll(long seen, int holdMs) {
        return Question.newBuilder().setPoll(Poll.newBuilder().setSeenSerial(seen).setHoldMs(holdMs)).build();
    }

    /** All members give the same answers, refusals carry the store's reason, and a held poll returns on an activation. */
    @Test
    void allMembersAgreeAndPollsWaitForUpdates() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        assertEquals("not a valid policy: it is bad", propose(2, "{\"bad\":1}").reason());
        assertTrue(propose(3, "{}").reason().startsWith("version 3 cannot follow 1"));
        activate(1);
        for (String name : all.names()) {
            PolicyHistory history = eventually(() -> history(name), h -> h.active().isPresent() && h.checks(1).size() == 3);
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

    /** A member that was down, or whose connections were reset, catches up with the others' history. */
    @Test
    void memberCatchesUpAfterAnOutage() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        members.remove("n2").close();
        activate(1);
        start("n2", false, ANY);
        eventually(() -> history("n2"), h -> h.active().isPresent());
        for (FaultRelay relay : relays.values()) {
            relay.setMode(FaultRelay.Mode.RESET);
        }
        assertThrows(IOException.class, () -> client.ask(poll(0, 0)), "no member can be reached");
        for (FaultRelay relay : relays.values()) {
            relay.setMode(FaultRelay.Mode.PASS);
        }
        assertTrue(propose(2, "{\"a\":2}").accepted());
        activate(2);
        for (String name : all.names()) {
            assertEquals(2, eventually(() -> history(name), h -> h.newestNumber() == 2).newestNumber());
        }
    }

    /** Without a majority, writes fail and no client gets a confirmation that its version is still in force. */
    @Test
    void withoutAMajorityNothingIsWrittenOrConfirmed() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        activate(1);
        members.remove("n1").close();
        members.remove("n2").close();
        assertThrows(IOException.class, () -> client.write(new Propose(PolicyVersion.of(2, 1, "{}", "ana"))));
        assertThrows(IOException.class, () -> client.ask(poll(0, 0)), "one answer of three confirms nothing");
        start("n1", false, ANY);
        eventually(() -> history("n3"), h -> h.active().isPresent());
    }

    /** A version that one member's program cannot serve must not be activated. */
    @Test
    void oneFailedCheckPreventsActivation() throws Exception {
        start(3);
        assertTrue(propose(1, "{}").accepted());
        members.remove("n3").close();
        start("n3", false, text -> "older program");
        eventually(() -> history("n1"), h -> h.checks(1).stream().anyMatch(c -> c.problem().isEmpty()));
        eventually(() -> client.write(new Activate(1, 0, "ana", 0)), v -> true);
        assertTrue(propose(2, "{\"a\":2}").accepted());
        eventually(() -> history("n1"), h -> h.checks(2).stream().anyMatch(c -> c.member().equals("n3")));
        EntryResult result = client.write(new Activate(2, 0, "ana", 0));
        assertFalse(result.accepted());
        assertTrue(result.reason().contains("member n3 cannot serve under version 2: older program"), result.reason());
    }

    /** A corrupt snapshot is renamed, and the member recovers from the previous one or from the other members. */
    @Test
    void corruptSnapshotIsSetAside() throws Exception {
        start(3);
        for (int i = 1; i <= 130; i++) { // four entries each: two snapshots
            assertTrue(propose(i, "{\"a\":" + i + "}").accepted());
        }
        eventually(() -> history("n1"), h -> h.checks(130).size() == 3);
        members.remove("n1").close();
        Path snapshot;
        try (var files = Files.walk(directory.resolve("n1"))) {
            snapshot = files.filter(f -> f.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
                    .max(Comparator.comparingLong(f -> Long.parseLong(f.toString().replaceAll(".*_", "")))).orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(snapshot);
        bytes[bytes.length / 2] ^= 1;
        Files.write(snapshot, bytes);
        start("n1", false, ANY);
        PolicyHistory restored = eventually(() -> history("n1"), h -> h.newestNumber() == 130);
        assertEquals(history("n2").versions(), restored.versions());
        assertTrue(Files.exists(snapshot.resolveSibling("unfit-" + snapshot.getFileName())));
    }
}
