package holdmux.app;

import holdmux.app.demo.PgClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The program in a process of its own, as the platform starts it, and what the system tells of it. */
final class PlatformProcess {
    private PlatformProcess() {}

    /** Started by the flags of the platform's deploy file, below a shell that sets the limit on descriptors. */
    static Process start(Path folder, String config, int sockets) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        String deploy = Files.readString(Path.of("..", "deploy", "balancer.toml"));
        String run = deploy.substring(deploy.indexOf("run = \"exec java ") + 17, deploy.indexOf(" -cp "));
        List<String> command = new ArrayList<>(List.of("sh", "-c", "ulimit -n " + sockets + "; exec \"$@\"", "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(List.of(run.split(" ")));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName(), "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return builder.start();
    }

    static void await(int port) throws InterruptedException {
        while (true) {
            try (PgClient client = new PgClient(port, 1_000)) {
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
    }

    static long descriptors(Process process) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return open.count();
        }
    }

    /** The most memory that was resident at once. */
    static long peakMb(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst().orElseThrow() / 1_024;
    }
}
