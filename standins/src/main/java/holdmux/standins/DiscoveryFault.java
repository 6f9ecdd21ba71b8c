package holdmux.standins;

/** What may go wrong between discovery's agent and its callers. */
public enum DiscoveryFault {
    /** Calls are accepted and never answered, as while discovery is down. */
    SILENT_CALLS,
    /** Connections are reset. */
    RESET,
    /** Answers come late. */
    SLOW_ANSWERS,
    /** Changed entries of answers lack the key {@code dial}. */
    ENTRY_WITHOUT_DIAL,
    /** Changed entries of answers lack the key {@code health}. */
    ENTRY_WITHOUT_HEALTH,
    /** Changed entries of answers lack the key {@code host}. */
    ENTRY_WITHOUT_NAME,
    /** Answers to watches move the version on and name no change. */
    EMPTY_CHANGES,
    /** Versions are counted anew from 1. */
    RENUMBERED,
    /** The list is told as it was before the last change. */
    OLDER_LIST
}
