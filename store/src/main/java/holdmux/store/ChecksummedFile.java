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
 * A file that detects truncation and corruption. Layout: eight bytes of magic, the last of them the format version; the
 * payload length (8 bytes, big endian); the payload's SHA-256 (32 bytes); the payload. Writes go to a temporary file that
 * is synced to disk and then renamed.
 */
public final class ChecksummedFile {
    private static final int MAGIC_LENGTH = 8, HEADER_LENGTH = MAGIC_LENGTH + Long.BYTES + 32;
    /** Large enough for a snapshot of a history at all its limits. */
    private static final long MAX_BYTES = 256L << 20;

    private ChecksummedFile() {}

    /** Thrown for a file that cannot be used; the message is worded for the operator. */
    public static final class InvalidFileException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidFileException(Path file, String reason) {
            super(file + " " + reason);
        }
    }

    /** Reads and verifies the payload; {@code magic} has eight characters, the last of them the format version. */
    public static byte[] read(Path file, String magic) throws IOException {
        long size = Files.size(file);
        if (size > MAX_BYTES) {
            throw new InvalidFileException(file, "has " + size + " bytes, over " + MAX_BYTES);
        }
        byte[] bytes = Files.readAllBytes(file);
        String foundMagic = new String(bytes, 0, Math.min(MAGIC_LENGTH, bytes.length), StandardCharsets.ISO_8859_1);
        if (!foundMagic.equals(magic)) {
            boolean otherVersion = foundMagic.length() == MAGIC_LENGTH && foundMagic.startsWith(magic.substring(0, MAGIC_LENGTH - 1));
            throw new InvalidFileException(file, otherVersion ? "is of form " + foundMagic.charAt(MAGIC_LENGTH - 1)
                    + ", this program reads " + magic.charAt(MAGIC_LENGTH - 1) : "is no " + magic.substring(0, MAGIC_LENGTH - 1) + " file");
        }
        if (bytes.length < HEADER_LENGTH) {
            throw new InvalidFileException(file, "is truncated within its header");
        }
        ByteBuffer header = ByteBuffer.wrap(bytes, MAGIC_LENGTH, HEADER_LENGTH - MAGIC_LENGTH);
        long length = header.getLong();
        byte[] checksum = new byte[32];
        header.get(checksum);
        if (length != bytes.length - HEADER_LENGTH) {
            throw new InvalidFileException(file, "has " + (bytes.length - HEADER_LENGTH) + " bytes of payload, its header says " + length);
        }
        byte[] payload = Arrays.copyOfRange(bytes, HEADER_LENGTH, bytes.length);
        if (!Arrays.equals(checksum, digest(payload))) {
            throw new InvalidFileException(file, "is corrupt: the checksum does not match");
        }
        return payload;
    }

    /** Replaces the file's content atomically. */
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
            throw new IllegalStateException("the platform does not provide SHA-256", e);
        }
    }
}
