package holdmux.discovery;

import java.net.InetSocketAddress;

/**
 * The addresses at which the discovery agent may be reached at start-up.
 *
 * @param first the address that is called first
 * @param alternative a second address, tried alternately with the first until one of them has answered; null if there is none
 */
public record AgentAddresses(InetSocketAddress first, InetSocketAddress alternative) {
    /** A single address without an alternative. */
    public static AgentAddresses only(InetSocketAddress agent) {
        return new AgentAddresses(agent, null);
    }
}
