package crankwick.routing.api;

/** What an {@link EndpointUpdate} brings. */
public enum EndpointUpdateKind {
    /** Some entries have changed. */
    INCREMENTAL,
    /** The complete list: endpoints that it does not name are gone. */
    FULL,
    /** A list from before this process, which may be old. */
    RESTORED,
    /** Discovery could not be reached. */
    UNAVAILABLE
}
