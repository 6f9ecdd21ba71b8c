package holdmux.flight;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Tickets for statements: each carries its statement, sealed with this process's key, and stands for one request. What
 * is kept here is only the numbers of those still out, so that redeeming is one removal: of any number of callers at one
 * moment a single one gets the statement. Knows no clock and does no I/O; times are nanoseconds passed in.
 */
final class Tickets {
    /** Why a ticket is not taken; none of them reaches a server. */
    enum RejectReason {
        /** Not one of this process's own: made up, spoilt, or from before a restart. */
        FORGED,
        /** Its time is over. */
        ENDED,
        /** It was redeemed before; the request that it stood for has had, or will have, its answer. */
        USED
    }

    /** A ticket that is not taken. */
    static final class InvalidTicketException extends Exception {
        private static final long serialVersionUID = 1L;
        final RejectReason reason;

        private InvalidTicketException(RejectReason reason) {
            super("the ticket is " + reason.name().toLowerCase(java.util.Locale.ROOT), null, false, false);
            this.reason = reason;
        }
    }

    /** Layout: version, number, end, the statement's bytes, the seal over all of them. */
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 1 + 2 * Long.BYTES, MAC_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac macTemplate;
    private final int maxOutstanding;
    private final long lifetimeNs;
    /** Numbers of the tickets that are out with when they end; all live equally long, so the oldest end first. */
    private final Map<Long, Long> outstanding = new LinkedHashMap<>();
    private long lastNumber;

    /** {@code most}: tickets out at once; {@code lifeNs}: how long each can be redeemed. */
    Tickets(byte[] key, int maxOutstanding, long lifetimeNs) {
        try {
            macTemplate = Mac.getInstance(ALGORITHM);
            macTemplate.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java has " + ALGORITHM, e);
        }
        this.maxOutstanding = maxOutstanding;
        this.lifetimeNs = lifetimeNs;
    }

    /** A ticket for this statement; null at the cap. */
    synchronized byte[] issue(byte[] statement, long now) {
        removeExpired(now);
        if (outstanding.size() >= maxOutstanding) {
            return null;
        }
        long number = ++lastNumber;
        outstanding.put(number, now + lifetimeNs);
        ByteBuffer ticket = ByteBuffer.allocate(HEADER_BYTES + statement.length + MAC_BYTES).put(VERSION).putLong(number)
                .putLong(now + lifetimeNs).put(statement);
        return ticket.put(computeMac(ticket.array(), HEADER_BYTES + statement.length)).array();
    }

    /** The statement of a ticket, which is used up with that. */
    byte[] redeem(byte[] ticket, long now) throws InvalidTicketException {
        int macOffset = ticket.length - MAC_BYTES;
        if (macOffset < HEADER_BYTES || ticket[0] != VERSION
                || !MessageDigest.isEqual(computeMac(ticket, macOffset), Arrays.copyOfRange(ticket, macOffset, ticket.length))) {
            throw new InvalidTicketException(RejectReason.FORGED);
        }
        ByteBuffer header = ByteBuffer.wrap(ticket, 1, HEADER_BYTES);
        long number = header.getLong();
        long expiresAt = header.getLong();
        if (expiresAt - now <= 0) {
            throw new InvalidTicketException(RejectReason.ENDED);
        }
        synchronized (this) {
            if (outstanding.remove(number) == null) {
                throw new InvalidTicketException(RejectReason.USED);
            }
        }
        return Arrays.copyOfRange(ticket, HEADER_BYTES, macOffset);
    }

    /** How many are out. */
    synchronized int outstanding(long now) {
        removeExpired(now);
        return outstanding.size();
    }

    private void removeExpired(long now) {
        for (Iterator<Long> expirations = outstanding.values().iterator(); expirations.hasNext() && expirations.next() - now <= 0;) {
            expirations.remove();
        }
    }

    private byte[] computeMac(byte[] bytes, int length) {
        try {
            Mac mac = (Mac) macTemplate.clone(); // the key's own blocks are hashed once
            mac.update(bytes, 0, length);
            return mac.doFinal();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("Java's own " + ALGORITHM + " can be copied", e);
        }
    }
}
