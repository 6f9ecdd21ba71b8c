package holdmux.core;

import holdmux.decision.SplitterApi.LastWrite;

/** Notified of every write before its client sees the answer. */
public interface WriteListener {
    /** Called for each write; returns once all that must know of it have been notified. */
    void onWrite(LastWrite write);
}
