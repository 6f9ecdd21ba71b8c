package holdmux.decision;

/** Where evidence of a store's role or position came from. */
public enum EvidenceSource {
    /** The server list. */
    LIST,
    /** The answer to a request, or its absence. */
    REQUEST,
    /** The answer to a probe, or its absence. */
    PROBE,
    /** A statement behind a long answer or outside of an answer. */
    STATUS,
    /** An exchange that ended or was held up before what the store stated in it was read. */
    STATUS_MISSED,
    /** Another process of this pooler. */
    OTHER_PROCESS,
    /** The configuration or the start of this process. */
    LOCAL
}
