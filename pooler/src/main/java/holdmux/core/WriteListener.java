package holdmux.core;

import holdmux.decision.SplitterApi.LastWrite;

/** Hears of every write whose answer a client is about to see; returns once whoever must know of it does. */
public interface WriteListener {
    void onWrite(LastWrite write);
}
