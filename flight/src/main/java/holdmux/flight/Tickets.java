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
    enum Fault {
        /** Not one of this process's own: made up, spoilt, or from before a restart. */
        FORGED,
        /** Its time is over. */
        ENDED,
        /** It was redeemed before; the request that it stood for has had, or will have, its answer. */
        USED
    }

    /** A ticket that is not taken. */
    static final class RefusedException extends Exception {
        private static final long serialVersionUID = 1L;
        final Fault fault;

        private RefusedException(Fault fault) {
            super("the ticket is " + fault.name().toLowerCase(java.util.Locale.ROOT), null, false, false);
            this.fault = fault;
        }
    }

    /** Layout: version, number, end, the statement's bytes, the seal over all of them. */
    private static final byte VERSION = 1;
    private static final int HEAD = 1 + 2 * Long.BYTES, SEAL = 32;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac keyed;
    private final int most;
    private final long lifeNs;
    /** Numbers of the tickets that are out with when they end; all live equally long, so the oldest end first. */
    private final Map<Long, Long> out = new LinkedHashMap<>();
    private long lastNumber;

    /** {@code most}: tickets out at once; {@code lifeNs}: how long each can be redeemed. */
    Tickets(byte[] key, int most, long lifeNs) {
        try {
            keyed = Mac.getInstance(ALGORITHM);
            keyed.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java has " + ALGORITHM, e);
        }
        this.most = most;
        this.lifeNs = lifeNs;
    }

    /** A ticket for this statement; null at the cap. */
    synchronized byte[] issue(byte[] statement, long now) {
        dropEnded(now);
        if (out.size() >= most) {
            return null;
        }
        long number = ++lastNumber;
        out.put(number, now + lifeNs);
        ByteBuffer ticket = ByteBuffer.allocate(HEAD + statement.length + SEAL).put(VERSION).putLong(number)
                .putLong(now + lifeNs).put(statement);
        return ticket.put(seal(ticket.array(), HEAD + statement.length)).array();
    }

    /** The statement of a ticket, which is used up with that. */
    byte[] redeem(byte[] ticket, long now) throws RefusedException {
        int sealed = ticket.length - SEAL;
        if (sealed < HEAD || ticket[0] != VERSION
                || !MessageDigest.isEqual(seal(ticket, sealed), Arrays.copyOfRange(ticket, sealed, ticket.length))) {
            throw new RefusedException(Fault.FORGED);
        }
        ByteBuffer head = ByteBuffer.wrap(ticket, 1, HEAD);
        long number = head.getLong();
        long endsAt = head.getLong();
        if (endsAt - now <= 0) {
            throw new RefusedException(Fault.ENDED);
        }
        synchronized (this) {
            if (out.remove(number) == null) {
                throw new RefusedException(Fault.USED);
            }
        }
        return Arrays.copyOfRange(ticket, HEAD, sealed);
    }

    /** How many are out. */
    synchronized int out(long now) {
        dropEnded(now);
        return out.size();
    }

    private void dropEnded(long now) {
        for (Iterator<Long> ends = out.values().iterator(); ends.hasNext() && ends.next() - now <= 0;) {
            ends.remove();
        }
    }

    private byte[] seal(byte[] bytes, int length) {
        try {
            Mac mac = (Mac) keyed.clone(); // the key's own blocks are hashed once
            mac.update(bytes, 0, length);
            return mac.doFinal();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("Java's own " + ALGORITHM + " can be copied", e);
        }
    }
}
