package crankwick.routing.api;

/** The kind of an {@link EndpointUpdate}. */
public enum EndpointUpdateKind {
    /** The update holds only the changed entries; all other endpoints remain as they are. */
    INCREMENTAL,
    /** The update holds the complete list; endpoints missing from it are unlisted. */
    FULL,
    /**
     * The update holds a complete list that was saved before this proxy started and may be outdated; the router unlists
     * endpoints missing from it.
     */
    RESTORED,
    /** Discovery could not be reached; the update holds no entries. */
    UNAVAILABLE
}
