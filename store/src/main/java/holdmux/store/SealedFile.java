package holdmux.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * A file that is whole or refused: eight bytes that name what it is and the form it is in, the payload's length (8
 * bytes, big endian), its SHA-256 (32 bytes), and the payload. Written beside its place, forced to disk and moved there.
 */
public final class SealedFile {
    private static final int NAME = 8, HEAD = NAME + Long.BYTES + 32;
    /** A snapshot of all that a history may hold, with room for the figures. */
    private static final long MOST_BYTES = 256L << 20;

    private SealedFile() {}

    /** A file that cannot be used, and why, in the operator's words. */
    public static final class UnfitException extends IOException {
        private static final long serialVersionUID = 1L;

        UnfitException(Path file, String why) {
            super(file + " " + why);
        }
    }

    /** The payload of the file. {@code name}: eight characters, the last of them the form. */
    public static byte[] read(Path file, String name) throws IOException {
        long size = Files.size(file);
        if (size > MOST_BYTES) {
            throw new UnfitException(file, "has " + size + " bytes, over " + MOST_BYTES);
        }
        byte[] all = Files.readAllBytes(file);
        String told = new String(all, 0, Math.min(NAME, all.length), StandardCharsets.ISO_8859_1);
        if (!told.equals(name)) {
            boolean form = told.length() == NAME && told.startsWith(name.substring(0, NAME - 1));
            throw new UnfitException(file, form ? "is of form " + told.charAt(NAME - 1) + ", this program reads "
                    + name.charAt(NAME - 1) : "is no " + name.substring(0, NAME - 1) + " file");
        }
        if (all.length < HEAD) {
            throw new UnfitException(file, "is cut short within its head");
        }
        ByteBuffer head = ByteBuffer.wrap(all, NAME, HEAD - NAME);
        long length = head.getLong();
        byte[] sum = new byte[32];
        head.get(sum);
        if (length != all.length - HEAD) {
            throw new UnfitException(file, "is torn: " + (all.length - HEAD) + " bytes of " + length);
        }
        byte[] payload = Arrays.copyOfRange(all, HEAD, all.length);
        if (!Arrays.equals(sum, digest(payload))) {
            throw new UnfitException(file, "is torn: its checksum fails");
        }
        return payload;
    }

    /** Puts the payload in the file's place, whole or not at all. */
    public static void write(Path file, String name, byte[] payload) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer head = ByteBuffer.allocate(HEAD).put(name.getBytes(StandardCharsets.ISO_8859_1))
                    .putLong(payload.length).put(digest(payload)).flip();
            for (ByteBuffer part : new ByteBuffer[] {head, ByteBuffer.wrap(payload)}) {
                while (part.hasRemaining()) {
                    channel.write(part);
                }
            }
            channel.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private static byte[] digest(byte[] payload) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(payload);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
