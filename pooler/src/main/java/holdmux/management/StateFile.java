package holdmux.management;

import holdmux.core.Log;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.function.UnaryOperator;
import org.json.JSONException;

/**
 * Stores the operators' orders in a file, which is replaced atomically so that readers never see a partial one. A separate lock
 * file keeps two processes of this pooler from changing it at the same time.
 */
public final class StateFile implements OperatorState {
    /** Orders for twenty servers take 1 KiB; this is enough for thousands. */
    private static final long MAX_BYTES = 1 << 20;

    /** Null if there is no folder for it: the orders are then lost when the process ends. */
    private final Path file;
    private Orders orders;

    /** Reads the orders from a folder; {@code folder} may be null. */
    public StateFile(Path folder) {
        file = folder == null ? null : folder.resolve("holdmux-orders.json");
        orders = read();
    }

    @Override
    public synchronized Orders orders() {
        return orders;
    }

    @Override
    public synchronized Orders refresh() {
        orders = file == null ? orders : read();
        return orders;
    }

    @Override
    public synchronized Orders change(UnaryOperator<Orders> update) throws IOException {
        if (file == null) {
            orders = update.apply(orders);
            return orders;
        }
        try (FileChannel lock = FileChannel.open(file.resolveSibling(file.getFileName() + ".lock"),
                StandardOpenOption.CREATE, StandardOpenOption.WRITE); FileLock held = lock.lock()) {
            Orders next = update.apply(read());
            Path temporary = file.resolveSibling(file.getFileName() + ".new");
            write(temporary, next.encode());
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
            orders = next;
            return next;
        }
    }

    /** Writes a file and syncs it to disk: without the sync it could be empty after the rename and a crash of the machine. */
    private static void write(Path to, String text) throws IOException {
        try (FileChannel out = FileChannel.open(to, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
    }

    private Orders read() {
        if (file == null || !Files.exists(file)) {
            return Orders.NONE;
        }
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException("file larger than " + MAX_BYTES + " bytes");
            }
            return Orders.decode(Files.readString(file));
        } catch (IOException | JSONException e) {
            Log.warn("the operators' orders cannot be read, none are in force: " + e.getMessage());
            return Orders.NONE;
        }
    }
}
