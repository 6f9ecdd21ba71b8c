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
 * The store's voting members by name: {@code n1=10.0.0.1:7001,n2=10.0.0.2:7001,...}. The log stores each member's name and
 * address; a process may override how it reaches one ({@link MemberRoutes}).
 */
public final class Members {
    /** There is one store per fleet, so the Raft group ID is a constant and not configured. */
    static final RaftGroupId GROUP_ID =
            RaftGroupId.valueOf(UUID.nameUUIDFromBytes("holdmux policy".getBytes(StandardCharsets.US_ASCII)));

    private final Map<String, InetSocketAddress> addresses;

    private Members(Map<String, InetSocketAddress> addresses) {
        this.addresses = addresses;
    }

    /** @throws ConfigException if the text is not a list of names with numeric addresses, or a name occurs twice */
    public static Members parse(String text) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (String member : text.split(",")) {
            int at = member.indexOf('=');
            String name = member.substring(0, Math.max(0, at)).strip();
            if (!name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
                throw new ConfigException("not name=address:port: " + member);
            }
            if (addresses.put(name, Config.address(member.substring(at + 1).strip())) != null) {
                throw new ConfigException("duplicate member " + name);
            }
        }
        return new Members(addresses);
    }

    /** Adds members listed as {@code name=address}; a member that is already known keeps its address. */
    public Members plus(Collection<String> listed) {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>(addresses);
        for (String member : listed) {
            all.putIfAbsent(member.substring(0, member.indexOf('=')), Config.address(member.substring(member.indexOf('=') + 1)));
        }
        return all.size() == addresses.size() ? this : new Members(all);
    }

    /** The names of all members, in the order listed. */
    public List<String> names() {
        return List.copyOf(addresses.keySet());
    }

    /** The address of a member, or null if there is no member of this name. */
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

    /** A peer as {@code name=address}, with the address stored in the log. */
    static String nameAndAddress(RaftPeer peer) {
        String target = peer.getAddress();
        return peer.getId() + "=" + target.substring(target.indexOf('@') + 1);
    }
}
