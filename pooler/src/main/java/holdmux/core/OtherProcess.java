package holdmux.core;

/** Connections held by the other process of this pooler while two overlap during an upgrade; both share the limits. */
public final class OtherProcess {
    private volatile boolean present;
    private volatile int clients, servers;

    /** Records the connections that the other process holds. */
    public void update(int clients, int servers) {
        present = true;
        this.clients = clients;
        this.servers = servers;
    }

    /** Records that there is no other process any more. */
    public void clear() {
        update(0, 0);
        present = false;
    }

    /** Whether there is another process. */
    public boolean present() {
        return present;
    }

    /** Returns the number of client connections that the other process holds. */
    public int clients() {
        return clients;
    }

    /** Returns the number of server connections that the other process holds. */
    public int servers() {
        return servers;
    }
}
