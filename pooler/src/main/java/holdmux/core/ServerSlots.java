package holdmux.core;

/** How many connections to servers this process may hold, of all protocols together. */
public final class ServerSlots {
    private final int max;
    private final OtherProcess otherProcess;
    private int held;

    public ServerSlots(int max, OtherProcess otherProcess) {
        this.max = max;
        this.otherProcess = otherProcess;
    }

    /** Reserves one; false at the cap, less what the other process of this pooler holds. */
    public boolean reserve() {
        synchronized (this) {
            if (held < max - otherProcess.servers()) {
                held++;
                return true;
            }
        }
        return false;
    }

    public synchronized void release() {
        held--;
    }

    /** Connections held now, in use or idle. */
    public synchronized int held() {
        return held;
    }
}
