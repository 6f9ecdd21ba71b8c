package holdmux.core;

/** Limits the number of connections to servers that this process holds, for all protocols together. */
public final class ServerSlots {
    private final int max;
    private final OtherProcess otherProcess;
    private int held;

    /** Creates a limit of {@code max} connections, shared with the other process of this pooler if there is one. */
    public ServerSlots(int max, OtherProcess otherProcess) {
        this.max = max;
        this.otherProcess = otherProcess;
    }

    /** Reserves a slot; false if this and the other process of this pooler together hold the maximum. */
    public boolean reserve() {
        synchronized (this) {
            if (held < max - otherProcess.servers()) {
                held++;
                return true;
            }
        }
        return false;
    }

    /** Releases a reserved slot. */
    public synchronized void release() {
        held--;
    }

    /** Returns the number of slots held, for connections in use or idle. */
    public synchronized int held() {
        return held;
    }
}
