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
 * How this process reaches a member: at the address in the log, or by a way of its own where one is set (a forwarded
 * port, a relay). Members are named {@code holdmux-store:///n1@10.0.0.1:7001} to the library, which asks here for the
 * address whenever it connects.
 */
public final class MemberRoutes {
    private static final String SCHEME = "holdmux-store";
    private static final Map<String, InetSocketAddress> OVERRIDES = new ConcurrentHashMap<>();

    static {
        NameResolverRegistry.getDefaultRegistry().register(new ResolverProvider());
    }

    private MemberRoutes() {}

    /** Reaches this member by this way from now on, in the whole process. */
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
            return 5; // the usual one: no other provider has this scheme
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
                    // holds nothing
                }
            };
        }
    }
}
