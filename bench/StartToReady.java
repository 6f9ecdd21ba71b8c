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
 * What a start of {@code serve} costs: the time from exec to the operators' first yes, the CPU of it and the resident
 * memory then, of two commands in turn, as ratios pair by pair. Linux only: it reads /proc.
 *
 * <pre>java bench/StartToReady.java 15 'java … serve' 'java … serve'</pre>
 */
public final class StartToReady {
    private record Start(double readyMs, double cpuMs, double residentMb) {
        double[] figures() {
            return new double[] {readyMs, cpuMs, residentMb};
        }
    }

    public static void main(String[] args) throws Exception {
        int pairs = Integer.parseInt(args[0]);
        Path folder = Files.createTempDirectory("start");
        String sample = Files.readString(Path.of("pooler/src/test/resources/config.json"));
        List<double[]> a = new ArrayList<>();
        List<double[]> b = new ArrayList<>();
        for (int i = -1; i < pairs; i++) {
            double[] first = start(args[1], folder, sample).figures();
            double[] second = start(args[2], folder, sample).figures();
            if (i >= 0) { // the first pair warms the file cache
                a.add(first);
                b.add(second);
            }
        }
        String[] names = {"ready ms", "cpu ms", "resident MB"};
        for (int f = 0; f < names.length; f++) {
            int figure = f;
            double[] ratios = new double[pairs];
            Arrays.setAll(ratios, i -> b.get(i)[figure] / a.get(i)[figure]);
            System.out.printf("%-12s A %.1f  B %.1f  B/A median %.3f (quartiles %.3f to %.3f)%n", names[f],
                    median(a, f), median(b, f), quantile(ratios, 0.5), quantile(ratios, 0.25), quantile(ratios, 0.75));
        }
    }

    private static double median(List<double[]> runs, int figure) {
        return quantile(runs.stream().mapToDouble(r -> r[figure]).toArray(), 0.5);
    }

    private static double quantile(double[] values, double part) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.round(part * (sorted.length - 1))];
    }

    private static Start start(String command, Path folder, String sample) throws Exception {
        int management = freePort();
        Path file = folder.resolve("config.json");
        Files.writeString(file, sample.replace("127.0.0.1:8500", "127.0.0.1:" + freePort())
                .replace("127.0.0.1:5433", "127.0.0.1:" + freePort()));
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "exec " + command);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_MANAGEMENT", "127.0.0.1:" + management);
        builder.environment().put("TMPDIR", Files.createTempDirectory(folder, "run").toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        long from = System.nanoTime();
        Process process = builder.start();
        try {
            while (!ready(management)) {
                Thread.sleep(1);
            }
            double readyMs = (System.nanoTime() - from) / 1e6;
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            String[] stat = Files.readString(proc.resolve("stat")).replaceAll("^.*\\) ", "").split(" ");
            double cpuMs = (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) * 10.0; // in ticks of 10 ms
            double mb = Files.readAllLines(proc.resolve("status")).stream().filter(l -> l.startsWith("VmRSS"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", ""))).sum() / 1024;
            return new Start(readyMs, cpuMs, mb);
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
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
