package crankwick.routing.api;

/** The kind of an {@link EndpointUpdate}. */
public enum EndpointUpdateKind {
    /** The update holds only the changed entries. */
    INCREMENTAL,
    /** The update holds the complete list; endpoints missing from it are unlisted. */
    FULL,
    /** The update holds a complete list saved before this process started, which may be outdated. */
    RESTORED,
    /** Discovery could not be reached; the update holds no entries. */
    UNAVAILABLE
}
