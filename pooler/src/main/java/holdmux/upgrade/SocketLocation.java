package holdmux.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * The address of a Unix socket in a directory. Where the path is longer than an address can be, the address leads through an open
 * descriptor of the directory, {@code /proc/self/fd/N}, which the system resolves like the path itself.
 */
final class SocketLocation implements Closeable {
    /** The room for a path in an address, less the zero byte at its end. */
    static final int MAX_PATH_BYTES = 107;
    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");

    private final UnixDomainSocketAddress address;
    /** Keeps the directory's descriptor open; null if the path is short. */
    private final DirectoryStream<Path> openDirectory;

    /** Throws {@link IOException} if the path is too long and its directory cannot be opened. */
    SocketLocation(Path path) throws IOException {
        if (path.toString().getBytes(StandardCharsets.UTF_8).length <= MAX_PATH_BYTES) {
            openDirectory = null;
            address = UnixDomainSocketAddress.of(path);
            return;
        }
        Path directory = path.getParent();
        openDirectory = Files.newDirectoryStream(directory);
        try {
            address = UnixDomainSocketAddress.of(descriptorOf(directory.toRealPath()).resolve(path.getFileName()));
        } catch (IOException e) {
            openDirectory.close();
            throw e;
        }
    }

    private static Path descriptorOf(Path realDirectory) throws IOException {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(DESCRIPTORS)) {
            for (Path descriptor : descriptors) {
                if (leadsTo(descriptor, realDirectory)) {
                    return descriptor;
                }
            }
        }
        throw new IOException("no descriptor of " + realDirectory + " is found in " + DESCRIPTORS);
    }

    private static boolean leadsTo(Path descriptor, Path realDirectory) throws IOException {
        try {
            return Files.readSymbolicLink(descriptor).equals(realDirectory);
        } catch (NoSuchFileException e) {
            return false; // closed meanwhile
        }
    }

    /** The address to bind or to connect to. */
    UnixDomainSocketAddress address() {
        return address;
    }

    @Override
    public void close() throws IOException {
        if (openDirectory != null) {
            openDirectory.close();
        }
    }
}
