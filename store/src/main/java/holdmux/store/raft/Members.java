package holdmux.store.raft;

import holdmux.config.Config;
import holdmux.config.ConfigException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;

/**
 * The store's voting members, by name: {@code n1=10.0.0.1:7001,n2=10.0.0.2:7001,...}. The log keeps a member's name and
 * address; each process may have its own way to one ({@link MemberRoutes}).
 */
public final class Members {
    /** One store a fleet, so the group's id is the same everywhere and need not be set. */
    static final RaftGroupId GROUP_ID =
            RaftGroupId.valueOf(UUID.nameUUIDFromBytes("holdmux policy".getBytes(StandardCharsets.US_ASCII)));

    private final Map<String, InetSocketAddress> addresses;

    private Members(Map<String, InetSocketAddress> addresses) {
        this.addresses = addresses;
    }

    /** @throws ConfigException for what is no list of names and numeric addresses, or names one twice */
    public static Members parse(String text) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (String member : text.split(",")) {
            int at = member.indexOf('=');
            String name = member.substring(0, Math.max(0, at)).strip();
            if (!name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
                throw new ConfigException("not name=address:port: " + member);
            }
            if (addresses.put(name, Config.address(member.substring(at + 1).strip())) != null) {
                throw new ConfigException("the member " + name + " is named twice");
            }
        }
        return new Members(addresses);
    }

    /** These and those that members tell of, {@code name=address}; who is known stays where it is. */
    public Members plus(Collection<String> listed) {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>(addresses);
        for (String member : listed) {
            all.putIfAbsent(member.substring(0, member.indexOf('=')), Config.address(member.substring(member.indexOf('=') + 1)));
        }
        return all.size() == addresses.size() ? this : new Members(all);
    }

    public List<String> names() {
        return List.copyOf(addresses.keySet());
    }

    /** Null for a name that is no member's. */
    public InetSocketAddress address(String name) {
        return addresses.get(name);
    }

    List<RaftPeer> peers() {
        List<RaftPeer> peers = new ArrayList<>();
        addresses.forEach((name, address) -> peers.add(peer(name, address)));
        return peers;
    }

    RaftGroup group() {
        return RaftGroup.valueOf(GROUP_ID, peers());
    }

    static RaftPeer peer(String name, InetSocketAddress address) {
        return RaftPeer.newBuilder().setId(RaftPeerId.valueOf(name)).setAddress(MemberRoutes.targetUri(name, address)).build();
    }

    /** Name and address of a peer as the log has it. */
    static String nameAndAddress(RaftPeer peer) {
        String target = peer.getAddress();
        return peer.getId() + "=" + target.substring(target.indexOf('@') + 1);
    }
}
