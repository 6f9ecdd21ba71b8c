package holdmux.core;

import java.io.IOException;

/** One way in for clients, with what a start, an operator and an end ask of it. */
public interface Front {
    /** From now on clients can connect. */
    void listen() throws IOException;

    /** Whether clients are taken in. */
    boolean isServing();

    /** Sends clients away, each as soon as nothing is owed to it, or takes them in again. */
    void setEvacuating(boolean evacuating);

    /** The program ends after this: from now on nothing is taken that may need longer. */
    void announceShutdown(long delayNs);

    /** Another process of this pooler takes the clients: each is sent there behind its next answer. */
    void handOver();

    /** Returns once nobody new can connect and whoever had connected is taken in. */
    void stopAccepting() throws InterruptedException;

    /** Ends each client's connection once nothing is owed on it. */
    void closeWhenIdle();

    /** Client connections open now. */
    int openClients();
}
