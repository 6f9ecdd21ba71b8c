package holdmux.app.drill;

import holdmux.app.Main;
import holdmux.app.demo.PgClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;

/** One pooler of a drill: the program in a process of its own, with a folder that outlives it. */
public final class PoolerProcess {
    /** Any start, on a machine that starts ten at once. */
    private static final long START_TIMEOUT_MS = 60_000;

    public final String name;
    public final int port;
    private final Path folder;
    private final List<String> flags;
    /** What the program is started by, as a shell that sets limits; mostly nothing. */
    private List<String> launcher = List.of();
    private List<String> jvmFlags = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx160m", "-XX:-UsePerfData");
    private final Map<String, String> environment = new HashMap<>();
    private Process process;

    /** {@code flags}: those of {@code serve}; the folder and the configuration are added here. */
    public PoolerProcess(String name, int port, Path folder, String config, List<String> flags) throws IOException {
        this.name = name;
        this.port = port;
        this.folder = Files.createDirectories(folder);
        this.flags = flags;
        writeConfig(config);
    }

    /** Writes the configuration file anew, for the next start or SIGHUP. */
    public void writeConfig(String config) throws IOException {
        // positions of one fleet, seeds of each: the order in which it asks the store follows the seed
        JSONObject ownConfig = new JSONObject(config).put("name", name).put("seed", Integer.toHexString(name.hashCode()));
        writeRawConfig(ownConfig.toString());
    }

    /** Writes this text as the configuration file, whatever it is. */
    public void writeRawConfig(String text) throws IOException {
        Files.writeString(folder.resolve("config.json"), text);
    }

    /** From its next start on one of the shell's limits holds: {@code -f 200} for files of 200 KiB, a disk that fills up. */
    public void setUlimit(String limit) {
        launcher = List.of("sh", "-c", "ulimit " + limit + "; exec \"$@\"", "sh");
    }

    /** From its next start on the process has this variable in its environment. */
    public void setEnvironment(String variable, String value) {
        environment.put(variable, value);
    }

    /** What it has written to its log. */
    public String readLog() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    /** From its next start on the virtual machine has these flags. */
    public void setJvmFlags(List<String> flags) {
        jvmFlags = List.copyOf(flags);
    }

    public long pid() {
        return process.pid();
    }

    public void start() throws IOException {
        List<String> command = new ArrayList<>(launcher);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmFlags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName(), "serve"));
        command.addAll(flags);
        if (!flags.isEmpty()) {
            command.addAll(List.of("--store-dir", folder.resolve("store").toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        builder.environment().put("BALANCER_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().putAll(environment);
        process = builder.start();
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** kill -9. */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }

    /** Sends a signal by its name, as STOP or CONT. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until it takes clients. */
    public void awaitListening() throws InterruptedException, IOException {
        long deadlineNs = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (System.nanoTime() < deadlineNs && isAlive()) {
            try (PgClient client = connect()) {
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IOException(name + " does not listen: " + Files.readString(folder.resolve("log")));
    }

    /** A new connection, on which no answer takes longer than a second. */
    public PgClient connect() throws IOException {
        return new PgClient(port, 1_000);
    }
}
