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
public final class ChecksummedFile {
    private static final int MAGIC_LENGTH = 8, HEADER_LENGTH = MAGIC_LENGTH + Long.BYTES + 32;
    /** A snapshot of all that a history may hold, with room for the figures. */
    private static final long MAX_BYTES = 256L << 20;

    private ChecksummedFile() {}

    /** A file that cannot be used, and why, in the operator's words. */
    public static final class InvalidFileException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidFileException(Path file, String reason) {
            super(file + " " + reason);
        }
    }

    /** The payload of the file. {@code name}: eight characters, the last of them the form. */
    public static byte[] read(Path file, String magic) throws IOException {
        long size = Files.size(file);
        if (size > MAX_BYTES) {
            throw new InvalidFileException(file, "has " + size + " bytes, over " + MAX_BYTES);
        }
        byte[] bytes = Files.readAllBytes(file);
        String foundMagic = new String(bytes, 0, Math.min(MAGIC_LENGTH, bytes.length), StandardCharsets.ISO_8859_1);
        if (!foundMagic.equals(magic)) {
            boolean otherVersion = foundMagic.length() == MAGIC_LENGTH && foundMagic.startsWith(magic.substring(0, MAGIC_LENGTH - 1));
            throw new InvalidFileException(file, otherVersion ? "is of form " + foundMagic.charAt(MAGIC_LENGTH - 1) + ", this program reads "
                    + magic.charAt(MAGIC_LENGTH - 1) : "is no " + magic.substring(0, MAGIC_LENGTH - 1) + " file");
        }
        if (bytes.length < HEADER_LENGTH) {
            throw new InvalidFileException(file, "is cut short within its head");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes, MAGIC_LENGTH, HEADER_LENGTH - MAGIC_LENGTH);
        long length = header.getLong();
        byte[] checksum = new byte[32];
        header.get(checksum);
        if (length != bytes.length - HEADER_LENGTH) {
            throw new InvalidFileException(file, "is torn: " + (bytes.length - HEADER_LENGTH) + " bytes of " + length);
        }
        byte[] payload = Arrays.copyOfRange(bytes, HEADER_LENGTH, bytes.length);
        if (!Arrays.equals(checksum, digest(payload))) {
            throw new InvalidFileException(file, "is torn: its checksum fails");
        }
        return payload;
    }

    /** Puts the payload in the file's place, whole or not at all. */
    public static void write(Path file, String magic, byte[] payload) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer header = ByteBuffer.allocate(HEADER_LENGTH).put(magic.getBytes(StandardCharsets.ISO_8859_1))
                    .putLong(payload.length).put(digest(payload)).flip();
            for (ByteBuffer buffer : new ByteBuffer[] {header, ByteBuffer.wrap(payload)}) {
                while (buffer.hasRemaining()) {
                    channel.write(buffer);
                }
            }
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private static byte[] digest(byte[] payload) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(payload);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
