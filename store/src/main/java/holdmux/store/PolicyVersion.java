package holdmux.store;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * One whole policy as the operators proposed it, as text (see {@link PolicyText}).
 *
 * @param number  the version, 1 for the first; each is one more than the version it was made from
 * @param basedOn the version that the proposer saw as the newest when it was made, 0 for none
 * @param text    JSON, at most {@link #MAX_BYTES} bytes of UTF-8; empty once {@linkplain #pruned pruned}
 * @param sha256  SHA-256 of {@code text} in UTF-8, 64 hex digits: what every member checks before it accepts
 * @param by      who proposed it, for the history; any text of at most 200 characters
 */
public record PolicyVersion(long number, long basedOn, String text, String sha256, String by) {
    /** A pooler's file is read up to 1 MiB; a policy is the larger part of it. */
    public static final int MAX_BYTES = 1 << 20;

    public PolicyVersion {
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(sha256, "sha256");
        Objects.requireNonNull(by, "by");
    }

    /** A version with its checksum computed from the text. */
    public static PolicyVersion of(long number, long basedOn, String text, String by) {
        return new PolicyVersion(number, basedOn, text, checksum(text), by);
    }

    /** SHA-256 of the text in UTF-8, in lower-case hex. */
    public static String checksum(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Whether the checksum is that of the text: false for a version torn or changed on its way. */
    public boolean isIntact() {
        return checksum(text).equals(sha256);
    }

    /** What is left of a version that is too old to be rolled back to: its number, checksum and proposer. */
    PolicyVersion pruned() {
        return new PolicyVersion(number, basedOn, "", sha256, by);
    }

    /** Whether the text is gone. */
    public boolean isPruned() {
        return text.isEmpty();
    }

    /** The first twelve digits of the checksum, as logs and {@code SHOW STATS} name a version beside its number. */
    public String shortChecksum() {
        return sha256.substring(0, Math.min(12, sha256.length()));
    }
}
