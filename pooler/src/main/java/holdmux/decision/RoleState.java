package holdmux.decision;

/** What is known of a store's role. */
public enum RoleState {
    /** Nothing is known. */
    UNKNOWN,
    /** Only the server list names it as the primary. */
    LISTED_PRIMARY,
    /** It stated that it is the primary, and nothing since then has cast doubt on it. */
    PRIMARY,
    /** It was the primary, and a later statement may have been lost. */
    UNCERTAIN,
    /** It stated that it is not the primary. */
    REPLICA
}
