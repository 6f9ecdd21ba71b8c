import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Benchmarks the start of {@code serve}: time from exec until the management endpoint {@code /api/ready} first succeeds, and
 * the CPU time and resident memory at that point. Runs two commands alternately and prints the ratios of the pairs. Linux
 * only, as it reads {@code /proc}.
 *
 * <pre>java bench/StartToReady.java 15 'java … serve' 'java … serve'</pre>
 */
public final class StartToReady {
    /** Figures of one start. */
    private record Measurement(double readyMs, double cpuMs, double residentMb) {
        double[] values() {
            return new double[] {readyMs, cpuMs, residentMb};
        }
    }

    /** Runs the given number of pairs of the two commands, after one warm-up pair. */
    public static void main(String[] args) throws Exception {
        int pairs = Integer.parseInt(args[0]);
        Path directory = Files.createTempDirectory("start");
        String sample = Files.readString(Path.of("pooler/src/test/resources/config.json"));
        List<double[]> valuesA = new ArrayList<>();
        List<double[]> valuesB = new ArrayList<>();
        for (int i = -1; i < pairs; i++) {
            double[] first = measureStart(args[1], directory, sample).values();
            double[] second = measureStart(args[2], directory, sample).values();
            if (i >= 0) { // the first pair only warms the file cache
                valuesA.add(first);
                valuesB.add(second);
            }
        }
        String[] names = {"ready ms", "cpu ms", "resident MB"};
        for (int column = 0; column < names.length; column++) {
            int index = column;
            double[] ratios = new double[pairs];
            Arrays.setAll(ratios, i -> valuesB.get(i)[index] / valuesA.get(i)[index]);
            System.out.printf("%-12s A %.1f  B %.1f  B/A median %.3f (quartiles %.3f to %.3f)%n", names[column],
                    median(valuesA, column), median(valuesB, column), quantile(ratios, 0.5), quantile(ratios, 0.25),
                    quantile(ratios, 0.75));
        }
    }

    private static double median(List<double[]> runs, int index) {
        return quantile(runs.stream().mapToDouble(r -> r[index]).toArray(), 0.5);
    }

    private static double quantile(double[] values, double fraction) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.round(fraction * (sorted.length - 1))];
    }

    private static Measurement measureStart(String command, Path directory, String sample) throws Exception {
        int managementPort = freePort();
        Path file = directory.resolve("config.json");
        Files.writeString(file, sample.replace("127.0.0.1:8500", "127.0.0.1:" + freePort())
                .replace("127.0.0.1:5433", "127.0.0.1:" + freePort()));
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "exec " + command);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_MANAGEMENT", "127.0.0.1:" + managementPort);
        builder.environment().put("TMPDIR", Files.createTempDirectory(directory, "run").toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        long startNs = System.nanoTime();
        Process process = builder.start();
        try {
            while (!ready(managementPort)) {
                Thread.sleep(1);
            }
            double readyMs = (System.nanoTime() - startNs) / 1e6;
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            String[] stat = Files.readString(proc.resolve("stat")).replaceAll("^.*\\) ", "").split(" ");
            double cpuMs = (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) * 10.0; // from clock ticks of 10 ms
            double residentMb = Files.readAllLines(proc.resolve("status")).stream().filter(l -> l.startsWith("VmRSS"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", ""))).sum() / 1024;
            return new Measurement(readyMs, cpuMs, residentMb);
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static boolean ready(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write("GET /api/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).startsWith("HTTP/1.1 2");
        } catch (IOException e) {
            return false;
        }
    }
}
