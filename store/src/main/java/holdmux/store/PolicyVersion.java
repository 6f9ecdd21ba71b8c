package holdmux.store;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * One complete policy as proposed by an operator, in text form (see {@link PolicyText}).
 *
 * @param number  the version number, starting at 1; one more than the version it is based on
 * @param basedOn the newest version when this one was made, 0 if there was none
 * @param text    JSON, at most {@link #MAX_BYTES} bytes of UTF-8; empty once {@linkplain #pruned pruned}
 * @param sha256  SHA-256 of {@code text} in UTF-8 as 64 hex digits, verified by every member before it accepts the version
 * @param by      who proposed it, for the history; at most 200 characters
 */
public record PolicyVersion(long number, long basedOn, String text, String sha256, String by) {
    /** Same as the limit of 1 MiB on a pooler's configuration file, most of which a policy replaces. */
    public static final int MAX_BYTES = 1 << 20;

    public PolicyVersion {
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(sha256, "sha256");
        Objects.requireNonNull(by, "by");
    }

    /** Creates a version and computes its checksum. */
    public static PolicyVersion of(long number, long basedOn, String text, String by) {
        return new PolicyVersion(number, basedOn, text, checksum(text), by);
    }

    /** SHA-256 of the text in UTF-8, in lower-case hex. */
    public static String checksum(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the platform does not provide SHA-256", e);
        }
    }

    /** Whether the checksum matches the text; false for a version corrupted in transit or storage. */
    public boolean isIntact() {
        return checksum(text).equals(sha256);
    }

    /** This version without its text, which makes rollback to it impossible; number, checksum and proposer remain. */
    PolicyVersion pruned() {
        return new PolicyVersion(number, basedOn, "", sha256, by);
    }

    /** Whether the text has been removed. */
    public boolean isPruned() {
        return text.isEmpty();
    }

    /** The first twelve digits of the checksum, shown beside the version number in logs and {@code SHOW STATS}. */
    public String shortChecksum() {
        return sha256.substring(0, Math.min(12, sha256.length()));
    }
}
