package holdmux.standins;

/** Faults that a discovery agent can inject. */
public enum DiscoveryFault {
    /** Calls are accepted and never answered, as during a discovery outage. */
    SILENT_CALLS,
    /** Connections are reset. */
    RESET,
    /** Answers are delayed. */
    SLOW_ANSWERS,
    /** Entries whose health is not {@code up} lack the key {@code dial}. */
    ENTRY_WITHOUT_DIAL,
    /** Entries whose health is not {@code up} lack the key {@code health}. */
    ENTRY_WITHOUT_HEALTH,
    /** Entries whose health is not {@code up} lack the key {@code host}. */
    ENTRY_WITHOUT_NAME,
    /** Answers to watches advance the version but contain no changes. */
    EMPTY_CHANGES,
    /** Version numbers start again from 1. */
    RENUMBERED,
    /** Answers contain the list as it was before the last change. */
    OLDER_LIST
}
