package holdmux.core;

/**
 * What the other process of this pooler holds, while two overlap, of that which both may hold only together; nothing
 * while there is no other.
 */
public final class OtherProcess {
    private volatile boolean present;
    private volatile int clients, servers;

    public void update(int clients, int servers) {
        present = true;
        this.clients = clients;
        this.servers = servers;
    }

    public void clear() {
        update(0, 0);
        present = false;
    }

    /** Whether there is another process now. */
    public boolean present() {
        return present;
    }

    /** Client connections held by the other process. */
    public int clients() {
        return clients;
    }

    /** Connections to servers held by the other process. */
    public int servers() {
        return servers;
    }
}
