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
 * The operators' orders in one file, written whole beside it and put in its place, so that no reader finds half of it.
 * A lock on a file of its own keeps two processes of this pooler from changing it at once.
 */
public final class StateFile implements OperatorState {
    /** Orders for a fleet of twenty take 1 KiB; this is room for thousands. */
    private static final long MAX_BYTES = 1 << 20;

    /** Null where there is no folder to keep it in: then the orders last as long as the process. */
    private final Path file;
    private Orders orders;

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

    /** Writes a file that outlives the machine's end: what is not synced may be empty behind the move. */
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
                throw new IOException("over " + MAX_BYTES + " bytes");
            }
            return Orders.decode(Files.readString(file));
        } catch (IOException | JSONException e) {
            Log.warn("the operators' orders cannot be read, none are in force: " + e.getMessage());
            return Orders.NONE;
        }
    }
}
