package holdmux.upgrade;

import holdmux.core.RoleKnowledge;
import holdmux.decision.SplitterApi.Role;
import holdmux.decision.SplitterApi.RoleObserved;
import holdmux.upgrade.Link.Frame;
import holdmux.upgrade.Link.Kind;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells the other process what this one knows of the servers' roles, and takes in what it tells: an answer that one of them has
 * received binds both. A link has one instance.
 */
final class RoleSharing {
    private final RoleKnowledge roles;
    private final IdSharing.Sender sender;
    private final Link link;
    private final Map<Long, RoleObserved> lastSent = new HashMap<>();
    private long sentVersion = -1;

    RoleSharing(RoleKnowledge roles, IdSharing.Sender sender, Link link) {
        this.roles = roles;
        this.sender = sender;
        this.link = link;
    }

    /** Sends what has changed since the last call, if the other process knows the frames; cheap if nothing has. */
    synchronized void sendChanges() {
        long version = roles.version();
        if (version == sentVersion || !link.peerSharesRoles()) {
            return;
        }
        sentVersion = version;
        for (RoleObserved role : roles.known()) {
            if (!role.equals(lastSent.put(role.store(), role))) {
                sender.send(link, new Frame(Kind.ROLE, role.store(), role.role().ordinal(), role.atNs()));
            }
        }
    }

    /** Handles a frame about a role; one with a role that is not known is ignored. */
    void handle(Frame frame) {
        if (frame.b() >= 0 && frame.b() < Role.values().length) {
            roles.learn(new RoleObserved(frame.a(), Role.values()[(int) frame.b()], frame.c()));
        }
    }
}
