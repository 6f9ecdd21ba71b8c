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
 * Issues and redeems tickets. A ticket contains its statement, authenticated with this process's key, and stands for one
 * request. Only the numbers of outstanding tickets are kept, so redeeming is a single removal: of any number of
 * concurrent callers exactly one gets the statement. Does no I/O and reads no clock; times are passed in as nanoseconds.
 */
final class Tickets {
    /** Why a ticket is rejected; a rejected ticket causes no request to a server. */
    enum RejectReason {
        /** Not issued by this process: fabricated, corrupted, or from before a restart. */
        FORGED,
        /** Its lifetime is over. */
        ENDED,
        /** It was redeemed before; its request has been or will be answered on that call. */
        USED
    }

    /** Thrown when a ticket cannot be redeemed. */
    static final class InvalidTicketException extends Exception {
        private static final long serialVersionUID = 1L;
        final RejectReason reason;

        private InvalidTicketException(RejectReason reason) {
            super("the ticket is " + reason.name().toLowerCase(java.util.Locale.ROOT), null, false, false);
            this.reason = reason;
        }
    }

    /** Layout: version, number, expiry time, the statement's bytes, and a MAC over all of them. */
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 1 + 2 * Long.BYTES, MAC_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac macTemplate;
    private final int maxOutstanding;
    private final long lifetimeNs;
    /** Outstanding ticket numbers with their expiry times. All lifetimes are equal, so insertion order is expiry order. */
    private final Map<Long, Long> outstanding = new LinkedHashMap<>();
    private long lastNumber;

    /** {@code maxOutstanding} limits the unredeemed tickets; {@code lifetimeNs} is how long each can be redeemed. */
    Tickets(byte[] key, int maxOutstanding, long lifetimeNs) {
        try {
            macTemplate = Mac.getInstance(ALGORITHM);
            macTemplate.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the platform does not provide " + ALGORITHM, e);
        }
        this.maxOutstanding = maxOutstanding;
        this.lifetimeNs = lifetimeNs;
    }

    /** Issues a ticket for a statement; null if too many are outstanding. */
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

    /** Returns the statement of a ticket, which cannot be redeemed again. */
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

    /** Number of outstanding tickets. */
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
            Mac mac = (Mac) macTemplate.clone(); // a copy avoids hashing the key for every ticket
            mac.update(bytes, 0, length);
            return mac.doFinal();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("the platform's " + ALGORITHM + " is not cloneable", e);
        }
    }
}
