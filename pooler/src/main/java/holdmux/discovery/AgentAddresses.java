package holdmux.discovery;

import java.net.InetSocketAddress;

/**
 * Where discovery's agent may be at a start.
 *
 * @param first the address that is called first
 * @param alternative another one that is called in turns with it until one has answered; null for none
 */
public record AgentAddresses(InetSocketAddress first, InetSocketAddress alternative) {
    /** The one agent there is. */
    public static AgentAddresses only(InetSocketAddress agent) {
        return new AgentAddresses(agent, null);
    }
}
