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
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The policy and store commands against member and follower processes. */
@Timeout(200)
class PolicyCommandsTest {
    private static final AtomicInteger LAST_ID = new AtomicInteger();

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
        fleet.deleteFiles();
    }

    /** Runs a command and checks its exit code. Returns its standard output. */
    private String run(int expectedExitCode, String... args) {
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        PrintStream out = System.out;
        System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
        int exitCode;
        try {
            exitCode = Cli.run(args);
        } finally {
            System.setOut(out);
        }
        String output = captured.toString(StandardCharsets.UTF_8);
        assertEquals(expectedExitCode, exitCode, () -> String.join(" ", args) + ": " + output);
        return output;
    }

    private String runPolicy(int expectedExitCode, String... args) {
        return run(expectedExitCode, withMembers(args));
    }

    private String[] withMembers(String... args) {
        String[] extended = Arrays.copyOf(args, args.length + 2);
        extended[args.length] = "-m";
        extended[args.length + 1] = fleet.memberList();
        return extended;
    }

    private String writeFile(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private static Map<String, String> stats(PoolerProcess pooler) throws IOException {
        try (PgClient client = pooler.connect()) {
            Map<String, String> rows = new HashMap<>();
            client.query("SHOW STATS", rows);
            return rows;
        }
    }

    private static String read(PoolerProcess pooler) throws IOException {
        try (PgClient client = pooler.connect()) {
            return client.query("SELECT data FROM facts WHERE code = 'k1' /* id=r" + LAST_ID.incrementAndGet()
                    + ",c=rate-lookup,d=1000,cluster=1 */", new HashMap<>());
        }
    }

    /** A new store, policy changes up to a rollback, and changes of members; every command reports what it did. */
    @Test
    void policyIsProposedActivatedShownAndRolledBack() throws Exception {
        fleet.startAll();
        assertEquals("57P03", read(fleet.follower()), "requests are refused until a version is in force");
        String wholeConfig = writeFile("config.json", fleet.standIns.config(1, 256, 512));
        assertTrue(runPolicy(0, "policy", "propose", wholeConfig, "--activate", "--delay", "0ms").contains("version 1 is in force"));
        fleet.requireAgreement();
        assertEquals("", read(fleet.follower()));
        String nextPolicy = writeFile("next.json", fleet.newPolicyText().replace("\"may-duplicate\":true", "\"may-duplicate\":false"));
        assertTrue(runPolicy(0, "policy", "propose", nextPolicy, "--by", "ana").contains("version 2"));
        assertTrue(runPolicy(1, "policy", "propose", nextPolicy, "--based-on", "1").contains("refused: version 2 cannot follow 2"));
        assertTrue(runPolicy(0, "policy", "diff", "1", "2").contains("settings.allowed.may-duplicate: true -> false"));
        fleet.requireAgreement();
        assertEquals("1", stats(fleet.follower()).get("policy_version"), "a stored version is not in force");
        assertTrue(runPolicy(0, "policy", "activate", "2", "--delay", "200ms").contains("version 2 is in force"));
        fleet.requireAgreement();
        assertTrue(runPolicy(1, "policy", "activate", "2").contains("in force already"));
        assertTrue(runPolicy(0, "policy", "rollback").contains("version 1 is in force"));
        fleet.requireAgreement();
        assertEquals("1", stats(fleet.follower()).get("policy_version"));
        String status = runPolicy(0, "policy", "status");
        assertTrue(status.contains("in force: version 1") && status.lines().filter(l -> l.matches("p[1-4] .*version 1,.*"))
                .count() == 4, status);
        assertTrue(runPolicy(0, "policy", "history").contains("version 2 ") && runPolicy(0, "policy", "show", "2").contains("class"));
        assertTrue(runPolicy(1, "policy", "propose", writeFile("bad.json", "{\"settings\":{}}")).isEmpty(),
                "the error goes to standard error");

        String n4 = "n4=127.0.0.1:" + StandIns.freePort();
        fleet.startExtra("p5", List.of("--store-members", fleet.memberList(), "--store-id", "n4", "--store-listen", n4.substring(3)))
                .awaitListening();
        assertTrue(runPolicy(0, "store", "add", n4).contains("n4="));
        assertEquals(4, runPolicy(0, "store", "members").lines().count());
        assertTrue(runPolicy(0, "store", "remove", "n1").startsWith("members: n2="));
        fleet.poolers.get("p1").kill();
        for (long deadlineMs = PolicyFleet.nowMs() + PolicyFleet.AGREEMENT_TIMEOUT_MS; Cli.run(withMembers("store", "status")) != 0;
                Thread.sleep(100)) {
            assertTrue(PolicyFleet.nowMs() < deadlineMs, "no leader although two of three members are up");
        }
        assertTrue(runPolicy(0, "policy", "activate", "2", "--delay", "0ms").contains("version 2 is in force"));
    }

    /** An isolated pooler keeps serving its last version, refuses requests past the bound, and recovers without intervention. */
    @Test
    void isolatedPoolerClosesAtTheBoundAndReopens() throws Exception {
        fleet.startAll();
        fleet.changePolicy(0);
        fleet.requireAgreement();
        PoolerProcess isolated = fleet.follower();
        fleet.setRelayMode(isolated.name, Mode.SILENT);
        fleet.changePolicy(0);
        assertEquals("", read(isolated));
        assertEquals("1", stats(isolated).get("policy_version"), "keeps its last confirmed version");
        for (long deadlineMs = PolicyFleet.nowMs() + 3 * BOUND_MS; !stats(isolated).get("policy_state").equals("closed");
                Thread.sleep(20)) {
            assertTrue(PolicyFleet.nowMs() < deadlineMs, "still open past the bound");
        }
        assertEquals("57P03", read(isolated));
        fleet.setRelayMode(isolated.name, Mode.PASS);
        fleet.requireAgreement();
        assertEquals("2", stats(isolated).get("policy_version"));
        assertEquals("", read(isolated));
    }

    /** A member whose disk is full drops out of the store; its pooler keeps following the versions that the others activate. */
    @Test
    void memberWithAFullDiskDoesNotAffectOthers() throws Exception {
        fleet.poolers.get("p3").setUlimit("-f 200");
        fleet.startAll();
        fleet.changePolicy(0);
        String padding = " ".repeat(60_000);
        for (int i = 0; i < 6; i++) {
            String text = writeFile("large" + i, fleet.newPolicyText() + padding);
            runPolicy(0, "policy", "propose", text, "--activate", "--delay", "0ms");
        }
        for (long deadlineMs = PolicyFleet.nowMs() + PolicyFleet.AGREEMENT_TIMEOUT_MS; !stats(fleet.poolers.get("p3")).get("policy_version")
                .equals("7"); Thread.sleep(20)) {
            assertTrue(PolicyFleet.nowMs() < deadlineMs, "the pooler with the full disk does not follow the store");
        }
        assertEquals("", read(fleet.poolers.get("p3")));
        String log = Files.readString(fleet.folder().resolve("p3").resolve("log"));
        assertTrue(log.contains("log cannot be written"), log);
    }
}
