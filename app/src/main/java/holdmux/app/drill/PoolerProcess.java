package holdmux.app.drill;

import holdmux.app.Main;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** One pooler of a drill: the program in a process of its own, with a folder that outlives it. */
final class PoolerProcess {
    /** Any start, on a machine that starts ten at once. */
    private static final long START_MS = 60_000;

    final String name;
    final int port;
    private final Path folder;
    private final List<String> flags;
    private Process process;

    /** {@code flags}: those of {@code serve}; the folder and the configuration are added here. */
    PoolerProcess(String name, int port, Path folder, String config, List<String> flags) throws IOException {
        this.name = name;
        this.port = port;
        this.folder = Files.createDirectories(folder);
        this.flags = flags;
        // positions of one fleet, seeds of each: the order in which it asks the store follows the seed
        JSONObject own = new JSONObject(config).put("name", name).put("seed", Integer.toHexString(name.hashCode()));
        Files.writeString(folder.resolve("config.json"), own.toString());
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx160m", "-XX:-UsePerfData", "-cp",
                System.getProperty("java.class.path"), Main.class.getName(), "serve"));
        command.addAll(flags);
        if (!flags.isEmpty()) {
            command.addAll(List.of("--store-dir", folder.resolve("store").toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
        builder.environment().put("BALANCER_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
    }

    File log() {
        return folder.resolve("log").toFile();
    }

    Path folder() {
        return folder;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** kill -9. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }

    /** SIGTERM, and the end of its drain. */
    void end() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(20, TimeUnit.SECONDS)) {
            kill();
        }
    }

    /** Sends a signal by its name, as STOP or CONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until it takes clients; null once it does, else what its log says. */
    String awaitListening() throws InterruptedException, IOException {
        long by = System.nanoTime() + START_MS * 1_000_000;
        while (System.nanoTime() < by && isAlive()) {
            try (Talk talk = new Talk(port, 2_000)) {
                return null;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        return name + " does not listen: " + Files.readString(log().toPath());
    }

    /** A client's connection, simple queries alone. */
    static final class Talk implements AutoCloseable {
        private final Socket socket = new Socket();
        private final DataInputStream in;
        private final DataOutputStream out;

        Talk(int port, int timeOutMs) throws IOException {
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", port), timeOutMs);
                socket.setSoTimeout(timeOutMs);
                socket.setTcpNoDelay(true);
                in = new DataInputStream(socket.getInputStream());
                out = new DataOutputStream(socket.getOutputStream());
                byte[] names = "user\0drill\0database\0crm\0\0".getBytes(StandardCharsets.US_ASCII);
                out.writeInt(8 + names.length);
                out.writeInt(196_608); // protocol 3.0
                out.write(names);
                answer(new HashMap<>());
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        /** Asks; the SQLSTATE of an error or "", and the rows of two columns into {@code rows}. */
        String ask(String sql, Map<String, String> rows) throws IOException {
            byte[] text = sql.getBytes(StandardCharsets.UTF_8);
            byte[] message = new byte[text.length + 6];
            message[0] = 'Q';
            ByteBuffer.wrap(message, 1, 4).putInt(text.length + 5);
            System.arraycopy(text, 0, message, 5, text.length);
            out.write(message);
            return answer(rows);
        }

        private String answer(Map<String, String> rows) throws IOException {
            String sqlState = "";
            while (true) {
                int type = in.readUnsignedByte();
                byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
                if (type == 'E') {
                    String fields = new String(body, StandardCharsets.UTF_8);
                    int at = fields.indexOf("\0C");
                    sqlState = fields.substring(at + 2, fields.indexOf('\0', at + 2));
                } else if (type == 'D') {
                    row(body, rows);
                } else if (type == 'Z') {
                    return sqlState;
                }
            }
        }

        private static void row(byte[] body, Map<String, String> rows) {
            ByteBuffer row = ByteBuffer.wrap(body);
            if (row.getShort() == 2) {
                rows.put(text(row), text(row));
            }
        }

        private static String text(ByteBuffer row) {
            byte[] text = new byte[row.getInt()];
            row.get(text);
            return new String(text, StandardCharsets.UTF_8);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
