package holdmux.store.raft;

import holdmux.config.Config;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.ratis.thirdparty.io.grpc.EquivalentAddressGroup;
import org.apache.ratis.thirdparty.io.grpc.NameResolver;
import org.apache.ratis.thirdparty.io.grpc.NameResolverProvider;
import org.apache.ratis.thirdparty.io.grpc.NameResolverRegistry;

/**
 * Resolves the address at which this process reaches a member: the one in the log, or an override set for this process (a
 * forwarded port, a relay). Members are given to gRPC as {@code holdmux-store:///n1@10.0.0.1:7001}, which is resolved here
 * on each connection.
 */
public final class MemberRoutes {
    private static final String SCHEME = "holdmux-store";
    private static final Map<String, InetSocketAddress> OVERRIDES = new ConcurrentHashMap<>();

    static {
        NameResolverRegistry.getDefaultRegistry().register(new ResolverProvider());
    }

    private MemberRoutes() {}

    /** Overrides the address of a member for the whole process, from the next connection on. */
    public static void set(String member, InetSocketAddress address) {
        OVERRIDES.put(member, address);
    }

    static String targetUri(String member, InetSocketAddress address) {
        return SCHEME + ":///" + member + "@" + address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static final class ResolverProvider extends NameResolverProvider {
        @Override
        protected boolean isAvailable() {
            return true;
        }

        @Override
        protected int priority() {
            return 5; // the default; no other provider has this scheme
        }

        @Override
        public String getDefaultScheme() {
            return SCHEME;
        }

        @Override
        public Collection<Class<? extends SocketAddress>> getProducedSocketAddressTypes() {
            return List.of(InetSocketAddress.class);
        }

        @Override
        public NameResolver newNameResolver(URI target, NameResolver.Args args) {
            if (!SCHEME.equals(target.getScheme())) {
                return null;
            }
            String path = target.getPath().substring(1);
            String member = path.substring(0, path.indexOf('@'));
            InetSocketAddress loggedAddress = Config.address(path.substring(path.indexOf('@') + 1));
            return new NameResolver() {
                @Override
                public String getServiceAuthority() {
                    return member;
                }

                @Override
                public void start(Listener2 listener) {
                    listener.onResult(ResolutionResult.newBuilder().setAddresses(
                            List.of(new EquivalentAddressGroup(OVERRIDES.getOrDefault(member, loggedAddress)))).build());
                }

                @Override
                public void shutdown() {
                    // no resources to release
                }
            };
        }
    }
}
