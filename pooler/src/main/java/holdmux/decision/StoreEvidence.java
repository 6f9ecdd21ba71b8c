package holdmux.decision;

/**
 * What one store has proved of its data and its role, each proof with the time that it is from. A position that was
 * once reached stays reached, whatever the store's role becomes; a role holds only for the time that it was stated for.
 * Times are those of this process, positions those of the stores. Has no clock.
 */
final class StoreEvidence {
    /** All commits up to here are known to be applied. Never decreases. */
    private long appliedPosition;
    /** When the latest request was sent that it answered as the primary: it held every earlier commit. */
    private long currentAsOf;
    /** The latest times that it is known to have been the primary, and not to have been. */
    private long primaryAsOf, replicaAsOf;
    /** Since when a later statement of its role may have been lost; 0 if none was. */
    private long uncertainSince;
    private boolean statesRoleToProbes;

    long appliedPosition() {
        return appliedPosition;
    }

    void reached(long position) {
        appliedPosition = Math.max(appliedPosition, position);
    }

    /** It answered as the primary a request that was sent at this time. */
    void wasCurrent(long sentAt) {
        currentAsOf = Math.max(currentAsOf, sentAt);
    }

    /** Whether it held every commit made before this time. */
    boolean isCurrentAsOf(long time) {
        return currentAsOf >= time;
    }

    long currentAsOf() {
        return currentAsOf;
    }

    long primaryAsOf() {
        return primaryAsOf;
    }

    /** Whether it has ever stated that it is the primary. */
    boolean hasBeenPrimary() {
        return primaryAsOf > 0;
    }

    void wasPrimary(long time) {
        primaryAsOf = time;
    }

    long replicaAsOf() {
        return replicaAsOf;
    }

    void wasReplica(long time) {
        replicaAsOf = Math.max(replicaAsOf, time);
    }

    /** Whether the latest that is known of its role is that it is not the primary. */
    boolean isKnownReplica() {
        return replicaAsOf > 0 && replicaAsOf >= primaryAsOf;
    }

    long uncertainSince() {
        return uncertainSince;
    }

    boolean isUncertain() {
        return uncertainSince > 0;
    }

    void becomeUncertain(long time) {
        uncertainSince = Math.max(uncertainSince, time);
    }

    /** A statement of this time ends an uncertainty that began before. */
    void statedRole(long time) {
        uncertainSince = time >= uncertainSince ? 0 : uncertainSince;
    }

    /** Whether its answers to probes state its role as of their writing, in place of a report of some age. */
    boolean statesRoleToProbes() {
        return statesRoleToProbes;
    }

    void answeredProbeWithRole() {
        statesRoleToProbes = true;
    }
}
