package holdmux.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.app.Cli;
import holdmux.app.demo.PgClient;
import holdmux.standins.FaultRelay.Mode;
import holdmux.standins.StandIns;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The operators' commands against members and a follower in processes of their own. */
@Timeout(200)
class PolicyCommandsTest {
    private static final long BOUND_MS = 10_000;

    @TempDir
    Path folder;

    private PolicyFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new PolicyFleet(3, 1, BOUND_MS);
    }

    @AfterEach
    void end() throws Exception {
        fleet.close();
        fleet.forget();
    }

    /** What the command said; its exit code must be this one. */
    private String run(int code, String... args) {
        ByteArrayOutputStream told = new ByteArrayOutputStream();
        PrintStream out = System.out;
        System.setOut(new PrintStream(told, true, StandardCharsets.UTF_8));
        int got;
        try {
            got = Cli.run(args);
        } finally {
            System.setOut(out);
        }
        String words = told.toString(StandardCharsets.UTF_8);
        assertEquals(code, got, () -> String.join(" ", args) + ": " + words);
        return words;
    }

    private String policy(int code, String... args) {
        return run(code, args(args));
    }

    private String[] args(String... args) {
        String[] all = Arrays.copyOf(args, args.length + 2);
        all[args.length] = "-m";
        all[args.length + 1] = fleet.listed();
        return all;
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private static Map<String, String> stats(PoolerProcess pooler) throws IOException {
        try (PgClient client = pooler.talk()) {
            Map<String, String> rows = new HashMap<>();
            client.query("SHOW STATS", rows);
            return rows;
        }
    }

    private static String read(PoolerProcess pooler) throws IOException {
        try (PgClient client = pooler.talk()) {
            return client.query("SELECT data FROM facts WHERE code = 'k1' /* id=r1,c=rate-lookup,d=1000,cluster=1 */",
                    new HashMap<>());
        }
    }

    /** From a new store to a roll-back, and members that come and go; each command says what it did. */
    @Test
    void aPolicyIsProposedActivatedShownAndRolledBack() throws Exception {
        fleet.startAll();
        assertEquals("57P03", read(fleet.follower()), "closed until a version is in force");
        String whole = file("config.json", fleet.standIns.config(1, 256, 512));
        assertTrue(policy(0, "policy", "propose", whole, "--activate", "--delay", "0ms").contains("version 1 is in force"));
        fleet.awaitAll();
        assertEquals("", read(fleet.follower()));
        String next = file("next.json", fleet.text().replace("\"may-duplicate\":true", "\"may-duplicate\":false"));
        assertTrue(policy(0, "policy", "propose", next, "--by", "ana").contains("version 2"));
        assertTrue(policy(1, "policy", "propose", next, "--based-on", "1").contains("refused: version 2 cannot follow 2"));
        assertTrue(policy(0, "policy", "diff", "1", "2").contains("settings.allowed.may-duplicate: true -> false"));
        fleet.awaitAll();
        assertEquals("1", stats(fleet.follower()).get("policy_version"), "kept is not in force");
        assertTrue(policy(0, "policy", "activate", "2", "--delay", "200ms").contains("version 2 is in force"));
        fleet.awaitAll();
        assertTrue(policy(1, "policy", "activate", "2").contains("in force already"));
        assertTrue(policy(0, "policy", "rollback").contains("version 1 is in force"));
        fleet.awaitAll();
        assertEquals("1", stats(fleet.follower()).get("policy_version"));
        String status = policy(0, "policy", "status");
        assertTrue(status.contains("in force: version 1") && status.lines().filter(l -> l.matches("p[1-4] .*version 1,.*"))
                .count() == 4, status);
        assertTrue(policy(0, "policy", "history").contains("version 2 ") && policy(0, "policy", "show", "2").contains("class"));
        assertTrue(policy(1, "policy", "propose", file("bad.json", "{\"settings\":{}}")).isEmpty(), "said on standard error");

        String n4 = "n4=127.0.0.1:" + StandIns.freePort();
        fleet.further("p5", List.of("--store-members", fleet.listed(), "--store-id", "n4", "--store-listen", n4.substring(3)))
                .awaitListening();
        assertTrue(policy(0, "store", "add", n4).contains("n4="));
        assertEquals(4, policy(0, "store", "members").lines().count());
        assertTrue(policy(0, "store", "remove", "n1").startsWith("members: n2="));
        fleet.poolers.get("p1").kill();
        for (long by = PolicyFleet.nowMs() + PolicyFleet.AGREE_MS; Cli.run(args("store", "status")) != 0; Thread.sleep(100)) {
            assertTrue(PolicyFleet.nowMs() < by, "two of three members are up, and none leads");
        }
        assertTrue(policy(0, "policy", "activate", "2", "--delay", "0ms").contains("version 2 is in force"));
    }

    /** Cut off, a pooler serves on and says so, is closed at the bound, and opens again by itself. */
    @Test
    void aPoolerThatIsCutOffIsClosedAtTheBoundAndOpensAgain() throws Exception {
        fleet.startAll();
        fleet.change(0);
        fleet.awaitAll();
        PoolerProcess cut = fleet.follower();
        fleet.waysOf(cut.name, Mode.SILENT);
        fleet.change(0);
        assertEquals("", read(cut));
        assertEquals("1", stats(cut).get("policy_version"), "serves its last good version");
        for (long by = PolicyFleet.nowMs() + 3 * BOUND_MS; !stats(cut).get("policy_state").equals("closed"); Thread.sleep(20)) {
            assertTrue(PolicyFleet.nowMs() < by, "not closed past the bound");
        }
        assertEquals("57P03", read(cut));
        fleet.waysOf(cut.name, Mode.PASS);
        fleet.awaitAll();
        assertEquals("2", stats(cut).get("policy_version"));
        assertEquals("", read(cut));
    }

    /** A member whose disk is full takes no part; its pooler serves on under what the others put in force. */
    @Test
    void aMemberWhoseDiskIsFullCostsNobodyAnything() throws Exception {
        fleet.poolers.get("p3").limit("-f 200");
        fleet.startAll();
        fleet.change(0);
        String large = " ".repeat(60_000);
        for (int i = 0; i < 6; i++) {
            String text = file("large" + i, fleet.text() + large);
            policy(0, "policy", "propose", text, "--activate", "--delay", "0ms");
        }
        for (long by = PolicyFleet.nowMs() + PolicyFleet.AGREE_MS; !stats(fleet.poolers.get("p3")).get("policy_version")
                .equals("7"); Thread.sleep(20)) {
            assertTrue(PolicyFleet.nowMs() < by, "the pooler beside the full disk is not told");
        }
        assertEquals("", read(fleet.poolers.get("p3")));
        String log = Files.readString(fleet.folder().resolve("p3").resolve("log"));
        assertTrue(log.contains("log cannot be written"), log);
    }
}
