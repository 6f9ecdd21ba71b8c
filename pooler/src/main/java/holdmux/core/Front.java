package holdmux.core;

import java.io.IOException;

/** One client-facing protocol, with the operations that start-up, operators and shutdown need. */
public interface Front {
    /** Starts to listen: clients can connect from now on. */
    void listen() throws IOException;

    /** Whether new clients are accepted. */
    boolean isServing();

    /** Starts or stops sending clients away: a client's connection is closed as soon as it has no request open. */
    void setEvacuating(boolean evacuating);

    /** Announces that the process ends after this time: requests that may take longer are refused from now on. */
    void announceShutdown(long delayNs);

    /** Hands clients over to another process of this pooler: connections close after their next answer, clients reconnect there. */
    void handOver();

    /** Stops listening; returns once no new client can connect and all that had connected are accepted. */
    void stopAccepting() throws InterruptedException;

    /** Closes each client's connection once it has no request open. */
    void closeWhenIdle();

    /** Returns the number of open client connections. */
    int openClients();
}
