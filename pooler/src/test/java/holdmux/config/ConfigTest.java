package holdmux.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import holdmux.decision.SplitterApi.Availability;
import holdmux.decision.SplitterApi.Consistency;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

public class ConfigTest {
    /** The configuration file of a small deployment. */
    public static String sample() {
        try (InputStream in = ConfigTest.class.getResourceAsStream("/config.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void decodesTheConfiguration() {
        Config config = Config.decode(sample(), Map.of("BALANCER_LISTEN", "127.0.0.9:6000"), 77, false);
        assertEquals("n3", config.name());
        assertEquals(6000, config.listen().getPort(), "the environment overrides the file");
        assertEquals(8500, config.discovery().getPort());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(1024, config.sockets());
        Deployment deployment = config.deployment();
        assertEquals(77, deployment.settings().zeroNs(), "the origin of positions is that of this process");
        assertEquals("save-quote", deployment.classes().get(1));
        assertEquals(Consistency.WRITE, deployment.settings().classes().get(1).consistency());
        assertEquals(250_000_000L, deployment.connectTimeoutNs());
        assertEquals(Availability.DRAINING, config.cachedList().hosts().get(1).availability());
        assertTrue(config.cachedList().hosts().get(0).primary());
    }

    /** On a reload the file overrides the environment, which dates from the start; an invalid file changes nothing. */
    @Test
    void reloadOverridesTheEnvironment(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Map<String, String> env = Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_DISCOVERY", "127.0.0.1:8501");
        Files.writeString(file, sample());
        Config config = Config.load(env, 77);
        assertEquals(8501, config.discovery().getPort());
        Files.writeString(file, sample().replace("127.0.0.1:8500", "127.0.0.1:8600"));
        Config next = config.reload(env);
        assertEquals(8600, next.discovery().getPort());
        assertFalse(config.needsRestartFor(next));
        Files.writeString(file, sample().replace(":1024}", ":512}"));
        assertTrue(config.needsRestartFor(config.reload(env)));
        Files.writeString(file, sample().substring(0, 500));
        assertThrows(ConfigException.class, () -> config.reload(env));
    }

    /** A reloaded file must have all keys of the one before: a default for a missing key would change a setting unintentionally. */
    @Test
    void reloadRejectsMissingKeys(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Map<String, String> env = Map.of("BALANCER_CONFIG", file.toString());
        Files.writeString(file, sample());
        Config config = Config.load(env, 77);
        for (String missing : List.of("\"late-worth\":0.0,", "\"discovery\":\"127.0.0.1:8500\",", "\"cancel\":true,",
                "\"overload-factor\":2.0,", "\"tenants\":[],", "\"cores\":1.0,")) {
            assertTrue(sample().contains(missing), missing);
            Files.writeString(file, sample().replace(missing, ""));
            assertThrows(ConfigException.class, () -> config.reload(env), missing);
        }
        for (String invalid : List.of("\"max-attempts\":0", "\"max-attempts\":-1")) {
            Files.writeString(file, sample().replace("\"max-attempts\":6", invalid));
            assertThrows(ConfigException.class, () -> config.reload(env), invalid);
        }
        Files.writeString(file, sample().replace("\"deadline-ns\":1000000000", "\"deadline-ns\":0"));
        assertThrows(ConfigException.class, () -> config.reload(env));
        JSONObject fewer = new JSONObject(sample());
        JSONObject settings = fewer.getJSONObject("settings");
        settings.getJSONArray("request-classes").remove(0);
        settings.getJSONObject("family-info").getJSONArray("consistency").remove(0);
        settings.getJSONObject("family-info").getJSONArray("class-bound-ns").remove(0);
        Files.writeString(file, fewer.toString());
        assertEquals(List.of("save-quote"), config.reload(env).deployment().classes(), "a class may be removed");
    }

    /** Invalid or inconsistent settings are rejected with the path of their key, at start-up as at a reload. */
    @Test
    void invalidSettingsAreRejectedByKey() {
        Map<String, String> replacements = Map.of("\"name\":\"save-quote\"", "request-classes.1.name|\"name\":\"my-quotes\"",
                "\"cold-share\":0.15", "guarantees.cold-share|\"cold-share\":1.5",
                "\"ramp-time-ns\":13000000000", "guarantees.ramp-time-ns|\"ramp-time-ns\":-1",
                "\"consistency\":[\"session\",\"write\"]", "2 classes, but 1|\"consistency\":[\"session\"]",
                "\"effect\":\"idempotent\"", "request-classes.0.window-ns|\"effect\":\"idempotent\",\"window-ns\":-5");
        replacements.forEach((valid, keyAndInvalid) -> {
            assertTrue(sample().contains(valid), valid);
            String text = sample().replace(valid, keyAndInvalid.substring(keyAndInvalid.indexOf('|') + 1));
            String message = assertThrows(ConfigException.class, () -> Config.decode(text, Map.of(), 0, false)).getMessage();
            assertTrue(message.contains(keyAndInvalid.substring(0, keyAndInvalid.indexOf('|'))), message);
        });
    }

    /** The program and its deploy file must not depend on names of a particular deployment. */
    @Test
    void programContainsNoDeploymentNames() throws IOException {
        List<String> names = List.of("rate-lookup", "my-quotes", "\"history\"", "quote-check", "save-quote", "kingston", "spanish-town",
                "std-4core", "quote-db", "valpadana", "rennes", "clip-write", "record-change");
        List<Path> files = new ArrayList<>(List.of(Path.of("../deploy/balancer.toml")));
        try (Stream<Path> sources = Files.walk(Path.of("src/main/java"))) {
            sources.filter(Files::isRegularFile).forEach(files::add);
        }
        assertTrue(files.size() > 50);
        for (Path file : files) {
            String text = Files.readString(file);
            names.forEach(name -> assertFalse(text.contains(name), file + " names " + name));
        }
    }

    /** A list of 1,024 servers with the longest names. */
    public static JSONObject largeList() {
        String name = "s".repeat(249);
        JSONArray hosts = new JSONArray();
        for (int i = 0; i < 1_024; i++) {
            hosts.put(new JSONObject(Map.of("host", name + i, "dial", "127.100.100.100:55555", "site", name, "class", name,
                    "block", 3, "health", "up", "share", 1.5, "born_ms", 1767225600123L, "replication", "standby")));
        }
        return new JSONObject(Map.of("seq", 1, "whole", true, "hosts", hosts));
    }

    /** The size limit of the file must allow an indented list of 1,024 servers with the longest names. */
    @Test
    void loadsAThousandServersWithTheLongestNames(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, new JSONObject(sample()).put("known", largeList()).toString(8));
        assertEquals(1_024, Config.load(Map.of("BALANCER_CONFIG", file.toString()), 0).cachedList().hosts().size());
    }

    /** The caps follow from the configured limits, not from those of the machine, and leave spare descriptors and memory. */
    @Test
    void capsFollowTheLimits() {
        for (Footprint footprint : List.of(Footprint.X86_64, Footprint.ARM64)) {
            for (int[] limit : new int[][] {{256, 128}, {384, 144}, {1_024, 128}, {1_024, 192}, {1_024, 96}}) {
                Caps caps = Caps.of(limit[0], limit[1], footprint);
                assertTrue(caps.clients() + caps.servers() <= limit[0] * 9 / 10);
                assertTrue(caps.workers() > caps.clients());
                assertTrue(caps.workers() - caps.clients() <= Math.max(40, caps.servers()), "more threads for probes than connections");
                int clientsMb = caps.clients() * 2 * footprint.kbPerThread() / 1_024;
                assertTrue(caps.clients() == 32 || footprint.jvmMb() + clientsMb <= limit[1], caps.toString());
            }
        }
        assertEquals(128, Caps.of(256, 128, Footprint.X86_64).clients());
        assertEquals(32, Caps.of(256, 32, Footprint.X86_64).clients());
        assertEquals(312, Caps.of(1_024, 128, Footprint.X86_64).clients());
        assertEquals(151, Caps.of(1_024, 128, Footprint.ARM64).clients(), "two threads of a client take 236 KB there");
        Caps largest = Caps.of(1_024, 192, Footprint.X86_64);
        assertEquals(358, largest.servers());
        assertEquals(358, largest.workers() - largest.clients(), "one thread for probes for each server connection");
    }

    @Test
    void flattensToTheSimulatorsForm() {
        Map<String, String> flat = Flattener.flatten(new JSONObject(
                "{\"a\":{\"b\":[1,2],\"c\":[{\"d\":true},{\"d\":false}],\"e\":[],\"f\":\"x, y\",\"g\":null}}"));
        assertEquals(Map.of("a.b", "1,2", "a.c.count", "2", "a.c.0.d", "true", "a.c.1.d", "false", "a.e", "",
                "a.f", "x__y"), flat);
    }

    @Test
    void rejectsAddressesThatAreNotNumeric() {
        assertThrows(ConfigException.class, () -> Config.address("localhost:80"));
        assertThrows(ConfigException.class, () -> Config.address("127.0.0.1"));
        assertThrows(ConfigException.class, () -> Config.address("127.0.0.1:70000"));
    }

    @Property(tries = 200, seed = "41")
    void rejectsTruncatedAndGarbageInput(@ForAll @IntRange(max = 2_000) int length, @ForAll byte[] garbage) {
        String truncated = sample().substring(0, Math.min(length, sample().length() - 1));
        assertThrows(ConfigException.class, () -> Config.decode(truncated, Map.of(), 0, false));
        assertThrows(ConfigException.class, () -> HostList.decode(new String(garbage, StandardCharsets.UTF_8)));
    }

    /** A policy must not override the zone and the other local keys of a pooler, or reads would go to distant replicas. */
    @Test
    void overlayKeepsTheLocalKeysOfThePooler() {
        JSONObject own = new JSONObject(sample()).getJSONObject("settings");
        JSONObject policy = new JSONObject(own.toString()).put("over-share-worth", 0.7).put("me", 41)
                .put("zone", 3).put("skus", List.of("other")).put("balancers", 9);
        Deployment merged = SettingsReader.overlay(own, policy, 7);
        Deployment unchanged = SettingsReader.overlay(own, own, 7);
        assertEquals(unchanged.kinds(), merged.kinds());
        assertEquals(unchanged.settings().me(), merged.settings().me());
        assertEquals(unchanged.settings().zone(), merged.settings().zone());
        assertEquals(9, merged.settings().balancers());
        assertEquals(7, merged.settings().zeroNs());
    }
}
