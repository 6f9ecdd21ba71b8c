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

/** A pooler running in its own process, with a folder that is kept across restarts. */
public final class PoolerProcess {
    /** Time-out of a start, generous because ten processes may start at once. */
    private static final long START_TIMEOUT_MS = 60_000;

    /** The pooler's name in its configuration. */
    public final String name;
    /** The port of its PostgreSQL front. */
    public final int port;
    private final Path folder;
    private final List<String> flags;
    /** Prefix of the command, such as a shell that sets limits; usually empty. */
    private List<String> launcher = List.of();
    private List<String> jvmFlags = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx160m", "-XX:-UsePerfData");
    private final Map<String, String> environment = new HashMap<>();
    private Process process;

    /** {@code flags}: options of {@code serve}, to which {@link #start} adds the store's folder. */
    public PoolerProcess(String name, int port, Path folder, String config, List<String> flags) throws IOException {
        this.name = name;
        this.port = port;
        this.folder = Files.createDirectories(folder);
        this.flags = flags;
        configure(config);
    }

    /** Replaces the configuration file, for the next start or SIGHUP. */
    public void configure(String config) throws IOException {
        // positions count from zero-ns, shared by the fleet; the seed differs, as it orders the calls to the store's members
        JSONObject ownConfig = new JSONObject(config).put("name", name).put("seed", Integer.toHexString(name.hashCode()));
        configureRaw(ownConfig.toString());
    }

    /** Replaces the configuration file by this text, which may be invalid. */
    public void configureRaw(String text) throws IOException {
        Files.writeString(folder.resolve("config.json"), text);
    }

    /** Sets a ulimit from the next start on, for example {@code -f 200} to limit files to 200 blocks, as if the disk were full. */
    public void setUlimit(String limit) {
        launcher = List.of("sh", "-c", "ulimit " + limit + "; exec \"$@\"", "sh");
    }

    /** Sets an environment variable from the next start on. */
    public void setEnvironment(String variable, String value) {
        environment.put(variable, value);
    }

    /** The contents of its log. */
    public String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    /** Replaces the flags of the virtual machine from the next start on. */
    public void setJvmFlags(List<String> flags) {
        jvmFlags = List.copyOf(flags);
    }

    /** The id of the process last started. */
    public long pid() {
        return process.pid();
    }

    /** Starts the process without waiting until it accepts clients. Its log is appended to. */
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

    /** Whether the process is running. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Kills the process by SIGKILL and waits for its end. */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }

    /** Sends a signal by name, for example STOP or CONT. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until the pooler accepts clients. */
    public void awaitListening() throws InterruptedException, IOException {
        long deadlineNs = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (System.nanoTime() < deadlineNs && isAlive()) {
            try (PgClient client = connect()) {
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IOException(name + " does not accept clients; its log: " + Files.readString(folder.resolve("log")));
    }

    /** Opens a connection with a time-out of one second for the connect and each read. */
    public PgClient connect() throws IOException {
        return new PgClient(port, 1_000);
    }
}
